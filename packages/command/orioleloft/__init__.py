"""The operators' command of orioleloft."""
