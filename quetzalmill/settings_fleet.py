"""Checks of the settings of several processes against each other."""

from collections.abc import Mapping

import attrs

from quetzalmill import fleet_file
from quetzalmill import objects
from quetzalmill import settings
from quetzalmill import settings_rules


@attrs.frozen
class FleetReport:
    """The inconsistencies between several files.

    Attributes:
        problems: Mistakes, regardless of files that were not checked.
        hints: Mistakes, unless a file that was not checked explains them.
    """

    problems: list[str]
    hints: list[str]


def compare(
    processes: Mapping[str, settings.ProcessSettings],
    fleets: Mapping[str, list[fleet_file.FileObject]],
) -> FleetReport:
    """Compares files that are each valid on their own.

    Args:
        processes: Settings by path.
        fleets: Published objects by path.
    """
    problems = _duplicate_hosts(processes) + _duplicate_addresses(processes)
    hints = _unknown_peers(processes) + _unknown_hosts(processes, fleets)
    return FleetReport(problems, hints)


def _duplicate_hosts(
    processes: Mapping[str, settings.ProcessSettings],
) -> list[str]:
    problems: list[str] = []
    path_of: dict[str, str] = {}
    for path, loaded in processes.items():
        first = path_of.setdefault(loaded.host, path)
        if first != path:
            problems.append(
                f"{path}: host: is {loaded.host!r}, as in {first}; give each "
                "process its own host"
            )
    return problems


def _duplicate_addresses(
    processes: Mapping[str, settings.ProcessSettings],
) -> list[str]:
    problems: list[str] = []
    location_of: dict[settings_rules.Address | None, str] = {}
    for path, loaded in processes.items():
        for field, text in settings.listeners(loaded).items():
            location = f"{path}: {field}"
            address = settings_rules.parse_address(text)
            first = location_of.setdefault(address, location)
            if first != location:
                problems.append(
                    f"{location}: is {text!r}, as in {first}; choose "
                    "another port"
                )
    return problems


def _unknown_peers(
    processes: Mapping[str, settings.ProcessSettings],
) -> list[str]:
    """Returns hints on control addresses that no entry listens on."""
    known = {
        loaded.advertised_control_address or loaded.control_address
        for loaded in processes.values()
        if isinstance(loaded, settings.EntrySettings)
    }
    if not known:
        return []
    hints: list[str] = []
    for path, loaded in processes.items():
        match loaded:
            case settings.EntrySettings(peers=named):
                field = "peers"
            case settings.SidecarSettings(entries=named):
                field = "entries"
        unknown = [text for text in named if text not in known]
        if unknown:
            hints.append(
                f"{path}: {field}: no checked entry has the control_address "
                + ", ".join(unknown)
            )
    return hints


def _unknown_hosts(
    processes: Mapping[str, settings.ProcessSettings],
    fleets: Mapping[str, list[fleet_file.FileObject]],
) -> list[str]:
    """Returns hints on endpoints whose host no sidecar runs on."""
    known = {
        loaded.host
        for loaded in processes.values()
        if isinstance(loaded, settings.SidecarSettings)
    }
    if not known:
        return []
    hints: list[str] = []
    for path, found in fleets.items():
        unknown = [
            f"endpoint/{item.name} ({item.spec['host']})"
            for item in found
            if item.kind == objects.ENDPOINT and item.spec["host"] not in known
        ]
        if unknown:
            hints.append(
                f"{path}: host: no checked sidecar has the host of "
                + ", ".join(unknown)
            )
    return hints
