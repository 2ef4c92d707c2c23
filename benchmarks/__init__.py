"""Benchmarks; they need the source tree and are not installed."""
