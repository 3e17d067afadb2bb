"""Leases, and the duties that their holder performs for the whole fleet."""
