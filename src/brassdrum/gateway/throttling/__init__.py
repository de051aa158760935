"""Keep to what endpoints ask for in their responses, over all daemons."""
