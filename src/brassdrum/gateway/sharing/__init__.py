"""One order of waiting requests across daemons: demand, shares, and who leaves slots to whom."""
