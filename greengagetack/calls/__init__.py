"""greengagetack.calls: non-idempotent calls with an idempotency key."""
