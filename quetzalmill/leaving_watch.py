"""Does what follows when endpoints say that they leave."""

from quetzalmill import endpoint_leaving
from quetzalmill import http_client
from quetzalmill import logs

_log = logs.get("leaving")


class LeavingWatch:
    """Logs endpoints that leave and gives up idle connections to them.

    Args:
        client: The connections to endpoints.
    """

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def said_leaving(self, mark: endpoint_leaving.Mark) -> None:
        """Takes over the first sign of a start's leaving."""
        self._client.drop(mark.boot.address)
        _log_leaving(mark.boot, mark.source, mark.by)

    def peer_said_leaving(self, boot: endpoint_leaving.Boot, host: str) -> None:
        """Takes over the first word of a peer that a start leaves."""
        _log_leaving(boot, endpoint_leaving.Source.PEER, host)


def _log_leaving(
    boot: endpoint_leaving.Boot, source: endpoint_leaving.Source, by: str
) -> None:
    _log.info(
        "endpoint_leaving",
        endpoint=boot.endpoint_id,
        started_unix_ms=boot.started_unix_ms,
        source=source.value,
        by=by,
    )
