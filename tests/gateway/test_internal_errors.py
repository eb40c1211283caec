"""Requests whose handling fails by an error of the program."""

from __future__ import annotations

import unittest
from unittest import mock

from coursepitch import events
from coursepitch.http.messages import IncomingRequest
from tests.gateway.simulated_calls import CallSimulation
from tests.gateway.simulated_runs import Case, Script, Simulation


class FaultyCalls(CallSimulation):
    """A call in which a step of the program raises.

    :param step: name of the step, a method of the server of calls.
    """

    step = ''

    def _build(self):
        super()._build()
        setattr(self.gateway._calls, self.step, mock.Mock(side_effect=KeyError))


class FaultyStream(Simulation):
    """A stream whose forwarding raises once it has begun."""

    def _build(self):
        super()._build()
        self.streams._read_in_time = mock.Mock(side_effect=KeyError)


class FaultyGateway(CallSimulation):
    """A request whose handling raises outside its forwarding.

    :param step: name of the step, a method of the gateway.
    """

    step = ''

    def _build(self):
        super()._build()
        setattr(self.gateway, self.step, mock.Mock(side_effect=KeyError))

    async def _play(self):
        self._build()
        request = IncomingRequest(b'POST', b'/', (), b'', 0.0, b'')
        await self.gateway.handle(request, self.job.reply)


class InternalErrorTest(unittest.TestCase):
    """An error of the program leaves no request without an answer or a refusal."""

    def play(self, simulation):
        with mock.patch('coursepitch.log.emit') as emit:
            simulation.play()
        kinds = [call.args[0] for call in emit.call_args_list]
        self.assertIn(events.INTERNAL_ERROR, kinds)
        return simulation

    def play_calls(self, step):
        simulation = FaultyCalls(Case((Script(),)))
        simulation.step = step
        return self.play(simulation).refusal.status

    def test_request_that_was_not_sent_is_refused_as_not_run(self):
        self.assertEqual(self.play_calls('_begin_run'), 503)

    def test_request_that_was_sent_is_answered_with_an_unknown_outcome(self):
        self.assertEqual(self.play_calls('_read_whole'), 502)

    # Guards against requests that are read and closed without a byte.
    def test_request_is_refused_if_its_admission_fails(self):
        for step in ('_wait_for_startup', '_admit'):
            with self.subTest(step):
                simulation = FaultyGateway(Case((Script(),)))
                simulation.step = step
                self.assertEqual(self.play(simulation).reply.status, 503)

    def test_response_that_has_begun_is_broken_off(self):
        simulation = self.play(FaultyStream(Case((Script(),))))
        self.assertTrue(simulation.reply.aborted)


if __name__ == '__main__':
    unittest.main()
