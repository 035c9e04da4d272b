"""The local view and the budgets of a gateway without peers, for tests."""

import trio

from quetzalmill import budget_owner
from quetzalmill import budget_peers
from quetzalmill import clock as clock_module
from quetzalmill import gateway_state
from quetzalmill import peer_http
from tests import memory_store


class _NoPeers(budget_peers.BudgetPeers):
    """Replaces the peers of a gateway that has none."""

    def __init__(self) -> None:
        super().__init__(list, peer_http.PeerClient())


def state(clock: clock_module.WallClock) -> gateway_state.GatewayState:
    """Returns the local view of a gateway with one partition."""
    return gateway_state.GatewayState(
        host="h",
        instance="i",
        address="10.0.0.1:1",
        failure_domain="a",
        parts=1,
        clock=clock,
    )


def owner(
    local_view: gateway_state.GatewayState,
    store: memory_store.MemoryStore,
    nursery: trio.Nursery,
) -> budget_owner.BudgetOwner:
    """Returns the owner of the gateway's one partition."""
    return budget_owner.BudgetOwner(
        0,
        store,
        local_view.clock,
        nursery,
        _NoPeers(),
        local_view.record_store_availability,
        local_view.store_reached,
        local_view.holds,
        lambda: 0.0,
        lambda succeeded, took_ms: None,
    )
