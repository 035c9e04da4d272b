"""Hints for operators about published objects that have no effect yet.

Such objects violate no rule, and a later change may give them an effect, so
these are hints and not reasons to reject a change.
"""

from collections.abc import Iterable

from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import objects
from quetzalmill import selectors

_SELECTED_KINDS = {
    objects.MODEL: objects.ENGINE,
    objects.ROUTE: objects.SERVICE,
}
"""The kind of endpoint that the selector of each kind of object selects."""


def hints_of(
    config: configuration.Configuration,
    changes: Iterable[objects.ObjectChange],
) -> list[str]:
    """Returns hints about objects without effect after a record's changes."""
    hints: list[str] = []
    changed = {(change.kind, change.name) for change in changes}
    endpoints = config.specs(objects.ENDPOINT, objects.EndpointSpec)
    for name, spec in endpoints.items():
        if (objects.ENDPOINT, name) in changed and not config.process(
            spec.host
        ):
            hints.append(
                f"endpoint/{name}: no sidecar on host {spec.host} is known yet"
            )
    domains = {
        process.failure_domain
        for process in config.specs(
            objects.PROCESS, objects.ProcessSpec
        ).values()
    }
    for stored in config.all_of(objects.EVACUATION):
        if (
            objects.EVACUATION,
            stored.name,
        ) in changed and stored.name not in domains:
            hints.append(
                f"evacuation/{stored.name}: no process of this failure domain "
                "is known yet"
            )
    endpoints_changed = any(kind == objects.ENDPOINT for kind, _ in changed)
    for kind, target in _SELECTED_KINDS.items():
        for stored in config.all_of(kind):
            if not (endpoints_changed or (kind, stored.name) in changed):
                continue
            selector = str(stored.spec.get("selector", ""))
            if not _selects_any(selector, target, endpoints.values()):
                hints.append(
                    f"{kind}/{stored.name}: its selector chooses no {target} "
                    "endpoint"
                )
    return hints


def _selects_any(
    text: str, kind: str, endpoints: Iterable[objects.EndpointSpec]
) -> bool:
    try:
        selector = selectors.parse(text)
    except errors.SelectorError:
        return False
    return any(
        spec.kind == kind and selector.matches(spec.labels)
        for spec in endpoints
    )
