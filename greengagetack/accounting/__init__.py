"""greengagetack.accounting: counts of each customer's requests, and their reports."""
