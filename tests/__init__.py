"""Tests of orioleloft."""

import os

import hypothesis

# CI runs the same examples each time and without a deadline, so that its result is reproducible;
# `make fuzz` runs fresh ones.
hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
hypothesis.settings.register_profile("fresh", deadline=None, database=None, print_blob=True)
hypothesis.settings.load_profile(os.environ.get("ORIOLELOFT_EXAMPLES", "fixed"))
