"""Immutable snapshot of what a node knows about the cluster."""

from __future__ import annotations

from dataclasses import dataclass, field

from coursepitch.config.history import Configuration

__all__ = ['ClusterView', 'Duty', 'Lease']


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease of this node.

    :param name: identifier of the lease; empty if the node has none.
    :param deadline: monotonic time in seconds until which the lease is certain to be
        held, measured from before the call that granted or renewed it.
    """

    name: str = ''
    deadline: float = 0.0

    def is_held(self, now: float) -> bool:
        """Return whether the lease is certain to be held."""
        return bool(self.name) and now < self.deadline


@dataclass(frozen=True, slots=True)
class Duty:
    """A duty as stored in the key-value service.

    :param holder: name of the node that holds the duty.
    :param lease: lease under which the holder took the duty; a later lease of the
        same node does not hold it.
    """

    holder: str
    lease: str


@dataclass(frozen=True, slots=True)
class ClusterView:
    """The state of the cluster as known to this node.

    :param snapshot_revision: revision of the last snapshot.
    :param contact_at: upper bound on the monotonic time in seconds at which the
        service last confirmed, to this node or a peer, that no newer revision
        existed; ``None`` if it never did.
    :param own_contact_at: the same for confirmations to this node only.
    :param duties: held duties by name, as last read.
    :param live: lease of each live node by name, as last read.
    :param is_loaded: whether ``duties`` and ``live`` have been read at least once.
    """

    configuration: Configuration = field(default_factory=Configuration)
    snapshot_revision: int = 0
    contact_at: float | None = None
    own_contact_at: float | None = None
    lease: Lease = field(default_factory=Lease)
    duties: dict[str, Duty] = field(default_factory=dict)
    live: dict[str, str] = field(default_factory=dict)
    is_loaded: bool = False

    def eligible_nodes(self) -> frozenset[str]:
        """Return the nodes eligible for duties: those both live and registered."""
        return self.registered_nodes() & frozenset(self.live)

    def registered_nodes(self) -> frozenset[str]:
        """Return the names of the registered nodes."""
        resources = self.configuration.of_kind('node')
        return frozenset(item.key.name for item in resources)
