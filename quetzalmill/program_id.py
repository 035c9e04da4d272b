"""Program ids, which name the program's first home.

A root program's id is ``random.instance.host``; a sub-program's id puts a
random part and a colon before its root's id. So starting a program needs no
lookup record for its home.
"""

import re

import attrs

_PATTERN = re.compile(
    r"(?:[0-9a-f]+:)?[0-9a-f]+\.([0-9a-f]+)\.([A-Za-z0-9_-]+)"
)


@attrs.frozen(kw_only=True)
class Home:
    """A process that may be a program's home.

    Attributes:
        host: The host's name.
        instance: The id of the process's instance.
    """

    host: str
    instance: str


def new_root(random_part: str, home: Home) -> str:
    """Returns the id of a program that starts at ``home``."""
    return f"{random_part}.{home.instance}.{home.host}"


def new_child(random_part: str, root: str) -> str:
    """Returns the id of a sub-program of ``root``."""
    return f"{random_part}:{root}"


def root_of(program: str) -> str:
    """Returns the root program of a program."""
    return program.rpartition(":")[2]


def first_home(program: str) -> Home | None:
    """Returns the first home that an id names, None for a malformed id."""
    match = _PATTERN.fullmatch(program)
    if match is None:
        return None
    return Home(instance=match.group(1), host=match.group(2))
