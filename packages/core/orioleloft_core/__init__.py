"""Decisions of the orioleloft load balancer, free of sockets, clocks and global random sources."""
