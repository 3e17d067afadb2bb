"""Paths and records that hosts share: relayed connections, crash records, prompt caches."""
