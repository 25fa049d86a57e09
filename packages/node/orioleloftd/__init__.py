"""The entry node of orioleloft: servers, connections and timers around the core package."""
