"""Coordination between processes: leases, orders, configuration, membership and drains."""
