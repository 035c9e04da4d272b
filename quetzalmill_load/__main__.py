"""Runs ``python -m quetzalmill_load``."""

from quetzalmill_load import main

if __name__ == "__main__":
    main.run()
