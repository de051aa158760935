"""Which daemons and endpoints are there: host list, heartbeats, gossip."""
