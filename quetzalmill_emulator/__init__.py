"""Emulators of the outside systems that quetzalmill depends on."""
