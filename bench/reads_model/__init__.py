"""A group of servers in virtual time for the benchmark of reads."""
