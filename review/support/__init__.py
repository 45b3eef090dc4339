"""review.support: what the scripts of the review share."""
