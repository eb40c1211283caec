"""Bounds of the requests that are sent to one target at a time."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ['TokensInFlight', 'find_plain_bound']

#: Requests beyond the slots of a plain instance, as a share of its slots.  An instance
#: queues some requests itself, and the loads that peers report are up to 0.4 s old, so
#: a lower bound would hold requests back while slots are free.
PLAIN_QUEUE_SHARE = 0.5


def find_plain_bound(slots: int) -> int:
    """Return the requests in flight at which a plain instance counts as full.

    :param slots: requests that it processes at a time.
    """
    return slots + int(slots * PLAIN_QUEUE_SHARE)


@dataclass(eq=False)
class TokensInFlight:
    """Tokens in the key-value caches of targets that this node's requests need."""

    _tokens: dict[str, int] = field(default_factory=dict)

    def begin(self, target: str, tokens: int) -> None:
        """Add the tokens of a request that is sent to a target."""
        self._tokens[target] = self._tokens.get(target, 0) + tokens

    def end(self, target: str, tokens: int) -> None:
        """Remove the tokens of a request that has ended."""
        left = self._tokens.get(target, 0) - tokens
        if left > 0:
            self._tokens[target] = left
        else:
            self._tokens.pop(target, None)

    def count(self, target: str) -> int:
        """Return the tokens of this node's requests at a target."""
        return self._tokens.get(target, 0)

    def has_room(self, target: str, tokens: int, peers: int, capacity: int) -> bool:
        """Whether a request fits into the cache of a target.

        A request that is larger than the whole cache is sent to a target that has no
        other requests, which then rejects it.

        :param peers: tokens of other nodes' requests at the target.
        :param capacity: tokens that the cache holds.
        """
        present = self.count(target) + peers
        return not present or present + tokens <= capacity
