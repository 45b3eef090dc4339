"""review.rig: daemons, clients and records for the cases of the second review."""
