"""model: specifications of the core protocols and their model checker."""
