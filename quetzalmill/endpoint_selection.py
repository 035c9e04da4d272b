"""Selects the endpoint for a send, by what the gateway knows of all of them.

It collects what ``endpoint_choice`` weighs: cached prompts, cold endpoints, the
affinity of objects, learned speeds and loads.
"""

from collections.abc import Collection
import random

from quetzalmill import clock as clock_module
from quetzalmill import cold_endpoints
from quetzalmill import crossing_cost
from quetzalmill import dispatch_job
from quetzalmill import endpoint_choice
from quetzalmill import endpoint_health
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import homes as homes_module
from quetzalmill import load_control
from quetzalmill import object_affinity
from quetzalmill import speed_recorder


class EndpointSelector:
    """Selects endpoints of a pool.

    Args:
        pool: The endpoints.
        cold: The requests to cold endpoints.
        recorder: The learned speeds and sizes.
        latencies: The average latencies of routes.
        clock: The process's clock.
        failure_domain: The gateway's failure domain.
        random_source: The source of randomness for the selection.

    Attributes:
        prefixes: The prompt parts that endpoints have cached.
    """

    def __init__(
        self,
        pool: endpoint_pool.EndpointPool,
        cold: cold_endpoints.ColdEndpoints,
        recorder: speed_recorder.SpeedRecorder,
        latencies: endpoint_health.AverageLatencies,
        clock: clock_module.Clock,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._pool = pool
        self._cold = cold
        self._recorder = recorder
        self._latencies = latencies
        self._clock = clock
        self._failure_domain = failure_domain
        self._random = random_source
        self._objects = object_affinity.ObjectAffinity()
        self.prefixes = endpoint_choice.PrefixCacheIndex()

    def choose(
        self,
        job: dispatch_job.Job,
        *,
        may_repeat: bool,
        among: Collection[str] | None = None,
    ) -> endpoint_record.EndpointState | None:
        """Chooses an endpoint; one tried before only if there is no other.

        Args:
            job: The request.
            may_repeat: Whether one tried before may be chosen.
            among: The ids of the endpoints to choose from; None for all.
        """
        now_ms = self._clock.now_ms()
        usable = self._pool.usable(
            job.service.name, now_ms, job.current_homes()
        )
        if among is not None:
            usable = [e for e in usable if e.endpoint.endpoint_id in among]
        tried = job.tried
        untried = [e for e in usable if e.endpoint.endpoint_id not in tried]
        if may_repeat and not untried:
            untried = usable
        uncached = {
            each.endpoint.endpoint_id: self.prefixes.uncached_tokens(
                each.endpoint.endpoint_id, job.call.prompt_parts
            )
            for each in untried
        }
        untried = self._cold.admissible(job, untried, uncached, now_ms)
        uncached = {
            each.endpoint.endpoint_id: uncached[each.endpoint.endpoint_id]
            for each in untried
        }
        gains_ms = self._objects.gains_ms(
            job.route,
            job.call.object_key,
            untried,
            lambda each: self._pool.estimated_load(each, now_ms),
            average_ms=self._latencies.average_ms(job.route.name),
            now_ms=now_ms,
        )
        own_domain = {
            each.endpoint.endpoint_id
            for each in untried
            if each.endpoint.failure_domain == self._failure_domain
        }
        candidates = endpoint_choice.sample_candidates(
            uncached, self._random, own_domain
        )
        candidates |= gains_ms.keys()
        average_ms = self._latencies.average_ms(job.route.name)
        estimates = [
            endpoint_choice.estimate(
                each,
                uncached_tokens=uncached[each.endpoint.endpoint_id],
                failure_domain=self._failure_domain,
                is_engine=job.service.is_engine,
                now_ms=now_ms,
                average_ms=average_ms,
                load=self._pool.estimated_load(each, now_ms),
                margin_ms=crossing_cost.margin_ms(
                    job.route.target_latency_ms, average_ms
                ),
                speed=self._recorder.speeds.speed(
                    job.service.name, each.speed, now_ms
                ),
            )
            for each in untried
            if each.endpoint.endpoint_id in candidates
        ]
        if gains_ms:
            estimates = object_affinity.lowered(estimates, gains_ms)
        best = endpoint_choice.choose(estimates, self._random)
        if best is None:
            return None
        job.affinity = object_affinity.describe(
            gains_ms, best.endpoint_state.endpoint.endpoint_id
        )
        job.has_alternative = len(untried) > 1
        job.load = best.endpoint_state.load(now_ms)
        job.uncached_tokens = best.uncached_tokens
        return best.endpoint_state

    def record_ran(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
    ) -> None:
        """Records that an endpoint has run a request."""
        endpoint = endpoint_state.endpoint
        self.prefixes.record(endpoint.endpoint_id, job.call.prompt_parts)
        self._objects.record(
            job.route, job.call.object_key, endpoint, self._clock.now_ms()
        )

    def reason_without_endpoint(self, job: dispatch_job.Job) -> str:
        """Returns why none of a service's endpoints is usable; empty if none.

        An order to evacuate is named where it alone prevents the request.
        """
        of_service = [
            known
            for known in self._pool.all()
            if known.endpoint.service == job.service.name
        ]
        if not of_service:
            return ""
        if all(map(self._pool.is_evacuated, of_service)):
            return "all endpoints are in evacuated domains"
        return "all endpoints leave"

    def load_per_slot(
        self,
        service: str,
        homes: homes_module.Homes = homes_module.EVERYWHERE,
    ) -> float:
        """Returns a service's load in requests per slot, in some regions."""
        now_ms = self._clock.now_ms()
        usable = self._pool.usable(service, now_ms, homes)
        return load_control.load_per_slot(
            # An engine's own report dates from its last response. Placement
            # takes the larger of the two stale counts, which would
            # overestimate the load here.
            [each.all_running() for each in usable],
            [each.endpoint.slots for each in usable],
        )
