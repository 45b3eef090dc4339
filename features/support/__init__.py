"""features.support: helpers of the features."""
