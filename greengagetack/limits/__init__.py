"""greengagetack.limits: queues, shares, budgets and retry limits."""
