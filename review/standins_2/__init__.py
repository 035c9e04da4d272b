"""Stand-ins of the second review; they need only Python's own library."""
