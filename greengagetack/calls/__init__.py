"""greengagetack.calls: keyed non-idempotent calls."""
