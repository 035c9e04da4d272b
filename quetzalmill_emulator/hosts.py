"""An emulator of the platform's host list, which shows changes late."""

import urllib.parse

import attrs

from quetzalmill import clock
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import app

_STATES = ("live", "leaving")
REMOVED = "removed"
"""The state of a host that is no longer listed."""


@attrs.frozen(kw_only=True)
class _HostBody:
    host: str
    state: str


@attrs.frozen
class _Change:
    visible_ms: float
    state: str


class HostList:
    """Handles the requests to the host list."""

    def __init__(self, lag_ms: float, system_clock: clock.Clock) -> None:
        self._lag_ms = lag_ms
        self._clock = system_clock
        self._changes: dict[str, list[_Change]] = {}

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["hosts"]:
                await app.reply(exchange, {"hosts": self.visible()})
            case "POST", ["hosts"]:
                body = app.read_body(request, _HostBody)
                if body.state not in _STATES:
                    raise app.refusal(422, "bad_state", body.state)
                self.change(body.host, body.state)
                await app.reply(exchange, body)
            case "DELETE", ["hosts", host]:
                self.change(urllib.parse.unquote(host), REMOVED)
                await exchange.respond(204)
            case _:
                raise app.refusal(404, "not_found", request.path)

    def change(self, host: str, state: str) -> None:
        """Sets the state of a host, which becomes visible after the lag."""
        now_ms = self._clock.now_ms()
        changes = self._changes.setdefault(host, [])
        while len(changes) > 1 and changes[1].visible_ms <= now_ms:
            del changes[0]
        changes.append(_Change(now_ms + self._lag_ms, state))

    def visible(self) -> list[dict[str, str]]:
        """Returns the hosts as the list shows them now."""
        now_ms = self._clock.now_ms()
        hosts = []
        for host, changes in sorted(self._changes.items()):
            visible_states = [
                c.state for c in changes if c.visible_ms <= now_ms
            ]
            if visible_states and visible_states[-1] != REMOVED:
                hosts.append({"host": host, "state": visible_states[-1]})
        return hosts
