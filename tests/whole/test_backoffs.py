"""Instances that ask a node for a backoff, or say that they leave, in their answers."""

from __future__ import annotations

from collections import Counter

from tests.whole.steady_clients import SteadyClientsCase

#: Seconds for which an instance wants no requests from a node that it rejects.
BACKOFF_S = 3.0

#: Seconds after a rejection from which requests are no longer under way, and the most
#: that a node may send then until the backoff is over, as users state.
UNDER_WAY_S = 0.5
MOST_IN_BACKOFF = 2

#: Clients of a node, enough for both heads to have requests in flight.
CLIENTS = 3

#: Seconds within which no more requests may reach an instance that says it leaves.
DRAIN_S = 2.0


class NoticeCase(SteadyClientsCase):
    """Instances that tell nodes something in their answers."""

    def read_arrivals(self, service, name, node):
        """Return when a node's requests came, and if the instance asked to back off."""
        return [
            (visit['at'], visit['backoff'] is not None)
            for visit in self.stats(service)[name]['visits']
            if visit['request'].startswith(node)
        ]

    def count_in_backoffs(self, service, name):
        """Return the most requests that a node sent to an instance in one backoff."""
        counts = [0]
        for node in self.nodes:
            arrivals = self.read_arrivals(service, name, node)
            for asked_at, backed_off in arrivals:
                first, last = asked_at + UNDER_WAY_S, asked_at + BACKOFF_S
                if backed_off:
                    counts.append(sum(first < at < last for at, _ in arrivals))
        return max(counts)

    def start_again(self, name):
        """Kill a node and wait until its next process serves."""
        node = self.running[name]
        node.process.kill()
        node.process.wait()
        node.start_again()
        self.wait_for(node.has_started_again, f'{name} listens')
        self.wait_for(lambda: self.serves(name), f'{name} serves')

    def ask_backoff(self, service, *names):
        """Let instances reject everything and ask for a backoff."""
        self.control(service, '/backoff', instances=list(names), backoff=str(BACKOFF_S))


class HeadBackoffTest(NoticeCase):
    """The head of a group asks for backoffs."""

    def test_node_sends_nothing_to_a_head_that_asked_for_a_backoff(self):
        name = min(self.wait_for(self.find_heads, 'two groups are open'))
        self.ask_backoff('pool', name)
        replies = self.send_for(2 * BACKOFF_S, 'POST', '/stream/x', CLIENTS)
        self.assertLessEqual(self.count_in_backoffs('pool', name), MOST_IN_BACKOFF)
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})


class AllBackoffTest(NoticeCase):
    """All instances of a plain service ask for backoffs."""

    def test_node_sends_nothing_when_all_instances_asked_for_a_backoff(self):
        names = list(self.stats('api'))
        self.ask_backoff('api', *names)
        replies = self.send_for(2 * BACKOFF_S, 'GET', '/again/x')
        for name in names:
            self.assertLessEqual(self.count_in_backoffs('api', name), MOST_IN_BACKOFF)
        self.assertEqual({reply.status_code for reply, _ in replies}, {503})
        for reply, _ in replies:
            self.assertGreater(float(reply.headers['retry-after']), 0)
        # Without an instance to wait for, clients are told at once.
        waits = sorted(took_s for _, took_s in replies)
        self.assertLess(waits[len(waits) // 2], 0.05)


class LeavingTest(NoticeCase):
    """Instances say that they leave, while the store lists them as ready."""

    def check_leaves(self, service, name, method, path):
        """Check that no node sends to an instance long after it said it leaves."""
        self.control(service, '/leave', instances=[name])
        replies = self.send_for(DRAIN_S + 2, method, path)
        for node in self.nodes:
            times = [at for at, _ in self.read_arrivals(service, name, node)]
            known = [at for at in times if at > self.began_at]
            self.assertEqual([at for at in known if at > known[0] + DRAIN_S], [])
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})

    def test_node_sends_nothing_to_a_plain_instance_that_said_it_leaves(self):
        self.check_leaves('api', min(self.stats('api')), 'GET', '/again/x')

    def test_node_sends_nothing_to_a_head_that_said_it_leaves(self):
        name = min(self.wait_for(self.find_heads, 'two groups are open'))
        self.check_leaves('pool', name, 'POST', '/stream/x')


class StartedNodeTest(NoticeCase):
    """A node that starts again beside others."""

    nodes = ('n1', 'n2')

    def test_started_node_serves_what_one_of_three_instances_turned_away(self):
        self.start_again('n2')
        name = min(self.stats('api'))
        self.control('api', '/backoff', instances=[name], backoff='0.1')
        replies = self.send_for(DRAIN_S, 'GET', '/again/x')
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})


class BusyStartedNodeTest(NoticeCase):
    """A node that starts again beside another, while clients send much."""

    nodes = ('n1', 'n2')

    # Guards against 503 for what instances rejected while another has room, as a node
    # that started just before has next to no share of the retry budget.
    def test_started_node_serves_all_when_two_of_three_instances_reject(self):
        self.start_again('n2')
        names = sorted(self.stats('api'))[:2]
        self.control('api', '/backoff', instances=names, backoff='0.02')
        replies = self.send_for(4 * DRAIN_S, 'GET', '/again/x', 2 * CLIENTS)
        self.assertEqual(Counter(reply.status_code for reply, _ in replies)[503], 0)
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})


class FirstStartTest(NoticeCase):
    """A node of the system's first start that starts a little after the others."""

    nodes = ('n1', 'n2')

    # Guards against 503 in the first second after a first start, in which a node has
    # no share of the constant part of the retry budget.
    def test_node_serves_all_at_once_when_two_of_three_instances_reject(self):
        self.start_node('n3')
        self.nodes = ('n1', 'n2', 'n3')
        names = sorted(self.stats('api'))[:2]
        self.wait_for(self.answers, 'n3 answers')
        self.control('api', '/backoff', instances=names, backoff='0.02')
        replies = self.send_for(DRAIN_S, 'GET', '/again/x', 2 * CLIENTS)
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})

    def answers(self):
        """Whether n3 passes requests on."""
        return self.send('n3', 'GET', '/again/x', 'probe').status_code == 200
