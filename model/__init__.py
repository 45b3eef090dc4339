"""model: the specification of the core protocol and its checks."""
