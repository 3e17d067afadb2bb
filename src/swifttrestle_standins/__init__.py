"""Stand-ins for the outside systems, shared by the demo, the tests and the benchmarks."""
