"""Runs ``python -m quetzalmill_emulator``."""

from quetzalmill_emulator import main

main.run()
