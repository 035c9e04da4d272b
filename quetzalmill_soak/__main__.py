"""Runs the soak as ``python -m quetzalmill_soak``."""

from quetzalmill_soak import main

main.run()
