"""Orders to instances and what became of them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ['Order', 'OrderKind', 'OrderResult']


class OrderKind(enum.Enum):
    """What an instance is told to do."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'
    STAGE = 'stage'


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one instance.

    :param instance: name of the instance, which refuses orders for another.
    :param epoch: fencing token; an instance refuses one below the highest seen.
    """

    kind: OrderKind
    instance: str
    address: str
    group: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()


class OrderResult(enum.Enum):
    """What became of an order.

    ``UNKNOWN`` orders may have been carried out, or may be seconds later.  ``DROPPED``
    ones were no longer due when their turn came, and did not leave.
    """

    TAKEN = 'taken'
    DONE = 'done'
    UNFIT = 'unfit'
    OUTDATED = 'outdated'
    OTHER_INSTANCE = 'other instance'
    UNREACHED = 'unreached'
    UNKNOWN = 'unknown'
    DROPPED = 'dropped'

    @property
    def definite(self) -> bool:
        """Whether the instance itself answered."""
        return self not in (
            OrderResult.UNREACHED,
            OrderResult.UNKNOWN,
            OrderResult.DROPPED,
        )
