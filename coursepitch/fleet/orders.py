"""Orders to instances and their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ['Order', 'OrderKind', 'OrderResult']


class OrderKind(enum.Enum):
    """Action that an instance is ordered to take."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'
    STAGE = 'stage'


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one instance.

    :param instance: name of the instance, which refuses orders for any other.
    :param epoch: fencing token; an instance refuses one below the highest it has seen.
    """

    kind: OrderKind
    instance: str
    address: str
    group: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()


class OrderResult(enum.Enum):
    """Result of an order.

    ``UNKNOWN`` orders may have been carried out, or may still be, seconds later.
    ``DROPPED`` orders were not sent, as they were no longer due when their turn came.
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
        """Whether the instance itself answered the order."""
        return self not in (
            OrderResult.UNREACHED,
            OrderResult.UNKNOWN,
            OrderResult.DROPPED,
        )
