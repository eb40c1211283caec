"""Exceptions of the package."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from coursepitch.config.findings import Finding

__all__ = [
    'ChartError',
    'CodecError',
    'ConflictError',
    'CoursepitchError',
    'FindingsError',
    'ForbiddenError',
    'NotFoundError',
    'OverloadedError',
    'PeerError',
    'RequestTooLargeError',
    'RequestError',
    'TargetError',
    'UnavailableError',
]


class CoursepitchError(Exception):
    """Base class of all errors that the package raises.

    ``category`` is a short word that the command line prints before the message;
    ``exit_code`` is the exit status of the command.
    """

    category = 'internal'
    exit_code = 1


class FindingsError(CoursepitchError):
    """Invalid settings or resources.

    :param findings: every problem that was found.
    """

    category = 'invalid'
    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(finding) for finding in self.findings))


class ChartError(CoursepitchError):
    """A state chart file is invalid."""

    category = 'chart'


class CodecError(CoursepitchError):
    """Data from another process is not a valid message."""

    category = 'codec'


class UnavailableError(CoursepitchError):
    """The key-value service did not respond or sent an invalid response.

    :param maybe_applied: whether a write may have taken effect.
    """

    category = 'unavailable'

    def __init__(self, message: str, *, maybe_applied: bool = False) -> None:
        super().__init__(message)
        self.maybe_applied = maybe_applied


class ConflictError(CoursepitchError):
    """A write was based on an outdated version of a resource.

    :param current: the current resource, if known.
    """

    category = 'conflict'

    def __init__(self, message: str, current: dict[str, object] | None = None) -> None:
        super().__init__(message)
        self.current = current


class NotFoundError(CoursepitchError):
    """A resource does not exist."""

    category = 'not-found'


class ForbiddenError(CoursepitchError):
    """A key is missing or not authorized."""

    category = 'forbidden'


class RequestError(CoursepitchError):
    """A request from a caller or an operator is malformed."""

    category = 'request'


class RequestTooLargeError(RequestError):
    """A request exceeds the configured size limit."""


class OverloadedError(CoursepitchError):
    """A request can't be taken now, as too much is held for other clients."""

    category = 'overloaded'

    def __init__(self) -> None:
        super().__init__('(too many bytes are held for clients)')


class PeerError(CoursepitchError):
    """A connection to another node cannot be used."""

    category = 'peer'


class TargetError(CoursepitchError):
    """A target did not carry out an order."""

    category = 'target'
