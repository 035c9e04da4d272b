"""Runs the ``quetzalmill`` program as ``python -m quetzalmill``."""

from quetzalmill import main

if __name__ == "__main__":
    main.run()
