"""The record of a run, from the callers' side, for the checks."""

import attrs


@attrs.frozen(kw_only=True)
class Turn:
    """A completed turn, as its caller received it.

    Attributes:
        turn_id: The id of the turn.
        team: The team that owns the turn.
        input: What the caller sent.
        outputs: The data of the events.
    """

    turn_id: str
    team: str
    input: bytes
    outputs: tuple[bytes, ...]


@attrs.define(kw_only=True)
class Attempt:
    """One request of a caller.

    Attributes:
        request_id: The id of the request.
        kind: ``turn``, ``lookup`` or ``booking``.
        team: The team whose key was sent.
        key: The key that was sent.
        gateway: The index of the gateway that it was sent to.
        program_id: The id of its program; empty if it has none.
        body: The body that an endpoint must receive.
        continues: Whether it names a completed turn as its predecessor.
        wait_s: The time within which its caller wants an answer.
        sent_s: When it was sent.
        answered_s: When the response headers arrived; None if they did not.
        ended_s: When the response or the connection ended.
        status: The status; None if the connection ended without a complete
            response.
        reason: The error that ended the connection early.
        headers: The headers of the response.
        answer: The body of the response.
    """

    request_id: str
    kind: str
    team: str
    key: str
    gateway: int
    program_id: str = ""
    body: bytes = attrs.field(default=b"", repr=False)
    continues: bool = False
    wait_s: float = float("inf")
    sent_s: float = 0.0
    answered_s: float | None = None
    ended_s: float = 0.0
    status: int | None = None
    reason: str = ""
    headers: dict[str, str] = attrs.field(factory=dict, repr=False)
    answer: bytes = attrs.field(default=b"", repr=False)


@attrs.define(kw_only=True)
class Disturbance:
    """A period in which a fault was active.

    Attributes:
        name: The name of the fault.
        gateway: The index of the affected gateway; None for all.
        from_s: When the fault began.
        to_s: When the fault ended; None while it is active.
    """

    name: str
    gateway: int | None
    from_s: float
    to_s: float | None = None


@attrs.define
class Record:
    """All requests of the callers and all faults of a run.

    Attributes:
        attempts: The requests.
        disturbances: The periods with an active fault.
        withdrawn: When a key was withdrawn, by key.
        left: The periods in which an endpoint's registry entry was draining
            or removed, by endpoint id: when that was published and when the
            endpoint came back.
        domains: The failure domain of each endpoint, by endpoint id.
        evacuated: The periods in which an order to evacuate stood, by domain.
    """

    attempts: list[Attempt] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    left: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    domains: dict[str, str] = attrs.field(factory=dict)
    evacuated: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)

    def disturbed(
        self,
        gateway: int,
        from_s: float,
        to_s: float,
        *,
        besides: str = "",
        only: frozenset[str] | None = None,
    ) -> bool:
        """Returns whether a fault affected a gateway during a period.

        Args:
            gateway: The index of the gateway.
            from_s: The start of the period.
            to_s: The end of the period.
            besides: The name of a fault that is ignored.
            only: The names of the faults that count; None for all.
        """
        return any(
            each.name != besides
            and (only is None or each.name in only)
            and each.gateway in (None, gateway)
            and each.from_s <= to_s
            and (each.to_s is None or each.to_s >= from_s)
            for each in self.disturbances
        )
