"""features: behaviour tests as tables of examples."""
