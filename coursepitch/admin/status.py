"""Status of resources and of the node, apart from the desired state."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from coursepitch import events, log
from coursepitch.config.history import pack_spec
from coursepitch.config.resources import Group, Key, Resource
from coursepitch.control.acceptance import Acceptance, advance_acceptance
from coursepitch.peers.records import DomainBody, NodeBody
from coursepitch.serving.servable import select_newest_records

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.control.session import Session
    from coursepitch.peers.hub import PeerHub
    from coursepitch.serving.gate import Gate

__all__ = ['Condition', 'StatusReporter']


@dataclass(frozen=True, slots=True)
class Condition:
    """One thing that holds or not, why, and since when (Unix seconds)."""

    type: str
    holds: bool
    reason: str
    since: float = 0.0

    def render(self) -> dict[str, object]:
        """Return the condition as plain data."""
        return {
            'type': self.type,
            'status': self.holds,
            'reason': self.reason,
            'since': round(self.since, 3),
        }


class StatusReporter:
    """Reads what holds; remembers since when a condition holds."""

    def __init__(
        self,
        me: str,
        session: Session,
        hub: PeerHub,
        gate: Gate,
        evidence_limit_s: float,
        confirm_bound_s: float,
        clock: Clock,
    ) -> None:
        self._me = me
        self._session = session
        self._hub = hub
        self._gate = gate
        self._limit_s = evidence_limit_s
        self._bound_s = confirm_bound_s
        self._acceptance = Acceptance()
        self._clock = clock
        self._since: dict[tuple[str, str], tuple[bool, float]] = {}

    @property
    def accepted(self) -> int:
        """Newest revision that is in force on all nodes that may serve."""
        return self._acceptance.accepted

    def advance(self) -> None:
        """Look at what the nodes have in force; called a few times a second."""
        held = self._session.view.value.configuration.revision
        before = self.accepted
        self._acceptance = advance_acceptance(
            self._acceptance,
            held,
            self._list_in_force().values(),
            self._clock(),
            self._bound_s,
        )
        if self.accepted > before:
            log.emit(events.CONFIG_ACCEPTED, revision=self.accepted)

    def _list_in_force(self) -> dict[str, int]:
        """Return what each registered node is known to have in force."""
        configuration = self._session.view.value.configuration
        bodies = self.read_nodes()
        found = {}
        for item in configuration.of_kind('node'):
            name = item.key.name
            body = bodies.get(name)
            found[name] = 0
            if name == self._me:
                found[name] = configuration.revision
            elif body and body.incarnation == getattr(item.spec, 'incarnation', ''):
                found[name] = body.in_force
        return found

    def render(self, resource: Resource) -> dict[str, Any]:
        """Return a resource with its status."""
        accepted = resource.revision <= self.accepted
        conditions = [self._judge_accepted(resource)]
        status: dict[str, Any] = {
            'observed_generation': resource.generation - (not accepted)
        }
        if isinstance(resource.spec, Group):
            replicas = self._list_replicas(resource.key.name)
            status['replicas'] = replicas
            conditions += self._judge_group(resource.spec, replicas)
        status['conditions'] = [
            self._stamp(resource.key, item).render() for item in conditions
        ]
        return {
            'kind': resource.key.kind,
            'name': resource.key.name,
            'resource_version': resource.revision,
            'generation': resource.generation,
            'spec': pack_spec(resource.spec),
            'status': status,
        }

    def _stamp(self, key: Key, condition: Condition) -> Condition:
        place = (str(key), condition.type)
        held = self._since.get(place)
        if held is None or held[0] != condition.holds:
            held = (condition.holds, time.time())
            self._since[place] = held
        return Condition(condition.type, condition.holds, condition.reason, held[1])

    def _judge_accepted(self, resource: Resource) -> Condition:
        if resource.revision <= self.accepted:
            return Condition('Accepted', True, 'in force everywhere')
        waiting = self.list_waiting(resource.revision)
        reason = f'waiting for {", ".join(waiting)}' if waiting else 'being confirmed'
        return Condition('Accepted', False, reason)

    def list_waiting(self, revision: int) -> list[str]:
        """Return the registered nodes not known to have a revision in force."""
        in_force = self._list_in_force()
        return [name for name, held in in_force.items() if held < revision]

    def read_nodes(self) -> dict[str, NodeBody]:
        """Return what each node last told of itself."""
        return {
            item.key.subject: item.body
            for item in self._hub.records('node')
            if isinstance(item.body, NodeBody)
        }

    def _judge_group(
        self, group: Group, replicas: list[dict[str, Any]]
    ) -> list[Condition]:
        current = [
            item
            for item in replicas
            if item['serving'] and item['version'] == group.version
        ]
        serving = sum(item['serving'] for item in replicas)
        text = f'{len(current)} of {group.replicas} serve version {group.version}'
        complete = len(current) == group.replicas == len(replicas)
        return [
            Condition('Available', serving > 0, f'{serving} replicas serve'),
            Condition('Complete', complete, text),
        ]

    def _list_replicas(self, group: str) -> list[dict[str, Any]]:
        now = self._clock()
        newest = select_newest_records(self._hub.records('domain'))
        newest.sort(key=lambda record: record.key.subject)
        return [
            {
                'name': seen.name,
                'domain': record.key.subject,
                'availability_zone': seen.availability_zone,
                'state': seen.state,
                'version': seen.version,
                'serving': seen.state == 'serving'
                and seen.whole
                and now - record.made_at <= self._limit_s,
                'evidence_age_s': round(now - record.made_at, 2),
                'instances': [member.instance for member in seen.members],
                'missing': [m.instance for m in seen.members if not m.good],
            }
            for record in newest
            if isinstance(record.body, DomainBody)
            for seen in record.body.replicas
            if seen.group == group
        ]

    def describe_node(self) -> dict[str, Any]:
        """Return what this node knows and how old that is."""
        view = self._session.view.value
        now = self._clock()
        contact_at = view.contact_at
        age = None if contact_at is None else round(now - contact_at, 2)
        return {
            'node': self._me,
            'revision': view.configuration.revision,
            'accepted': self.accepted,
            'service_contact_age_s': age,
            'serves': not self._gate.explain_not_ready(),
            'service_answers': self._session.is_up,
            'links': self._hub.link_count,
            'nodes': self._describe_nodes(now),
            'duties': {name: duty.holder for name, duty in sorted(view.duties.items())},
            'waiting_for': self.list_waiting(view.configuration.revision),
        }

    def _describe_nodes(self, now: float) -> list[dict[str, Any]]:
        heard = {item.key.subject: item for item in self._hub.records('node')}
        nodes = []
        for name in sorted(self._session.view.value.registered_nodes() | set(heard)):
            record = heard.get(name)
            body = record.body if record else None
            item: dict[str, Any] = {'name': name, 'in_force': None, 'ready': None}
            item['draining'] = item['heard_age_s'] = None
            if record is not None and isinstance(body, NodeBody):
                item['in_force'] = body.in_force
                item['ready'] = body.ready
                item['draining'] = body.draining
                item['heard_age_s'] = round(now - record.made_at, 2)
            nodes.append(item)
        return nodes
