"""What callers saw during a run, for the checks."""

import attrs


@attrs.frozen(kw_only=True)
class Turn:
    """A turn that ended whole, as its caller knows it.

    Attributes:
        turn_id: Its id.
        team: Whose it is.
        input: What the caller sent.
        outputs: The data of its events.
    """

    turn_id: str
    team: str
    input: bytes
    outputs: tuple[bytes, ...]


@attrs.define(kw_only=True)
class Attempt:
    """One request of a caller.

    Attributes:
        request_id: Its id.
        kind: ``turn``, ``lookup`` or ``booking``.
        team: The team whose key came with it.
        key: That key.
        gateway: The number of the gateway that it was sent to.
        program_id: Its program; empty outside of one.
        body: What an endpoint must get.
        continues: Whether it names a turn that ended whole.
        sent_s: When it was sent.
        answered_s: When the head of its answer came; None without one.
        ended_s: When its answer, or its connection, ended.
        status: The status; None if the connection ended without an answer
            or amid one.
        reason: What ended the connection early.
        headers: The answer's headers.
        answer: The answer's body.
    """

    request_id: str
    kind: str
    team: str
    key: str
    gateway: int
    program_id: str = ""
    body: bytes = attrs.field(default=b"", repr=False)
    continues: bool = False
    sent_s: float = 0.0
    answered_s: float | None = None
    ended_s: float = 0.0
    status: int | None = None
    reason: str = ""
    headers: dict[str, str] = attrs.field(factory=dict, repr=False)
    answer: bytes = attrs.field(default=b"", repr=False)


@attrs.define(kw_only=True)
class Disturbance:
    """A time in which something was wrong.

    Attributes:
        name: The fault's name.
        gateway: The gateway that it was about; None for all.
        from_s: When it began.
        to_s: When it ended; None while it lasts.
    """

    name: str
    gateway: int | None
    from_s: float
    to_s: float | None = None


@attrs.define
class Record:
    """All that callers saw and all that was done to the system.

    Attributes:
        attempts: The requests.
        disturbances: The faults.
        withdrawn: When a key was withdrawn, by key.
        left: When the entry of an endpoint said that it leaves or was gone,
            and when it came back, by its id.
    """

    attempts: list[Attempt] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    left: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)

    def disturbed(
        self,
        gateway: int,
        from_s: float,
        to_s: float,
        *,
        besides: str = "",
        only: frozenset[str] | None = None,
    ) -> bool:
        """Returns whether something was wrong for a gateway in a time.

        Args:
            gateway: The gateway.
            from_s: The time's beginning.
            to_s: The time's end.
            besides: The name of a fault that does not count.
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
