"""Command line for operators: checks and publishes release notes."""
