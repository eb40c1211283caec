"""Messages between nodes about the rate limits that instances name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from coursepitch.fleet.rows import read_text

__all__ = [
    'LimitsTold',
    'SendAnswered',
    'SendAsked',
    'ToldLimit',
    'decode_limit',
    'encode_limit',
]


@dataclass(frozen=True, slots=True)
class ToldLimit:
    """A rate limit that an instance named in an answer.

    :param limit: requests a second that it takes from all nodes together; ``None`` for
        as many as come.
    :param age_s: seconds since it was read, as the sender knows.
    :param read_by: node that read it.
    :param origin: incarnation of that node.
    :param stamp: reading of that node's clock, in seconds.
    """

    instance: str
    limit: float | None
    age_s: float
    read_by: str
    origin: int
    stamp: float


@dataclass(frozen=True, slots=True)
class LimitsTold:
    """Rate limits that were read in answers of instances."""

    node: str
    rows: tuple[ToldLimit, ...] = ()


@dataclass(frozen=True, slots=True)
class SendAsked:
    """A node asks the leader whether it may send one request to an instance.

    :param number: names the question at its node.
    :param limit: what the node knows of the instance's limit.
    """

    node: str
    number: int
    limit: ToldLimit


@dataclass(frozen=True, slots=True)
class SendAnswered:
    """The leader's answer to a question whether a request may be sent.

    :param number: names the question at the node that asked.
    :param again_s: seconds after which to ask again, where it may not.
    """

    node: str
    number: int
    granted: bool
    again_s: float = 0.0


def encode_limit(row: ToldLimit) -> list[object]:
    """Return a reading as a row of a message."""
    origin = [row.read_by, row.origin, row.stamp]
    return [row.instance, row.limit, row.age_s, *origin]


def decode_limit(row: Any) -> ToldLimit:
    """Return the reading that a row of a message holds.

    :raises TypeError: a field has another type.
    :raises ValueError: there are more fields or fewer.
    """
    instance, limit, age_s, read_by, origin, stamp = row
    return ToldLimit(
        read_text(instance),
        None if limit is None else float(limit),
        float(age_s),
        read_text(read_by),
        int(origin),
        float(stamp),
    )
