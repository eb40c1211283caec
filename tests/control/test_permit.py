"""Permits and acceptance: no node serves on less than what was accepted."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coursepitch.control.permit import (
    Acceptance,
    PeerState,
    advance_acceptance,
    judge_permit,
)

NODES = ('a', 'b', 'c')
PERMIT_S = 5.0
NODE = st.sampled_from(NODES)
SECONDS = st.sampled_from([0.1, 3.0, 6.0])


class World(RuleBasedStateMachine):
    """Nodes that read the service, state things to each other late, or pause.

    Time passes only by a rule, so a pause is a node for which no rule runs.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.recorded = 1
        self.in_force = dict.fromkeys(NODES, 1)
        self.contact: dict[str, float | None] = dict.fromkeys(NODES, None)
        self.peers: dict[str, dict[str, PeerState]] = {name: {} for name in NODES}
        self.mail: list[tuple[str, str, PeerState]] = []
        self.acceptance = {name: Acceptance() for name in NODES}
        self.accepted = 0

    @rule(
        touch=st.sets(NODE),
        sides=st.tuples(*[st.integers(0, 1) for _ in NODES]),
        changed=st.booleans(),
        adopt=st.booleans(),
        late=st.booleans(),
        judge=NODE,
        seconds=SECONDS,
    )
    def live_through(
        self,
        touch: set[str],
        sides: tuple[int, ...],
        changed: bool,
        adopt: bool,
        late: bool,
        judge: str,
        seconds: float,
    ) -> None:
        """Live through a partition: some reach the service, two sides talk.

        Late statements wait in buffers until the next time.
        """
        mail, self.mail = self.mail, []
        for sender, receiver, said in mail:
            self.take(sender, receiver, said, adopt)
        if touch:
            self.recorded += changed
        for node in sorted(touch):
            self.in_force[node] = self.recorded
            self.contact[node] = self.now
        pairs = [
            (sender, receiver)
            for sender, one in zip(NODES, sides, strict=True)
            for receiver, other in zip(NODES, sides, strict=True)
            if one == other
        ]
        for sender, receiver in pairs:
            said = self.make_statement(sender)
            if late:
                self.mail.append((sender, receiver, said))
            else:
                self.take(sender, receiver, said, adopt)
        if judge in touch:
            self.judge(judge)
        self.now += seconds
        if judge in touch:
            self.judge(judge)

    def make_statement(self, node: str) -> PeerState:
        return PeerState(self.in_force[node], self.now, self.contact[node])

    def take(self, sender: str, receiver: str, said: PeerState, adopt: bool) -> None:
        held = self.peers[receiver].get(sender)
        if sender != receiver and (held is None or held.stated_at <= said.stated_at):
            self.peers[receiver][sender] = said
        if adopt:
            self.in_force[receiver] = max(self.in_force[receiver], said.in_force)
        if said.contact_at is not None and said.in_force <= self.in_force[receiver]:
            mine = self.contact[receiver]
            self.contact[receiver] = max(mine or 0.0, said.contact_at)

    def judge(self, node: str) -> None:
        """Any node may hold the duty to judge acceptance, after another."""
        heard = {name: peer.in_force for name, peer in self.peers[node].items()}
        heard[node] = self.in_force[node]
        state = self.acceptance[node]
        state = Acceptance(max(state.accepted, self.accepted), state.majority)
        state = advance_acceptance(
            state, self.in_force[node], frozenset(NODES), heard, self.now, PERMIT_S
        )
        assert state.accepted >= self.accepted
        self.acceptance[node] = state
        self.accepted = state.accepted

    @invariant()
    def nobody_serves_on_less(self) -> None:
        for node in NODES:
            permit = judge_permit(
                self.in_force[node],
                self.contact[node],
                node,
                frozenset(NODES),
                self.peers[node],
                self.now,
                PERMIT_S,
            )
            if permit.granted:
                assert self.in_force[node] >= self.accepted, (node, permit.ground)


class PermitMachineTest(World.TestCase):  # type: ignore[misc,name-defined]
    """Run the machine."""

    settings = settings(
        max_examples=1200, stateful_step_count=10, derandomize=True, deadline=None
    )


class PermitTest(unittest.TestCase):
    """Single cases at 3 nodes."""

    def judge(self, in_force: int, contact: float | None, **peers: PeerState) -> str:
        permit = judge_permit(
            in_force, contact, 'a', frozenset('abc'), peers, 100.0, PERMIT_S
        )
        return permit.ground if permit.granted else f'no: {permit.ground}'

    def test_own_contact(self) -> None:
        self.assertEqual(self.judge(3, 96.0), 'service')

    def test_lone_node_is_cut_off(self) -> None:
        self.assertEqual(self.judge(3, 90.0), 'no: cut off')

    def test_contact_of_a_peer(self) -> None:
        self.assertEqual(self.judge(3, None, b=PeerState(3, 99.0, 97.0)), 'peer')

    def test_outage_with_a_majority(self) -> None:
        self.assertEqual(self.judge(3, 90.0, b=PeerState(3, 99.0, 90.0)), 'outage')

    def test_a_newer_revision_at_a_peer(self) -> None:
        peer = PeerState(4, 99.0, 90.0)
        self.assertEqual(self.judge(3, 90.0, b=peer), 'no: behind a peer')

    def test_acceptance_needs_all_or_a_majority_and_time(self) -> None:
        nodes = frozenset('abc')
        state = advance_acceptance(
            Acceptance(), 2, nodes, {'a': 2, 'b': 2, 'c': 1}, 0.0, PERMIT_S
        )
        self.assertEqual(state.accepted, 1)
        heard = {'a': 2, 'b': 2, 'c': 1}
        state = advance_acceptance(state, 2, nodes, heard, 5.0, PERMIT_S)
        self.assertEqual(state.accepted, 1)
        state = advance_acceptance(state, 2, nodes, heard, 5.6, PERMIT_S)
        self.assertEqual(state.accepted, 2)
        for now in (99.0, 199.0):
            state = advance_acceptance(state, 3, nodes, {'a': 3}, now, PERMIT_S)
        self.assertEqual(state.accepted, 2)
