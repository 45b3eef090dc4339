"""features.support: fakes and helpers for the feature steps."""
