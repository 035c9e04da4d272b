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
        _log.info(
            "endpoint_leaving",
            endpoint=mark.boot.endpoint_id,
            source=mark.source.value,
            by=mark.by,
        )
