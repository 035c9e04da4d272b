"""Clients that nobody controls, as a process: many bodies that do not end.

Run as ``python3 -m standins_2.crowd OPTIONS``, with the options as JSON. Each
client sends a head and most of a chunked body, stops short of its end and stays
open until it is answered or its channel is closed; then it comes again.
"""

import asyncio
import itertools
import json
import random
import string
import subprocess
import sys
from typing import Any

from standins_2 import deployment as deployment_module
from standins_2 import http1

_PAUSE_S = 0.2
_LETTERS = 3


def _head(options: dict[str, Any], number: int) -> bytes:
    tenants = options["tenants"]
    lines = [
        "POST /retiro/2f HTTP/1.1",
        f"Host: {deployment_module.HOST}",
        f"Attempt-Id: {random.getrandbits(64):016x}",
        "Deadline-Ms: 5000",
        f"Authorization: Token key-{tenants[number % len(tenants)]}",
        "Transfer-Encoding: chunked",
    ]
    names = itertools.product(string.ascii_lowercase, repeat=_LETTERS)
    fields = itertools.islice(names, options["fields"])
    lines += ["x" + "".join(each) + ":" for each in fields]
    return "\r\n".join([*lines, "", ""]).encode()


async def _client(options: dict[str, Any], number: int, body: bytes) -> None:
    addresses = options["addresses"]
    while True:
        try:
            channel = await http1.connect(random.choice(addresses))
        except http1.BrokenError:
            await asyncio.sleep(_PAUSE_S)
            continue
        try:
            await channel.send(_head(options, number))
            await channel.send(body)
            await http1.read_head(channel.reader)
        except http1.BrokenError:
            pass
        finally:
            channel.reset()
        await asyncio.sleep(_PAUSE_S)


async def _main(options: dict[str, Any]) -> None:
    chunk = http1.chunk(b"x" * options["chunk_bytes"])
    body = chunk * (options["body_bytes"] // options["chunk_bytes"])
    async with asyncio.TaskGroup() as group:
        for number in range(options["clients"]):
            group.create_task(_client(options, number, body))
            if number % 20 == 0:
                await asyncio.sleep(options["step_s"])


def start(**options: Any) -> subprocess.Popen[bytes]:
    """Starts a crowd.

    Args:
        options: ``addresses`` of gateways, names of ``tenants``, how many
            ``clients``, ``fields`` of a head that are empty, ``body_bytes`` and
            ``chunk_bytes``, and the pause ``step_s`` after each 20 clients.
    """
    command = [sys.executable, "-m", "standins_2.crowd", json.dumps(options)]
    return subprocess.Popen(
        command, stdin=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
