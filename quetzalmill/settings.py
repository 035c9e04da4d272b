"""The settings of one process, read from one TOML file.

The complete file is checked before anything starts. All its mistakes are
reported together, each with the file, the field and a fix.
"""

from pathlib import Path
import tomllib
from typing import Any, TypeVar

import attrs

from quetzalmill import errors
from quetzalmill import settings_rules

ENTRY = "entry"
SIDECAR = "sidecar"

FAIR = "fair"
FIFO = "fifo"
CACHE_AND_WAIT = "cache_and_wait"
LEAST_OUTSTANDING = "least_outstanding"
ROUND_ROBIN = "round_robin"
FIXED = "fixed"
MEMORY = "memory"

_ROLE = "role"
_RULE = "rule"
_DAY_MS = 86_400_000
_KIB_BYTES = 1024
_GIB_BYTES = 1 << 30

_MILLISECONDS = {_RULE: settings_rules.WholeNumber(1, _DAY_MS, "milliseconds")}
_BYTES = {_RULE: settings_rules.WholeNumber(_KIB_BYTES, _GIB_BYTES, "bytes")}
_COUNT = {_RULE: settings_rules.WholeNumber(1, 1_000_000, "requests")}
_NAME = {_RULE: settings_rules.Name()}
_LISTENER = {_RULE: settings_rules.SingleAddress(listens=True)}
_ADDRESS = {_RULE: settings_rules.SingleAddress()}
_ANY_ADDRESSES = {_RULE: settings_rules.AddressList()}
_SOME_ADDRESSES = {_RULE: settings_rules.AddressList(minimum=1)}
_FRACTION = {_RULE: settings_rules.Fraction()}
_QUEUE_POLICY = {_RULE: settings_rules.Choice((FAIR, FIFO))}
_PLACEMENT_POLICY = {
    _RULE: settings_rules.Choice(
        (CACHE_AND_WAIT, LEAST_OUTSTANDING, ROUND_ROBIN)
    )
}
_LIMIT_POLICY = {_RULE: settings_rules.Choice((FIXED, MEMORY))}
_LOG_LEVEL = {
    _RULE: settings_rules.Choice(("debug", "info", "warning", "error"))
}


@attrs.frozen(kw_only=True)
class EntrySettings:
    """The settings of an entry.

    Attributes:
        host: The host's name, unique in the fleet.
        failure_domain: The failure domain that the host is in.
        http_address: Where callers are served.
        operator_address: Where operators are served.
        control_address: Where other processes send control calls.
        advertised_control_address: Where other processes reach
            ``control_address``, if that differs.
        log_address: Where the log service is reached.
        hosts_address: Where the host list is reached, if there is one.
        peers: Control addresses of other entries to contact first.
        statsd_address: Where metrics are sent; none are when it is absent.
        config_lease_ms: How old the known end of the log may be while keys
            are accepted.
        share_lease_ms: How long the entry may use its fraction of the rates
            after its last update from the log or from peers.
        beat_ms: Time between two heartbeats to a peer.
        peer_timeout_ms: Silence after which a peer counts as unreachable.
        max_body_bytes: The largest request body.
        max_header_bytes: The largest request head.
        call_timeout_ms: The longest time that a call may take.
        drain_timeout_ms: How long a shutdown waits for running requests.
        log_level: The least severe level that is logged.
    """

    host: str = attrs.field(metadata=_NAME)
    failure_domain: str = attrs.field(metadata=_NAME)
    http_address: str = attrs.field(metadata=_LISTENER)
    operator_address: str = attrs.field(metadata=_LISTENER)
    control_address: str = attrs.field(metadata=_LISTENER)
    log_address: str = attrs.field(metadata=_ADDRESS)
    advertised_control_address: str | None = attrs.field(
        default=None, metadata=_ADDRESS
    )
    hosts_address: str | None = attrs.field(default=None, metadata=_ADDRESS)
    peers: list[str] = attrs.field(factory=list, metadata=_ANY_ADDRESSES)
    statsd_address: str | None = attrs.field(default=None, metadata=_ADDRESS)
    config_lease_ms: int = attrs.field(default=5_000, metadata=_MILLISECONDS)
    share_lease_ms: int = attrs.field(default=3_000, metadata=_MILLISECONDS)
    beat_ms: int = attrs.field(default=500, metadata=_MILLISECONDS)
    peer_timeout_ms: int = attrs.field(default=1_500, metadata=_MILLISECONDS)
    max_body_bytes: int = attrs.field(default=4_194_304, metadata=_BYTES)
    max_header_bytes: int = attrs.field(default=32_768, metadata=_BYTES)
    call_timeout_ms: int = attrs.field(default=120_000, metadata=_MILLISECONDS)
    drain_timeout_ms: int = attrs.field(default=150_000, metadata=_MILLISECONDS)
    log_level: str = attrs.field(default="info", metadata=_LOG_LEVEL)


@attrs.frozen(kw_only=True)
class SidecarSettings:
    """The settings of a sidecar.

    Attributes:
        host: The host's name, unique in the fleet.
        failure_domain: The failure domain that the host is in.
        http_address: Where entries and other sidecars send requests.
        control_address: Where other processes send control calls.
        log_address: Where the log service is reached.
        entries: Control addresses of entries to contact first.
        statsd_address: Where metrics are sent; none are when it is absent.
        beat_ms: Time between two heartbeats to a peer.
        peer_timeout_ms: Silence after which a peer counts as unreachable.
        endpoint_failure_ms: Time between two probes of an endpoint that does
            not answer; it gets no request before one succeeds.
        commit_interval_ms: The longest time that a turn waits for others to
            share an append to the log.
        commit_buffer_bytes: Maximum size of the turns that are buffered while
            the log is unavailable.
        lease_ms: How long an engine holds a cached history without renewal.
        program_idle_ms: Idle time after which a program ends.
        queue_policy: The order of queued requests.
        placement_policy: How an endpoint is chosen.
        limit_policy: How the number of running requests is limited.
        max_queue: The largest number of requests queued for an endpoint.
        retry_share: Retries allowed per first attempt, as a fraction.
        call_timeout_ms: The longest time that a call may take at its home.
        max_body_bytes: The largest request body.
        max_header_bytes: The largest request head.
        drain_timeout_ms: How long a shutdown waits for running requests.
        memory_check_ms: Time between two comparisons of the engine's list of
            cached histories with the sidecar's own.
        log_level: The least severe level that is logged.
    """

    host: str = attrs.field(metadata=_NAME)
    failure_domain: str = attrs.field(metadata=_NAME)
    http_address: str = attrs.field(metadata=_LISTENER)
    control_address: str = attrs.field(metadata=_LISTENER)
    log_address: str = attrs.field(metadata=_ADDRESS)
    entries: list[str] = attrs.field(metadata=_SOME_ADDRESSES)
    statsd_address: str | None = attrs.field(default=None, metadata=_ADDRESS)
    beat_ms: int = attrs.field(default=500, metadata=_MILLISECONDS)
    peer_timeout_ms: int = attrs.field(default=1_500, metadata=_MILLISECONDS)
    endpoint_failure_ms: int = attrs.field(default=500, metadata=_MILLISECONDS)
    commit_interval_ms: int = attrs.field(default=20, metadata=_MILLISECONDS)
    commit_buffer_bytes: int = attrs.field(default=8_388_608, metadata=_BYTES)
    lease_ms: int = attrs.field(default=60_000, metadata=_MILLISECONDS)
    program_idle_ms: int = attrs.field(
        default=3_600_000, metadata=_MILLISECONDS
    )
    queue_policy: str = attrs.field(default=FAIR, metadata=_QUEUE_POLICY)
    placement_policy: str = attrs.field(
        default=CACHE_AND_WAIT, metadata=_PLACEMENT_POLICY
    )
    limit_policy: str = attrs.field(default=FIXED, metadata=_LIMIT_POLICY)
    max_queue: int = attrs.field(default=1_000, metadata=_COUNT)
    retry_share: float = attrs.field(default=0.1, metadata=_FRACTION)
    call_timeout_ms: int = attrs.field(default=120_000, metadata=_MILLISECONDS)
    max_body_bytes: int = attrs.field(default=4_194_304, metadata=_BYTES)
    max_header_bytes: int = attrs.field(default=32_768, metadata=_BYTES)
    drain_timeout_ms: int = attrs.field(default=150_000, metadata=_MILLISECONDS)
    memory_check_ms: int = attrs.field(default=5_000, metadata=_MILLISECONDS)
    log_level: str = attrs.field(default="info", metadata=_LOG_LEVEL)


ProcessSettings = EntrySettings | SidecarSettings
_Settings = TypeVar("_Settings", EntrySettings, SidecarSettings)


def load_entry(path: str) -> EntrySettings:
    """Reads and checks an entry's settings.

    Raises:
        errors.SettingsError: The file has mistakes or cannot be read.
    """
    return _load(path, read_table(path), EntrySettings, ENTRY)


def load_sidecar(path: str) -> SidecarSettings:
    """Reads and checks a sidecar's settings.

    Raises:
        errors.SettingsError: The file has mistakes or cannot be read.
    """
    return _load(path, read_table(path), SidecarSettings, SIDECAR)


def load_any(path: str) -> ProcessSettings:
    """Reads and checks the settings of the role that the file names.

    Raises:
        errors.SettingsError: The file has mistakes or cannot be read.
    """
    table = read_table(path)
    match table.get(_ROLE):
        case "entry":
            return _load(path, table, EntrySettings, ENTRY)
        case "sidecar":
            return _load(path, table, SidecarSettings, SIDECAR)
        case None:
            problem = f'{path}: {_ROLE}: is missing; write "entry" or "sidecar"'
        case other:
            problem = (
                f'{path}: {_ROLE}: is {other!r}; write "entry" or "sidecar"'
            )
    raise errors.SettingsError([problem])


def read_table(path: str) -> dict[str, Any]:
    """Reads a TOML file.

    Raises:
        errors.SettingsError: It cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        problem = (
            f"{path}: cannot be read: {error.strerror}; name a readable file"
        )
        raise errors.SettingsError([problem]) from error
    except UnicodeDecodeError as error:
        problem = f"{path}: is not UTF-8 text; save it as UTF-8"
        raise errors.SettingsError([problem]) from error
    except tomllib.TOMLDecodeError as error:
        problem = f"{path}: is not TOML: {error}; correct that line"
        raise errors.SettingsError([problem]) from error


def listeners(settings: ProcessSettings) -> dict[str, str]:
    """Returns the addresses that the process listens on, by field."""
    return {
        field.name: getattr(settings, field.name)
        for field in attrs.fields(type(settings))
        if field.metadata[_RULE] == _LISTENER[_RULE]
    }


def _load(
    path: str, table: dict[str, Any], target: type[_Settings], role: str
) -> _Settings:
    """Builds ``target`` from ``table`` or raises with all its problems."""
    named_role = table.get(_ROLE, role)
    values = {key: value for key, value in table.items() if key != _ROLE}
    problems = _field_problems(values, target)
    problems += _relation_problems(values, target)
    if named_role != role:
        problems.insert(
            0, f'{_ROLE}: is {named_role!r}; a file for this role says "{role}"'
        )
    if problems:
        raise errors.SettingsError([f"{path}: {text}" for text in problems])
    return target(**values)


def _field_problems(
    values: dict[str, Any], target: type[ProcessSettings]
) -> list[str]:
    fields = {field.name: field for field in attrs.fields(target)}
    problems = [
        settings_rules.unknown_key_problem(key, list(fields))
        for key in values
        if key not in fields
    ]
    for name, field in fields.items():
        if name in values:
            problem = settings_rules.problem_with(
                field.metadata[_RULE], values[name]
            )
            if problem:
                problems.append(f"{name}: {problem}")
        elif field.default is attrs.NOTHING:
            problems.append(f"{name}: is missing; add it")
    return problems


def _relation_problems(
    values: dict[str, Any], target: type[ProcessSettings]
) -> list[str]:
    return _listener_clashes(values, target) + _timing_problems(values, target)


def _listener_clashes(
    values: dict[str, Any], target: type[ProcessSettings]
) -> list[str]:
    problems: list[str] = []
    seen: dict[settings_rules.Address, str] = {}
    for field in attrs.fields(target):
        text = values.get(field.name)
        if field.metadata[_RULE] != _LISTENER[_RULE]:
            continue
        address = settings_rules.parse_address(str(text))
        if address in seen:
            problems.append(
                f"{field.name}: is {text!r}, which {seen[address]} listens on "
                "too; choose another port"
            )
        elif address:
            seen[address] = field.name
    return problems


def _timing_problems(
    values: dict[str, Any], target: type[ProcessSettings]
) -> list[str]:
    """Checks the pairs of times of which one must exceed the other."""
    problems: list[str] = []
    for longer, shorter in (
        ("peer_timeout_ms", "beat_ms"),
        ("share_lease_ms", "beat_ms"),
        ("config_lease_ms", "beat_ms"),
    ):
        long_ms = _value_or_default(values, target, longer)
        short_ms = _value_or_default(values, target, shorter)
        if not isinstance(long_ms, int) or not isinstance(short_ms, int):
            continue
        if long_ms <= short_ms:
            problems.append(
                f"{longer}: is {long_ms}, not above {shorter}, which is "
                f"{short_ms}; raise {longer}"
            )
    return problems


def _value_or_default(
    values: dict[str, Any], target: type[ProcessSettings], name: str
) -> Any:
    """Returns a field's value, or None when the role has no such field."""
    for field in attrs.fields(target):
        if field.name == name:
            return values.get(name, field.default)
    return None
