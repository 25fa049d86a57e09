"""Tests of orioleloft."""
