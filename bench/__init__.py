"""bench: demonstrations and measurements."""
