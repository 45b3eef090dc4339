"""features: behaviour tests, written as scenarios with tables of examples."""
