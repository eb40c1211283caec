"""What a node knows of the cluster, as one frozen value."""

from __future__ import annotations

from dataclasses import dataclass, field

from coursepitch.config.history import Configuration

__all__ = ['ClusterView', 'Duty', 'Lease']


@dataclass(frozen=True, slots=True)
class Lease:
    """The node's lease.

    :param deadline: monotonic time up to which it is surely held, counted
        from before the call that granted or renewed it.
    """

    name: str = ''
    deadline: float = 0.0

    def holds(self, now: float) -> bool:
        """Return whether the lease is surely held."""
        return bool(self.name) and now < self.deadline


@dataclass(frozen=True, slots=True)
class Duty:
    """A duty key in the service.

    :param lease: lease under which the holder took it; a later lease of the
        same node does not hold it.
    """

    holder: str
    lease: str


@dataclass(frozen=True, slots=True)
class ClusterView:
    """The cluster as this node knows it.

    :param contact_at: monotonic time, at the latest, at which the service
        confirmed, to this node or a peer, that no newer revision existed;
        ``None`` for never.
    :param own_contact_at: the same for this node alone.
    :param live: nodes whose lease is held, as last seen.
    :param listed: whether ``duties`` and ``live`` were ever read.
    """

    configuration: Configuration = field(default_factory=Configuration)
    snapshot: int = 0
    contact_at: float | None = None
    own_contact_at: float | None = None
    lease: Lease = field(default_factory=Lease)
    duties: dict[str, Duty] = field(default_factory=dict)
    live: dict[str, str] = field(default_factory=dict)
    listed: bool = False

    def candidates(self) -> frozenset[str]:
        """Return the nodes that may hold duties: live and registered."""
        return self.nodes() & frozenset(self.live)

    def nodes(self) -> frozenset[str]:
        """Return the names of the registered nodes."""
        resources = self.configuration.of_kind('node')
        return frozenset(item.key.name for item in resources)
