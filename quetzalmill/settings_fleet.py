"""Checks of the settings of several processes against each other."""

from collections.abc import Mapping

import attrs

from quetzalmill import fleet_file
from quetzalmill import objects
from quetzalmill import settings
from quetzalmill import settings_rules


@attrs.frozen
class FleetReport:
    """What is wrong or doubtful among several files.

    Attributes:
        problems: Mistakes, whatever files were left out.
        hints: Mistakes, unless a file that was left out explains them.
    """

    problems: list[str]
    hints: list[str]


def compare(
    processes: Mapping[str, settings.AnySettings],
    fleets: Mapping[str, list[fleet_file.FileObject]],
) -> FleetReport:
    """Compares files that were each found right.

    Args:
        processes: Settings by path.
        fleets: Published objects by path.
    """
    problems = _same_hosts(processes) + _same_addresses(processes)
    hints = _unknown_peers(processes) + _unknown_hosts(processes, fleets)
    return FleetReport(problems, hints)


def _same_hosts(processes: Mapping[str, settings.AnySettings]) -> list[str]:
    problems: list[str] = []
    path_of: dict[str, str] = {}
    for path, loaded in processes.items():
        first = path_of.setdefault(loaded.host, path)
        if first != path:
            problems.append(
                f"{path}: host: is {loaded.host!r}, as in {first}; give each "
                "process a host of its own"
            )
    return problems


def _same_addresses(processes: Mapping[str, settings.AnySettings]) -> list[str]:
    problems: list[str] = []
    place_of: dict[settings_rules.Address | None, str] = {}
    for path, loaded in processes.items():
        for field, text in settings.listeners(loaded).items():
            place = f"{path}: {field}"
            address = settings_rules.parse_address(text)
            first = place_of.setdefault(address, place)
            if first != place:
                problems.append(
                    f"{place}: is {text!r}, as in {first}; choose another port"
                )
    return problems


def _unknown_peers(processes: Mapping[str, settings.AnySettings]) -> list[str]:
    """Names control addresses that none of the entries listens on."""
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
    processes: Mapping[str, settings.AnySettings],
    fleets: Mapping[str, list[fleet_file.FileObject]],
) -> list[str]:
    """Names endpoints whose host none of the sidecars runs on."""
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
