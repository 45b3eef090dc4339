"""greengagetack.batches: durable batch jobs with numbered results."""
