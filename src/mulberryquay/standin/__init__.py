"""Stand-in targets for tests, benchmarks and the demo."""
