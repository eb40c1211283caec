"""Links between nodes: each tells the others its requests in flight and its work.

Nothing is agreed over these links and nothing depends on them: without them a
node balances by its own requests only.  Messages are CBOR in websockets.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import cbor2
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from coursepitch import events, log

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from websockets.asyncio.server import ServerConnection

    from coursepitch.clock import Clock
    from coursepitch.fleet.view import FleetView

__all__ = ['PeerLinks', 'PeerLoad']

#: Seconds between two messages on a link.  Source: at 9
#: nodes this is about 5 KB a second for a node.
TELL_S = 0.3

#: Seconds between two looks for news, which are told at once.
NEWS_S = 0.05

#: Seconds after which a link that was told nothing new is used all the same.
REPEAT_S = 1.0

#: Seconds after which what a peer told no longer counts.
FORGET_S = 2.5

#: Seconds for which a link may take to come up, and a message to leave.
LINK_TIMEOUT_S = 1.0

#: Seconds before a link that broke is tried again.
RETRY_S = 1.0

#: Largest message in bytes.
MESSAGE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What a node tells of itself.

    :param counts: requests in flight by instance.
    :param work: work that arrives by model, in instance-seconds a second.
    :param news: revision of the newest change of the store to act on.
    """

    node: str
    counts: dict[str, int]
    work: dict[str, float]
    news: int = 0

    def encode(self) -> bytes:
        """Return the message."""
        work = {model: round(rate, 3) for model, rate in self.work.items()}
        return cbor2.dumps([self.node, self.counts, work, self.news])

    @classmethod
    def decode(cls, data: bytes) -> PeerLoad:
        """Return what a message says.

        :raises ValueError: it is damaged.
        """
        try:
            node, counts, work, news = cbor2.loads(data)
            return cls(
                str(node),
                {str(name): int(count) for name, count in counts.items()},
                {str(name): float(rate) for name, rate in work.items()},
                int(news),
            )
        except (cbor2.CBORDecodeError, TypeError, AttributeError) as error:
            raise ValueError(f'damaged: {error!r}') from error


@dataclass(eq=False)
class PeerLinks:
    """Links to all listed nodes, and what these told last."""

    me: str
    view: FleetView
    read_load: Callable[[], PeerLoad]
    clock: Clock
    _heard: dict[str, tuple[float, PeerLoad]] = field(default_factory=dict)
    _links: dict[str, anyio.CancelScope] = field(default_factory=dict)
    _message: bytes = b''
    _told: anyio.Event = field(default_factory=anyio.Event)

    # -- what was heard ---------------------------------------------------------

    def _fresh(self) -> list[PeerLoad]:
        start = self.clock() - FORGET_S
        return [load for heard_at, load in self._heard.values() if heard_at >= start]

    def count(self, instance: str) -> int:
        """Return the requests in flight from other nodes at an instance."""
        return sum(load.counts.get(instance, 0) for load in self._fresh())

    def read_work(self, own: dict[str, float]) -> dict[str, float]:
        """Return the work of all nodes by model."""
        total = dict(own)
        for load in self._fresh():
            for model, rate in load.work.items():
                total[model] = total.get(model, 0.0) + rate
        return total

    def read_news(self) -> int:
        """Return the newest revision that a peer told to act on."""
        return max((load.news for load in self._fresh()), default=0)

    def take(self, data: bytes) -> None:
        """Take a message from a peer."""
        load = PeerLoad.decode(data)
        self._heard[load.node] = (self.clock(), load)

    # -- tasks ----------------------------------------------------------------------

    async def run(self, sock: socket.socket) -> None:
        """Listen to peers and tell them, until cancelled."""
        server = serve(
            self._listen,
            sock=sock,
            compression=None,
            max_size=MESSAGE_BYTES,
            ping_interval=None,
        )
        async with server, anyio.create_task_group() as group:
            group.start_soon(self._compose)
            while True:
                self._match_links(group)
                await anyio.sleep(RETRY_S)

    async def _compose(self) -> None:
        """Make the message for all links, when it is time or there is news."""
        news, made_at = -1, float('-inf')
        while True:
            load = self.read_load()
            now = self.clock()
            if load.news != news or now - made_at >= TELL_S:
                news, made_at = load.news, now
                self._message = load.encode()
                told, self._told = self._told, anyio.Event()
                told.set()
            await anyio.sleep(NEWS_S)

    def _match_links(self, group: TaskGroup) -> None:
        """Hold one link to each listed node and none to others."""
        wanted = {
            node: address
            for node, address in self.view.nodes.items()
            if node != self.me
        }
        for node in set(self._links) - set(wanted):
            self._links.pop(node).cancel()
        for node, address in wanted.items():
            if node not in self._links:
                scope = self._links[node] = anyio.CancelScope()
                group.start_soon(self._hold_link, address, scope)

    async def _listen(self, link: ServerConnection) -> None:
        try:
            async for message in link:
                if isinstance(message, bytes):
                    self.take(message)
        except ValueError as error:
            log.emit(events.PEER_REFUSED, peer='', reason=str(error))
        except WebSocketException:
            # The peer went away; its last message ages out.
            return

    async def _hold_link(self, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await self._tell(address)
                except (OSError, TimeoutError, WebSocketException) as error:
                    reason = type(error).__name__
                    log.emit(events.PEER_DOWN, peer=address, reason=reason)
                await anyio.sleep(RETRY_S)

    async def _tell(self, address: str) -> None:
        """Tell one peer until the link breaks."""
        options: dict[str, Any] = {
            'compression': None,
            'open_timeout': LINK_TIMEOUT_S,
            'close_timeout': LINK_TIMEOUT_S,
            'ping_interval': None,
        }
        async with connect(f'ws://{address}/', **options) as link:
            log.emit(events.PEER_UP, peer=address)
            while True:
                told = self._told
                with anyio.fail_after(LINK_TIMEOUT_S):
                    await link.send(self._message)
                with anyio.move_on_after(REPEAT_S):
                    await told.wait()
