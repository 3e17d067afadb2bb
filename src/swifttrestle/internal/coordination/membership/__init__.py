"""Membership of the fleet: heartbeats, live hosts, and who reports to whom."""
