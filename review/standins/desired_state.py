"""Desired states as the operator writes them."""

from typing import Any

from standins import deployment
from standins import replica

TENANTS = 8


def key_of(tenant: str) -> str:
    """Returns the key of a tenant."""
    return f"key-of-{tenant}"


def tenant_names() -> list[str]:
    """Returns the names of all tenants."""
    return [f"tenant{number}" for number in range(1, TENANTS + 1)]


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns one route, whose path prefix is its name."""
    return {
        "name": name,
        "host": deployment.HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 250,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
        **fields,
    }


def turns_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of turns whose conversations are stored."""
    return route(
        name,
        "stream",
        service,
        **{
            "sticky": True,
            "stateful": True,
            "retentionS": 60,
            "gapAimMs": 200,
            **fields,
        },
    )


def document(
    routes: list[dict[str, Any]], *, engine: str = "", plain: str = ""
) -> dict[str, Any]:
    """Returns a whole desired state.

    Args:
        routes: Its routes.
        engine: The service of model engines, if there is one.
        plain: The plain service, if there is one.
    """
    services: list[dict[str, Any]] = []
    if engine:
        services.append(
            {
                "name": engine,
                "healthPath": "/health",
                "maxConns": 200,
                "engine": {
                    "slots": 24,
                    "kvTokens": 150_404,
                    "chunkTokens": replica.CHUNK_TOKENS,
                },
            }
        )
    if plain:
        services.append(
            {"name": plain, "healthPath": "/health", "maxConns": 96}
        )
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 10_000,
            "idleTimeoutMs": 60_000,
        },
        "tenants": [
            {
                "name": name,
                "apiKeys": [key_of(name)],
                "ratePerS": 1000,
                "burst": 1000,
            }
            for name in tenant_names()
        ],
    }
