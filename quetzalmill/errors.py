"""The exception hierarchy of quetzalmill.

Each layer raises its own branch and translates errors of the layer below into
it. Nothing here performs I/O or formats responses to callers.
"""


class QuetzalmillError(Exception):
    """Base class of every error that the project raises."""


class SettingsError(QuetzalmillError):
    """A settings file is invalid.

    Attributes:
        problems: One sentence per problem, naming the file and the field.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class CodecError(QuetzalmillError):
    """Data does not decode to the expected type."""


class SelectorError(QuetzalmillError):
    """A label selector cannot be parsed."""


class HttpError(QuetzalmillError):
    """Base class of the errors of HTTP exchanges."""


class ConnectFailedError(HttpError):
    """Connecting failed, so no byte of the request was sent."""


class RequestWithdrawnError(HttpError):
    """The sender withdrew the request before any byte of it was sent."""


class ConnectionLostError(HttpError):
    """The connection was lost after bytes of the request were sent."""


class ResponseTimeoutError(HttpError):
    """The response timed out after bytes of the request were sent."""


class BadMessageError(HttpError):
    """A message violates HTTP or exceeds a size limit.

    Attributes:
        status: The HTTP status that describes the violation.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class ExternalSystemError(QuetzalmillError):
    """Base class of the errors of external systems."""


class NotExecutedError(ExternalSystemError):
    """The external system definitely did not execute the request."""


class RefusedByEndpointError(NotExecutedError):
    """An endpoint refused a request that others would refuse as well."""


class RejectedError(NotExecutedError):
    """The external system refused a request that it would refuse again."""


class ThrottledError(NotExecutedError):
    """The external system temporarily accepts no more requests."""


class OutcomeUnknownError(ExternalSystemError):
    """The external system may or may not have executed the request."""


class RetentionError(ExternalSystemError):
    """The requested records are older than the log's retention.

    Attributes:
        first_offset: The first offset that the log still holds.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log now starts at offset {first_offset}")
        self.first_offset = first_offset


class ControlCallError(QuetzalmillError):
    """A control call to another process failed or got no response."""


class OperatorError(QuetzalmillError):
    """Base class of the errors that clients of the operator API see."""


class OperatorUnavailableError(OperatorError):
    """No operator address returned a usable response."""


class OperatorRefusedError(OperatorError):
    """The request was understood but refused; the message says why."""


class OperatorTimeoutError(OperatorError):
    """The awaited condition did not occur in time."""
