"""features.support: helpers of the feature steps."""
