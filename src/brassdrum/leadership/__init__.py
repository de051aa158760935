"""Duties that one daemon alone performs, held under leases in the platform's log."""
