"""Benchmarks of orioleloft."""
