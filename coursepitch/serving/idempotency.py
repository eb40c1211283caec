"""Idempotency records in the key-value service, for requests run at most once."""

from __future__ import annotations

import base64
import hashlib
import json
import secrets
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from coursepitch.platform.kv import Entry, Swapped, Unavailable, swap_with_readback
from coursepitch.util.decoding import raise_codec_errors

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.platform.kv import KeyValue

__all__ = [
    'Claim',
    'ClaimResult',
    'Decision',
    'Record',
    'RecordState',
    'RequestRecords',
    'decide_claim',
    'record_key',
]

#: Seconds during which new records share one lease.  The lease outlives the time
#: to live of a record by this much.
LEASE_SHARING_S = 600.0

#: Largest number of unsettled records; the oldest above it are dropped.
MAX_UNRECORDED = 200


class RecordState(Enum):
    """State of a recorded request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, slots=True)
class Record:
    """An idempotency record.

    :param nonce: random identifier of the claim that wrote it.
    :param body_hash: SHA-256 of caller, method, URL and body.
    :param body_stored: whether ``body`` is stored; a body above the limit is not.
    """

    nonce: str
    body_hash: str
    state: RecordState
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    body_stored: bool = True

    def encode(self) -> str:
        """Return the record in its stored form, as JSON."""
        data = {
            'nonce': self.nonce,
            'hash': self.body_hash,
            'state': self.state.value,
            'status': self.status,
            'type': self.content_type,
            'body': base64.b64encode(self.body).decode(),
            'kept': self.body_stored,
        }
        return json.dumps(data)


def decode_record(text: str) -> Record:
    """Parse a stored record.

    :raises CodecError: the text is not a valid record.
    """
    with raise_codec_errors('idempotency record'):
        data = json.loads(text)
        return Record(
            str(data['nonce']),
            str(data['hash']),
            RecordState(data['state']),
            int(data['status']),
            str(data['type']),
            base64.b64decode(data['body']),
            bool(data['kept']),
        )


class Decision(Enum):
    """How a request with an idempotency key is handled."""

    CLAIM = 'claim'
    REPLAY = 'replay the recorded answer'
    BUSY = 'running, or its outcome is unknown'
    MISMATCH = 'another request had this key'


def decide_claim(stored: Record | None, body_hash: str) -> Decision:
    """Decide how to handle a request, given the record under its key.

    :param stored: the stored record, or ``None``.
    """
    if stored is None:
        return Decision.CLAIM
    if stored.body_hash != body_hash:
        return Decision.MISMATCH
    if stored.state is RecordState.NOT_RUN:
        return Decision.CLAIM
    if stored.state is RecordState.ANSWERED and stored.body_stored:
        return Decision.REPLAY
    return Decision.BUSY


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim on an idempotency key that this node holds.

    :param key: key in the key-value service.
    :param revision: revision at which the record was written.
    """

    key: str
    record: Record
    revision: int


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of an attempt to claim a key.

    :param claim: the claim, if the decision is to claim.
    :param stored: the stored record, if there is one.
    """

    decision: Decision | Unavailable
    claim: Claim | None = None
    stored: Record | None = None


def record_key(customer: str, idempotency_key: str) -> str:
    """Return the key in the key-value service; the caller's key is hashed."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'request/{customer}/{digest}'


class RequestRecords:
    """Stores claims and outcomes of requests in the key-value service.

    :param ttl_s: time to live of a record in seconds.
    :param body_limit: largest stored body in bytes.
    """

    def __init__(
        self, kv: KeyValue, ttl_s: float, body_limit: int, clock: Clock
    ) -> None:
        self._kv = kv
        self._ttl_s = ttl_s
        self._body_limit = body_limit
        self._clock = clock
        self._lease = ''
        self._lease_until = 0.0
        self._lock = anyio.Lock()
        self.unrecorded: list[Claim] = []

    async def claim_key(self, key: str, body_hash: str) -> ClaimResult:
        """Claim a key; called before any byte is sent to a target."""
        entry = await self._kv.get(key)
        if isinstance(entry, Unavailable):
            return ClaimResult(entry)
        stored = decode_record(entry.value) if entry.present else None
        decision = decide_claim(stored, body_hash)
        if decision is not Decision.CLAIM:
            return ClaimResult(decision, None, stored)
        lease = await self._get_lease()
        if isinstance(lease, Unavailable):
            return ClaimResult(lease)
        record = Record(secrets.token_hex(8), body_hash, RecordState.RUNNING)
        text = record.encode()
        result = await swap_with_readback(self._kv, key, text, entry.revision, lease)
        if isinstance(result, Swapped):
            claim = Claim(key, record, result.revision)
            return ClaimResult(Decision.CLAIM, claim)
        if isinstance(result, Unavailable):
            if result.maybe_applied:
                self.unrecorded.append(Claim(key, record, entry.revision))
            return ClaimResult(result)
        return self._resolve_conflict(result.current, body_hash)

    def _resolve_conflict(self, current: Entry, body_hash: str) -> ClaimResult:
        """Return the result after another writer changed the record first."""
        if not current.present:
            return ClaimResult(Unavailable('the record changed while it was claimed'))
        stored = decode_record(current.value)
        decision = decide_claim(stored, body_hash)
        if decision is Decision.CLAIM:
            decision = Decision.BUSY
        return ClaimResult(decision, None, stored)

    async def _get_lease(self) -> str | Unavailable:
        """Return the shared lease, granting a new one when it takes no more records.

        Sharing a lease saves a call to the service for each record.
        """
        async with self._lock:
            now = self._clock()
            if now < self._lease_until:
                return self._lease
            lease = await self._kv.grant(self._ttl_s + LEASE_SHARING_S)
            if isinstance(lease, str):
                self._lease = lease
                self._lease_until = now + LEASE_SHARING_S
            return lease

    async def record_outcome(
        self,
        claim: Claim,
        state: RecordState,
        status: int = 0,
        content_type: str = '',
        body: bytes = b'',
    ) -> bool:
        """Write the outcome of a claimed request; return whether that is certain."""
        body_stored = len(body) <= self._body_limit
        record = replace(
            claim.record,
            state=state,
            status=status,
            content_type=content_type,
            body=body if body_stored else b'',
            body_stored=body_stored,
        )
        result = await swap_with_readback(
            self._kv, claim.key, record.encode(), claim.revision, self._lease
        )
        if isinstance(result, Unavailable):
            self.unrecorded.append(replace(claim, record=record))
            return False
        return True

    async def retry_unrecorded(self, pause_s: float) -> None:
        """Retry records that could not be written during an outage.

        :param pause_s: seconds between two rounds.
        """
        while True:
            await anyio.sleep(pause_s)
            pending, self.unrecorded = self.unrecorded, []
            for claim in pending:
                if not await self._retry_outcome(claim):
                    self.unrecorded.append(claim)
            del self.unrecorded[:-MAX_UNRECORDED]

    async def _retry_outcome(self, claim: Claim) -> bool:
        """Write the outcome of a claim, "not run" if the request was never sent.

        Return whether the record needs no further attempt.
        """
        entry = await self._kv.get(claim.key)
        if isinstance(entry, Unavailable):
            return False
        if not entry.present:
            return True
        stored = decode_record(entry.value)
        if (
            stored.nonce != claim.record.nonce
            or stored.state is not RecordState.RUNNING
        ):
            return True
        state = claim.record.state
        if state is RecordState.RUNNING:
            state = RecordState.NOT_RUN
        record = replace(claim.record, state=state)
        result = await swap_with_readback(
            self._kv, claim.key, record.encode(), entry.revision, self._lease
        )
        return not isinstance(result, Unavailable)
