"""Task that runs a controller for each fabric domain this node observes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch.control.domain import DomainController
from coursepitch.control.duties import domain_duty, get_holder, should_observe
from coursepitch.control.fleet import list_live_nodes, list_nodes_with_paths
from coursepitch.peers.records import DomainBody
from coursepitch.peers.topology import compute_domain_interval

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coursepitch.clock import Clock
    from coursepitch.config.settings import TargetSettings
    from coursepitch.control.chart import Chart
    from coursepitch.control.reach import EngineReach
    from coursepitch.control.session import Session
    from coursepitch.peers.hub import PeerHub
    from coursepitch.peers.records import LoadBody
    from coursepitch.platform.kv import KeyValue
    from coursepitch.targets.engine import EngineControl

__all__ = ['DomainObservers']

#: Seconds between two checks of which domains this node should observe.
CHECK_INTERVAL_S = 0.25


class DomainObservers:
    """Starts and stops the domain controllers of this node."""

    def __init__(
        self,
        me: str,
        session: Session,
        hub: PeerHub,
        kv: KeyValue,
        engines: EngineControl,
        settings: TargetSettings,
        chart: Chart,
        publish: Callable[[str, DomainBody, LoadBody, float], None],
        clock: Clock,
        list_domains: Callable[[], Iterable[str]],
        reach: EngineReach,
    ) -> None:
        self._reach = reach
        self._me = me
        self._session = session
        self._hub = hub
        self._kv = kv
        self._engines = engines
        self._settings = settings
        self._chart = chart
        self._publish = publish
        self._clock = clock
        self._list_domains = list_domains
        self._cancel_scopes: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Start and stop domain controllers until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for domain in self._list_domains():
                    wanted = self._should_observe(domain)
                    if wanted and domain not in self._cancel_scopes:
                        self._cancel_scopes[domain] = anyio.CancelScope()
                        group.start_soon(self._observe, domain)
                    elif not wanted and domain in self._cancel_scopes:
                        self._cancel_scopes[domain].cancel()
                await anyio.sleep(CHECK_INTERVAL_S)

    def _should_observe(self, domain: str) -> bool:
        if self._reach.is_cut_off:
            return False
        now = self._clock()
        view = self._session.view.value
        holder = get_holder(view, domain_duty(domain), self._me, now)
        observed_at = {
            item.key.origin: item.made_at
            for item in self._hub.records('domain')
            if item.key.subject == domain and item.key.origin != self._me
        }
        # While engines answer no node, the holder of the duty goes on alone.
        live = list_nodes_with_paths(self._hub, now) or list_live_nodes(self._hub, now)
        observing = domain in self._cancel_scopes
        interval_s = compute_domain_interval(len(view.registered_nodes()))
        return should_observe(
            self._me, domain, holder, observing, observed_at, live, now, interval_s
        )

    async def _observe(self, domain: str) -> None:
        controller = DomainController(
            domain,
            self._me,
            self._session,
            self._kv,
            self._engines,
            self._settings,
            self._chart,
            self._publish,
            self._clock,
            self._find_newest_observation(domain),
            self._reach,
        )
        with self._cancel_scopes[domain]:
            await controller.run()
        del self._cancel_scopes[domain]
        self._hub.withdraw('domain', domain)
        self._hub.withdraw('load', domain)

    def _find_newest_observation(self, domain: str) -> DomainBody | None:
        """Return the newest observation of a domain, or ``None``.

        A new controller starts from it, so that it can work in an outage of the
        key-value service.
        """
        bodies = [
            item.body
            for item in self._hub.records('domain')
            if item.key.subject == domain and isinstance(item.body, DomainBody)
        ]
        return max(bodies, key=lambda body: body.claims_revision, default=None)
