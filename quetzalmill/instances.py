"""Generates ids that distinguish the processes of one host."""

import secrets

_INSTANCE_BYTES = 6


def new_instance_id() -> str:
    """Returns a random id for a newly started process."""
    return secrets.token_hex(_INSTANCE_BYTES)
