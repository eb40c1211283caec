"""Exception tree of the package."""

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
    'PeerError',
    'RequestTooLargeError',
    'RequestError',
    'TargetError',
    'UnavailableError',
]


class CoursepitchError(Exception):
    """Base class of all errors that the package raises.

    ``category`` is a short word that the command line prints before the
    message; ``exit_code`` is what a command exits with.
    """

    category = 'internal'
    exit_code = 1


class FindingsError(CoursepitchError):
    """Settings or resources that cannot be taken, with every finding."""

    category = 'invalid'
    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(finding) for finding in self.findings))


class ChartError(CoursepitchError):
    """A state chart file that does not describe a usable chart."""

    category = 'chart'


class CodecError(CoursepitchError):
    """Bytes from another process that are no valid message."""

    category = 'codec'


class UnavailableError(CoursepitchError):
    """The key-value service gave no usable answer.

    :param maybe_applied: whether a write may have taken effect.
    """

    category = 'unavailable'

    def __init__(self, message: str, *, maybe_applied: bool = False) -> None:
        super().__init__(message)
        self.maybe_applied = maybe_applied


class ConflictError(CoursepitchError):
    """A write against a resource version that is no longer the newest."""

    category = 'conflict'

    def __init__(self, message: str, current: dict[str, object] | None = None) -> None:
        super().__init__(message)
        self.current = current


class NotFoundError(CoursepitchError):
    """A named thing that does not exist."""

    category = 'not-found'


class ForbiddenError(CoursepitchError):
    """A key that is missing or not allowed."""

    category = 'forbidden'


class RequestError(CoursepitchError):
    """A malformed request from a caller or an operator."""

    category = 'request'


class RequestTooLargeError(RequestError):
    """A request larger than the settings allow."""


class PeerError(CoursepitchError):
    """A link to another node that cannot be used."""

    category = 'peer'


class TargetError(CoursepitchError):
    """A target that did not carry out an order."""

    category = 'target'
