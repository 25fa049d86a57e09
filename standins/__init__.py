"""Emulators of the platform's store, targets and callers for tests and demonstrations."""
