"""features.support: fakes and helpers that steps share."""
