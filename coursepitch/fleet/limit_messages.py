"""Messages between nodes about the rate limits that instances set."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from coursepitch.fleet.rows import read_text

__all__ = [
    'LimitReport',
    'ReportedLimit',
    'SendReply',
    'SendRequest',
    'decode_limit',
    'encode_limit',
]


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """A rate limit that an instance set in a response.

    :param limit: requests per second that it accepts from all nodes together; ``None``
        for no limit.
    :param age_s: seconds since it was read, when the message was sent.
    :param read_by: node that read it.
    :param origin: incarnation of that node.
    :param stamp: time of reading by that node's clock, in seconds.
    """

    instance: str
    limit: float | None
    age_s: float
    read_by: str
    origin: int
    stamp: float


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Rate limits that nodes read in responses of instances."""

    node: str
    rows: tuple[ReportedLimit, ...] = ()


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Request to the leader for permission to send one request to an instance.

    :param number: identifies the message at its sender.
    :param limit: the instance's limit as known to the sender, if it set one.
    :param cold: name of the instance and the seconds for which it stays cold, as known
        to the sender; ``None`` if it is warm.
    """

    node: str
    number: int
    limit: ReportedLimit | None
    cold: tuple[str, float] | None = None

    @property
    def instance(self) -> str:
        """The instance's name; empty if the message names none."""
        if self.limit is not None:
            return self.limit.instance
        return self.cold[0] if self.cold else ''


@dataclass(frozen=True, slots=True)
class SendReply:
    """The leader's response to a :class:`SendRequest`.

    :param number: number of the message that is answered.
    :param again_s: seconds after which to ask again, if not granted.
    """

    node: str
    number: int
    granted: bool
    again_s: float = 0.0


def encode_limit(row: ReportedLimit) -> list[object]:
    """Return a limit as a row of a message."""
    origin = [row.read_by, row.origin, row.stamp]
    return [row.instance, row.limit, row.age_s, *origin]


def decode_limit(row: Any) -> ReportedLimit:
    """Return the limit from a row of a message.

    :raises TypeError: a field has the wrong type.
    :raises ValueError: the number of fields is wrong.
    """
    instance, limit, age_s, read_by, origin, stamp = row
    return ReportedLimit(
        read_text(instance),
        None if limit is None else float(limit),
        float(age_s),
        read_text(read_by),
        int(origin),
        float(stamp),
    )
