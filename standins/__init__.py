"""Stand-ins for outside systems, for tests, demonstrations and benchmarks."""
