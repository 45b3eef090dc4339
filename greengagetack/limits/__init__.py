"""greengagetack.limits: token budgets, permits and retry budgets of teams."""
