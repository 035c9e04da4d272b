"""The exception tree of quetzalmill.

Each layer raises its own branch and turns errors of the layer below into its
own. Nothing here performs I/O or formats answers to callers.
"""


class QuetzalmillError(Exception):
    """Base of every error that the project raises."""


class SettingsError(QuetzalmillError):
    """A settings file has mistakes.

    Attributes:
        problems: One sentence for each mistake, naming file and field.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class CodecError(QuetzalmillError):
    """Bytes do not decode to the message that was expected."""


class SelectorError(QuetzalmillError):
    """A label selector cannot be parsed."""


class HttpError(QuetzalmillError):
    """Base of the errors of HTTP exchanges."""


class ConnectFailedError(HttpError):
    """No connection was made, so no byte of the request was sent."""


class WithheldError(HttpError):
    """The sender withdrew the request before a byte of it was sent."""


class ConnectionLostError(HttpError):
    """The connection ended after bytes of the request were sent."""


class ResponseTimeoutError(HttpError):
    """The response did not end in time; bytes of the request were sent."""


class BadMessageError(HttpError):
    """The peer broke HTTP or a size limit.

    Attributes:
        status: The HTTP status that describes the mistake.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class PortError(QuetzalmillError):
    """Base of the errors of the ports to outside systems."""


class NotDoneError(PortError):
    """The outside system surely did not do what was asked."""


class RefusedByEndpointError(NotDoneError):
    """An endpoint refused a request for good; others would refuse it too."""


class ThrottledError(NotDoneError):
    """The outside system takes no more requests for the moment."""


class OutcomeUnknownError(PortError):
    """The outside system may or may not have done what was asked."""


class RetentionError(PortError):
    """Records that were asked for have passed the log's retention.

    Attributes:
        first_offset: The first offset that the log still holds.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log now starts at offset {first_offset}")
        self.first_offset = first_offset


class ControlError(QuetzalmillError):
    """A control call to another process failed or was not answered."""


class OperatorError(QuetzalmillError):
    """Base of the errors of the operators' interface, as its clients see it."""


class OperatorUnavailableError(OperatorError):
    """No operator address gave an answer that could be used."""


class OperatorRefusedError(OperatorError):
    """The request was understood and refused; the message says why."""


class OperatorTimeoutError(OperatorError):
    """What was waited for did not happen in time."""
