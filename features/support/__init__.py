"""features.support: fakes and helpers of the features."""
