"""What an operator may want to know about objects that are in force.

Such objects break no rule, and another change may be on its way that makes
them useful; so these are hints and no reasons to reject.
"""

from collections.abc import Iterable

from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import objects
from quetzalmill import selectors

_CHOOSERS = {objects.MODEL: objects.ENGINE, objects.ROUTE: objects.SERVICE}
"""The kind of endpoint that the selectors of a kind of object choose."""


def hints_of(
    config: configuration.Configuration,
    changes: Iterable[objects.ObjectChange],
) -> list[str]:
    """Returns hints about what a record's changes leave without effect."""
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
    endpoints_changed = any(kind == objects.ENDPOINT for kind, _ in changed)
    for kind, chosen in _CHOOSERS.items():
        for stored in config.all_of(kind):
            if not (endpoints_changed or (kind, stored.name) in changed):
                continue
            selector = str(stored.spec.get("selector", ""))
            if not _chooses_any(selector, chosen, endpoints.values()):
                hints.append(
                    f"{kind}/{stored.name}: its selector chooses no {chosen} "
                    "endpoint"
                )
    return hints


def _chooses_any(
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
