"""A request to a plain service whose runs meet scripted instances, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

from coursepitch.config.routes import RouteKind
from coursepitch.gateway.calls import CallServer
from coursepitch.gateway.request_handler import Gateway
from coursepitch.metrics import Metrics
from tests.fleet.builders import NO_SUSPICION, build_instance
from tests.gateway.simulated_runs import Simulation, _shift

__all__ = ['OBJECTIVE_S', 'CallSimulation', 'PlainStreamSimulation']

SERVICE = 'plain'

#: Latency objective of the route in seconds.
OBJECTIVE_S = 0.4


class CheckedCallServer(CallServer):
    """A call server that keeps the runs it begins."""

    on_begin = None

    def _begin_run(self, job, instance, tried, last_event):
        run = super()._begin_run(job, instance, tried, last_event)
        self.on_begin(job, run)
        return run


class PlainStreamSimulation(Simulation):
    """One stream up to its end, at instances ``p0``, ``p1``, ... without groups."""

    def _build(self):
        super()._build()
        components = self.streams._components
        service = SimpleNamespace(name=SERVICE, engine=None, connections=100)
        for number, script in enumerate(self.case.scripts):
            name = f'p{number}'
            self.scripts[name] = _shift(script)
            zone = 'a' if not number else 'b'
            self.view.instances[name] = build_instance(
                name, service=SERVICE, slots=4, availability_zone=zone
            )
        self.view.version += 1
        self.view.table.services[SERVICE] = service
        calls = CheckedCallServer(components)
        calls.on_begin = self._note_begin
        self.gateway = Gateway(components, self.streams, calls, NO_SUSPICION, Metrics())
        self.job.service = service
        self.job.route = replace(self.job.route, objective_s=OBJECTIVE_S)


class CallSimulation(PlainStreamSimulation):
    """One call up to its end, whose response is buffered whole."""

    def _build(self):
        super()._build()
        kind = RouteKind.REPEATABLE if self.case.resumable else RouteKind.ONCE
        self.job.route = replace(self.job.route, kind=kind)
