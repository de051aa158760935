"""Share work in flight and freshness of knowledge with the other daemons."""
