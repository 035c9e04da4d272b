"""Small stand-ins for the systems that quetzalmill is served by."""
