"""The load and experiment tool of quetzalmill."""
