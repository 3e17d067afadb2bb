"""Agreement between processes: leases, orders, accepted configuration, membership, drains."""
