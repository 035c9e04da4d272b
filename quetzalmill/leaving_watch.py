"""Does what follows when endpoints say that they leave."""

from typing import Any

from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_pool
from quetzalmill import gateway_metrics
from quetzalmill import http_client
from quetzalmill import logs

_log = logs.get("leaving")


class LeavingWatch:
    """Logs and counts endpoints that leave and gives up idle connections.

    Args:
        client: The connections to endpoints.
        metrics: Where they are counted.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._client = client
        self._metrics = metrics

    def said_leaving(self, mark: endpoint_leaving.Mark) -> None:
        """Takes over the first sign of a start's leaving."""
        self._client.drop(mark.boot.address)
        self._note(mark.boot, mark.source, mark.by)

    def peer_said_leaving(self, boot: endpoint_leaving.Boot, host: str) -> None:
        """Takes over the first word of a peer that a start leaves."""
        self._note(boot, endpoint_leaving.Source.PEER, host)

    def has_left(self, mark: endpoint_leaving.Mark) -> None:
        """Takes over that a start that left gets no request any more."""
        last_ms = mark.first_ms
        if mark.last_sent_ms is not None:
            last_ms = mark.last_sent_ms
        self._metrics.endpoint_left(last_ms - mark.first_ms)

    def _note(
        self,
        boot: endpoint_leaving.Boot,
        source: endpoint_leaving.Source,
        by: str,
    ) -> None:
        self._metrics.endpoint_leaving(source.value)
        _log.info(
            "endpoint_leaving",
            endpoint=boot.endpoint_id,
            started_unix_ms=boot.started_unix_ms,
            source=source.value,
            by=by,
        )


def describe(
    pool: endpoint_pool.EndpointPool, now_ms: float
) -> dict[str, dict[str, Any]]:
    """Returns which endpoints leave, since when and by whose word."""
    return {
        known.endpoint.endpoint_id: _describe_one(known, now_ms)
        for known in pool.all()
        if known.mark is not None or known.peers_say
    }


def _describe_one(
    known: endpoint_pool.Condition, now_ms: float
) -> dict[str, Any]:
    mark = known.mark
    if mark is None:
        source, by = endpoint_leaving.Source.PEER, known.peers_say[0]
        since_ms, sent_ms = known.peers_said_ms, None
    else:
        source, by = mark.source, mark.by
        since_ms, sent_ms = mark.first_ms, mark.last_sent_ms
    return {
        "service": known.endpoint.service,
        "started_unix_ms": known.endpoint.started_unix_ms,
        "source": source.value,
        "by": by,
        "since_ms": _age_ms(since_ms, now_ms),
        "peers": list(known.peers_say),
        "since_peers_ms": _age_ms(known.peers_said_ms, now_ms),
        "last_request_ms": _age_ms(sent_ms, now_ms),
    }


def _age_ms(at_ms: float | None, now_ms: float) -> float | None:
    return None if at_ms is None else round(now_ms - at_ms)
