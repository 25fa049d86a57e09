"""Logic of the orioleloft load balancer, without sockets, clocks or global random sources."""
