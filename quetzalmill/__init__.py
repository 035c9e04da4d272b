"""A scheduler for agent programs whose teams share one fleet."""
