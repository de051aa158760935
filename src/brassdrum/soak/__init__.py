"""A randomized soak of the real programs as separate processes, with faults from outside them."""
