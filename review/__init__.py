"""review: cases of an independent review, each with a script."""
