"""Tells the processes of one host apart."""

import secrets

_INSTANCE_BYTES = 6


def new_instance() -> str:
    """Returns a random id for a process that starts."""
    return secrets.token_hex(_INSTANCE_BYTES)
