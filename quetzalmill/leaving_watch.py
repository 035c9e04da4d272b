"""Handles and reports draining endpoints."""

from typing import Any

from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_metrics
from quetzalmill import http_client
from quetzalmill import logs

_log = logs.get("leaving")


class LeavingWatch:
    """Logs and counts draining endpoints and closes idle connections to them.

    Args:
        client: The connections to endpoints.
        metrics: The gateway's metrics.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._client = client
        self._metrics = metrics

    def drain_announced(
        self, drain_notice: endpoint_leaving.DrainNotice
    ) -> None:
        """Handles the first drain notice of an instance."""
        self._client.close_idle(drain_notice.instance.address)
        self._note(drain_notice.instance, drain_notice.source, drain_notice.by)

    def peer_announced_drain(
        self, instance: endpoint_leaving.EndpointInstance, host: str
    ) -> None:
        """Handles the first notice from a peer that an instance is draining."""
        self._note(instance, endpoint_leaving.Source.PEER, host)

    def removed(self, drain_notice: endpoint_leaving.DrainNotice) -> None:
        """Records the time from the drain notice to the last request."""
        last_ms = drain_notice.first_seen_ms
        if drain_notice.last_sent_ms is not None:
            last_ms = drain_notice.last_sent_ms
        self._metrics.record_drained(last_ms - drain_notice.first_seen_ms)

    def _note(
        self,
        instance: endpoint_leaving.EndpointInstance,
        source: endpoint_leaving.Source,
        by: str,
    ) -> None:
        self._metrics.record_drain_notice(source.value)
        _log.info(
            "endpoint_leaving",
            endpoint=instance.endpoint_id,
            started_unix_ms=instance.started_unix_ms,
            source=source.value,
            by=by,
        )


def describe(
    pool: endpoint_pool.EndpointPool, now_ms: float
) -> dict[str, dict[str, Any]]:
    """Returns the draining endpoints, since when and who announced it."""
    return {
        known.endpoint.endpoint_id: _describe_one(known, now_ms)
        for known in pool.all()
        if known.drain_notice is not None or known.drain_reporters
    }


def _describe_one(
    known: endpoint_record.EndpointState, now_ms: float
) -> dict[str, Any]:
    drain_notice = known.drain_notice
    if drain_notice is None:
        source, by = endpoint_leaving.Source.PEER, known.drain_reporters[0]
        since_ms, sent_ms = known.drain_reported_ms, None
    else:
        source, by = drain_notice.source, drain_notice.by
        since_ms, sent_ms = (
            drain_notice.first_seen_ms,
            drain_notice.last_sent_ms,
        )
    return {
        "service": known.endpoint.service,
        "started_unix_ms": known.endpoint.started_unix_ms,
        "source": source.value,
        "by": by,
        "since_ms": _age_ms(since_ms, now_ms),
        "peers": list(known.drain_reporters),
        "since_peers_ms": _age_ms(known.drain_reported_ms, now_ms),
        "last_request_ms": _age_ms(sent_ms, now_ms),
    }


def _age_ms(at_ms: float | None, now_ms: float) -> float | None:
    return None if at_ms is None else round(now_ms - at_ms)
