"""Stand-ins for external systems, shared by the demo, the tests and the benchmarks."""
