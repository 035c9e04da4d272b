"""Responses to earlier requests that an endpoint sends where another is due.

They may be whole, changed, or cut in their head; a cut one runs into the
response that follows it.
"""

import enum

import attrs

CLAIM = "Not-Executed: 1"
"""The header line by which an endpoint states that it did not run a request."""

_ID = "Attempt-Id"
_BODY = b"refused before"
_SUCCESS_BODY = b"done before"


class Names(enum.Enum):
    """The ids that a late copy carries."""

    OTHER = "other"
    NONE = "none"
    EMPTY = "empty"
    OTHER_THEN_OWN = "other then own"
    OWN_THEN_OTHER = "own then other"
    OWN = "own"


class Change(enum.Enum):
    """How a late copy differs from the refusal that it repeats."""

    NONE = "none"
    BARE_421 = "bare 421"
    BODY = "body"
    TWICE = "twice"
    INTERIM = "interim"
    SIGNED = "signed"
    STATUS_200 = "status 200"
    SUCCESS = "success"
    CUT_BEHIND_CLAIM = "cut behind claim"
    CUT_IN_REASON = "cut in reason"
    CUT_IN_ID = "cut in id"
    CUT_BEHIND_LINE = "cut behind line"


@attrs.frozen(kw_only=True)
class LateCopy:
    """A fault: a copy of a connection's last refusal precedes an answer.

    Attributes:
        names: The ids that it carries. ``Names.OWN`` needs a change that
            contradicts the refusal; otherwise it would be a true one.
        change: How it differs from the refusal.
        glued: Whether it is sent in one write with the answer; otherwise it is
            sent before the request runs. The answer follows a cut one at once.
    """

    names: Names = Names.OTHER
    change: Change = Change.NONE
    glued: bool = False

    def __str__(self) -> str:
        """Returns the form in a few words."""
        words = f"{self.change.value}, names {self.names.value}"
        return words + (", glued" if self.glued else "")


@attrs.frozen
class SignedFailure:
    """A fault: a request runs and gets a signed answer of this status."""

    status: int


Misleading = LateCopy | SignedFailure

FORMS: tuple[LateCopy, ...] = (
    LateCopy(),
    LateCopy(glued=True),
    *(
        LateCopy(names=names, glued=glued)
        for names in (Names.NONE, Names.EMPTY)
        for glued in (False, True)
    ),
    LateCopy(names=Names.OTHER_THEN_OWN),
    LateCopy(names=Names.OWN_THEN_OTHER),
    LateCopy(names=Names.NONE, change=Change.BARE_421),
    LateCopy(names=Names.NONE, change=Change.BODY),
    LateCopy(names=Names.NONE, change=Change.TWICE),
    LateCopy(names=Names.OWN, change=Change.INTERIM),
    LateCopy(names=Names.OWN, change=Change.SIGNED),
    LateCopy(names=Names.NONE, change=Change.SIGNED),
    LateCopy(names=Names.OWN, change=Change.STATUS_200),
    LateCopy(names=Names.NONE, change=Change.STATUS_200),
    LateCopy(names=Names.NONE, change=Change.SUCCESS),
    LateCopy(change=Change.CUT_BEHIND_CLAIM),
    LateCopy(change=Change.CUT_IN_REASON),
    LateCopy(change=Change.CUT_IN_ID),
    LateCopy(change=Change.CUT_BEHIND_LINE),
)
"""The forms that a gateway has to tell from an answer."""


def encode(copy: LateCopy, other_id: str, own_id: str) -> bytes:
    """Returns the bytes of a late copy.

    Args:
        copy: The copy.
        other_id: The id of the request that was refused.
        own_id: The id of the request whose answer is due.
    """
    ids = [f"{_ID}: {each}" for each in _ids(copy.names, other_id, own_id)]
    refusal = "HTTP/1.1 503 Service Unavailable"
    signature = "Response-Signature: signed-before"
    whole = _head(refusal, CLAIM, *ids)
    match copy.change:
        case Change.NONE:
            return whole
        case Change.BARE_421:
            return _head("HTTP/1.1 421 Misdirected Request", *ids)
        case Change.BODY:
            return _head(refusal, CLAIM, *ids, body=_BODY)
        case Change.TWICE:
            return 2 * whole
        case Change.INTERIM:
            head = ["HTTP/1.1 103 Early Hints", CLAIM, *ids, "", ""]
            return "\r\n".join(head).encode()
        case Change.SIGNED:
            return _head(refusal, CLAIM, signature, *ids)
        case Change.STATUS_200:
            return _head("HTTP/1.1 200 OK", CLAIM, *ids)
        case Change.SUCCESS:
            return _head("HTTP/1.1 200 OK", signature, *ids, body=_SUCCESS_BODY)
        case Change.CUT_BEHIND_CLAIM:
            return whole[: whole.index(CLAIM.encode()) + len(CLAIM)]
        case Change.CUT_IN_REASON:
            return whole[: refusal.index("Unavailable")]
        case Change.CUT_IN_ID:
            start = whole.index(_ID.encode()) + len(f"{_ID}: ")
            return whole[: start + len(other_id) // 2]
        case Change.CUT_BEHIND_LINE:
            return whole[: whole.index(CLAIM.encode()) + len(CLAIM) + 2]


def is_cut(copy: LateCopy) -> bool:
    """Returns whether the head of a copy is not whole."""
    return copy.change in (
        Change.CUT_BEHIND_CLAIM,
        Change.CUT_IN_REASON,
        Change.CUT_IN_ID,
        Change.CUT_BEHIND_LINE,
    )


def _ids(names: Names, other_id: str, own_id: str) -> list[str]:
    match names:
        case Names.OTHER:
            return [other_id]
        case Names.NONE:
            return []
        case Names.EMPTY:
            return [""]
        case Names.OTHER_THEN_OWN:
            return [other_id, own_id]
        case Names.OWN_THEN_OTHER:
            return [own_id, other_id]
        case Names.OWN:
            return [own_id]


def _head(status_line: str, *lines: str, body: bytes = b"") -> bytes:
    length = f"Content-Length: {len(body)}"
    return "\r\n".join([status_line, *lines, length, "", ""]).encode() + body
