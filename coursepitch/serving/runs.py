"""State of a request and its attempts in the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from coursepitch.errors import CodecError
from coursepitch.serving.attempts import AttemptResult
from coursepitch.util.bounded_http import Exchange

if TYPE_CHECKING:
    from coursepitch.serving.admission import Slot
    from coursepitch.serving.model_request import ModelRequest
    from coursepitch.serving.race import Reading

__all__ = ['NON_RETRYABLE_STATUSES', 'Attempt', 'Run', 'read_text', 'read_token_count']

#: HTTP statuses that any other replica would return as well.
NON_RETRYABLE_STATUSES = frozenset({400, 404, 413, 422})


@dataclass(eq=False)
class Attempt:
    """State of one attempt on one replica.

    :param name: identifier of the attempt, sent as X-Request-Id.
    :param chunks_before: number of chunks that the caller had when the attempt began.
    :param status: HTTP status of a refused attempt, else 0.
    :param head_at: monotonic time at which its head arrived; ``None`` before it.
    :param first_chunk_at: monotonic time of its first chunk; ``None`` before it.
    :param wrote_s: seconds between its first and its latest chunk.
    :param timed_out: whether it failed as its connection was not up in time.
    :param exchange: counts the bytes of the connection that it is read from.
    :param received_before: bytes of the exchange when its latest chunk arrived.
    """

    name: str
    address: str
    replica: str
    chunks_before: int = 0
    result: AttemptResult = AttemptResult.NOTHING_SENT
    status: int = 0
    head_at: float | None = None
    first_chunk_at: float | None = None
    wrote_s: float = 0.0
    timed_out: bool = False
    exchange: Exchange = field(default_factory=Exchange)
    received_before: int = 0

    @property
    def received(self) -> int:
        """Bytes on the wire since they last brought a chunk."""
        return self.exchange.received - self.received_before

    def begin_exchange(self) -> Exchange:
        """Return what counts the bytes of a new connection."""
        self.exchange, self.received_before = Exchange(), 0
        return self.exchange

    @property
    def is_whole(self) -> bool:
        """Whether its answer came whole."""
        return self.result is AttemptResult.WHOLE

    @property
    def is_declined(self) -> bool:
        """Whether the request was declined before any chunk, as others would do."""
        return self.status in NON_RETRYABLE_STATUSES and not self.chunks_before

    def note_chunk(self, now: float) -> None:
        """Record that a chunk arrived at a monotonic time."""
        if self.first_chunk_at is None:
            self.first_chunk_at = now
        self.wrote_s = now - self.first_chunk_at
        self.received_before = self.exchange.received


@dataclass(eq=False)
class Run:
    """State of a request over all its attempts.

    :param attempts: number of attempts made.
    :param reopened: whether the stream was reopened since its last new chunk.
    :param chunk_texts: text of each chunk sent to the caller.
    :param tried_replicas: names of the replicas tried.
    :param finished: whether the answer is complete.
    :param finish_sent: whether the caller has the chunk with the finish reason, which
        follows the last token and has no event id.
    :param may_have_run: whether any attempt may have run.
    :param streamed: whether the answer is streamed.
    :param readings: connections on which the answer may still arrive.
    """

    model_request: ModelRequest
    slot: Slot
    attempts: int = 0
    reopened: bool = False
    chunk_texts: list[str] = field(default_factory=list)
    tried_replicas: set[str] = field(default_factory=set)
    current_attempt: Attempt | None = None
    finished: bool = False
    finish_sent: bool = False
    may_have_run: bool = False
    streamed: bool = True
    readings: list[Reading] = field(default_factory=list)


def read_text(chunk: dict[str, Any]) -> str:
    """Return the text of a chunk of a chat or text completion.

    :raises CodecError: the chunk has no choice, or one that is malformed.
    """
    try:
        choice = chunk['choices'][0]
        if 'text' in choice:
            return str(choice['text'])
        return str(choice.get('delta', {}).get('content') or '')
    except (AttributeError, LookupError, TypeError) as error:
        raise CodecError('chunk without a sound choice') from error


def read_token_count(answer: dict[str, Any]) -> int:
    """Return the number of generated tokens that an answer states; 0 if it does not.

    :raises CodecError: the usage is malformed.
    """
    usage = answer.get('usage', {})
    count = usage.get('completion_tokens', 0) if isinstance(usage, dict) else None
    if type(count) is not int or count < 0:
        raise CodecError('usage that is malformed')
    return count
