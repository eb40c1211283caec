"""What the gateway sends to zones that are evacuated, and what it refuses."""

from __future__ import annotations

import re
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import anyio

from coursepitch.config.gateway import GatewaySettings, load_gateway_settings
from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.evacuations import USE_FRACTION
from coursepitch.fleet.rate_limits import RateLimits
from coursepitch.fleet.send_permits import SendGranter, SendPermits
from coursepitch.gateway.admission import Admission
from coursepitch.gateway.attempts import Result, SendPlan, send_attempt
from coursepitch.gateway.calls import CallServer
from coursepitch.gateway.load_tracker import LoadTracker
from coursepitch.gateway.router import Router
from coursepitch.gateway.send_gate import (
    EVACUATED_RETRY_S,
    RETRY_AFTER_JITTER,
    SendGate,
    Withheld,
)
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.gateway.streams import StreamServer
from coursepitch.gateway.watchdog import Watchdog
from coursepitch.metrics import Metrics
from coursepitch.platform.kv import Entry
from tests.fleet.builders import (
    NO_CRASHES,
    NO_SUSPICION,
    SERVICE,
    SOUND_PATHS,
    build_instance,
    build_service,
    build_view,
)
from tests.gateway.builders import UNKNOWN_TIMES, WAITING_CLIENT

EVACUATE_S = 5.0
USE_S = EVACUATE_S * USE_FRACTION

REASON = 'all zones of the service are evacuated'

#: Matches a part of the template that depends on a value.
SPAN = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)

TEMPLATE = Path(__file__).parent.parent.parent / 'deploy' / 'node.ini.template'


class GatewayCase(unittest.TestCase):
    """A node before groups and plain instances in two zones."""

    def setUp(self):
        self.now = 100.0
        self.waits = 0
        instances, claims = [], []
        for zone in 'ab':
            names = (f'h{zone}', f'm{zone}')
            domain = f'd-{zone}'
            claims.append(GroupClaim(zone, 5, SERVICE, domain, 'small', names))
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                fields = {'rank': rank, 'availability_zone': zone}
                instances.append(build_instance(name, domain, state, zone, 5, **fields))
            instances.append(
                build_instance(
                    f'p{zone}', service='api', availability_zone=zone, slots=6
                )
            )
        self.view = build_view(instances, claims, self.clock)
        self.view.evacuations.set_bound(EVACUATE_S)
        limits = RateLimits('n1', 1, self.clock)
        granter = SendGranter(limits, lambda: 1, self.clock)
        permits = SendPermits('n1', limits, granter, lambda: 'n1', self.clock)
        self.backoffs = InstanceBackoffs(self.clock)
        self.counts = []
        self.gate = SendGate(
            self.view, self.backoffs, permits, self.counts.append, lambda: 0.0
        )
        self.load_tracker = LoadTracker(self.clock)
        watchdog = Watchdog(None, None, self.clock)
        self.router = Router(
            self.view,
            self.load_tracker,
            watchdog,
            'b',
            is_closed=self.gate.is_closed,
        )

    def clock(self):
        return self.now

    def evacuate(self, *zones):
        for zone in zones:
            self.view.apply_entry(Entry(f'op/evacuate/{zone}', '{}', 20))

    def withdraw(self, zone):
        self.view.apply_entry(Entry(f'op/evacuate/{zone}', deleted_at=21))

    def choose_head(self, bound=13):
        group = self.router.choose_group(build_service(), 'small', (), bound)
        return group.head.name if group else None

    def choose_plain(self):
        found = self.router.choose_instance(SimpleNamespace(name='api'), ())
        return found.name if found else None


class ChoiceTest(GatewayCase):
    """The zone is used last from the request on, and not at all once it is closed."""

    def test_other_zone_is_chosen_as_soon_as_the_request_is_received(self):
        self.assertEqual((self.choose_head(), self.choose_plain()), ('hb', 'pb'))
        self.evacuate('b')
        self.load_tracker.avoid('ha', 5.0)
        for _ in range(12):
            self.load_tracker.begin('ha')
            self.load_tracker.begin('pa')
        self.assertEqual((self.choose_head(), self.choose_plain()), ('ha', 'pa'))

    def test_zone_is_used_until_it_is_closed_where_no_other_has_room(self):
        self.evacuate('b')
        for _ in range(13):
            self.load_tracker.begin('ha')
        self.backoffs.note('pa', 9.0)
        self.assertEqual((self.choose_head(), self.choose_plain()), ('hb', 'pb'))
        self.now += USE_S
        self.assertEqual((self.choose_head(), self.choose_plain()), (None, None))

    def test_closed_zone_is_chosen_again_at_once_after_the_withdrawal(self):
        self.evacuate('b')
        self.now += USE_S
        self.assertEqual((self.choose_head(), self.choose_plain()), ('ha', 'pa'))
        self.withdraw('b')
        self.assertEqual((self.choose_head(), self.choose_plain()), ('hb', 'pb'))

    def test_choice_is_as_before_without_an_evacuation_time(self):
        self.view.evacuations.set_bound(0.0)
        self.evacuate('b')
        self.now += EVACUATE_S
        self.assertEqual((self.choose_head(), self.choose_plain()), ('hb', 'pb'))
        self.assertIsNone(self.gate.withhold('pb', None))


class LastCheckTest(GatewayCase):
    """A zone that is closed while a connection is made gets no byte."""

    def test_closed_zone_is_withheld_with_its_own_reason(self):
        self.evacuate('b')
        self.assertIsNone(self.gate.withhold('pb', None))
        self.now += USE_S
        self.assertIs(self.gate.withhold('pb', None), Withheld.EVACUATED)
        self.assertEqual(self.counts, ['evacuated'])
        self.assertIsNone(self.gate.withhold('pa', None))

    def test_request_whose_connection_took_too_long_is_not_sent(self):
        self.evacuate('b')
        discarded = []

        async def acquire(address, *, instance, fresh, limit):
            self.now += USE_S
            return 'connection'

        pool = SimpleNamespace(acquire=acquire, discard=discarded.append)
        session = SimpleNamespace(count_nodes=lambda: 2, is_fresh=lambda: True)
        components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            pool=pool,
            gate=self.gate,
            paths=SOUND_PATHS,
            crash_detector=NO_CRASHES,
            suspicion=NO_SUSPICION,
            clock=self.clock,
        )
        job = SimpleNamespace(
            reply=WAITING_CLIENT,
            service=build_service(),
            deadline_at=self.now + 8.0,
            awaited_until=self.now + 8.0,
            may_have_run=set(),
            sent=[],
            permit=None,
            last_reason='',
            fields=SimpleNamespace(request='r'),
        )
        instance = self.view.instances['pb']
        attempt = anyio.run(send_attempt, components, job, instance, SendPlan(5.0))
        self.assertIs(attempt.result, Result.NOT_RUN)
        self.assertTrue(attempt.withheld)
        self.assertEqual((discarded, job.sent), (['connection'], []))
        self.assertEqual(job.may_have_run, set())


class RefusalTest(GatewayCase):
    """What clients are told where all zones, or all but one, are closed."""

    def build_components(self):
        session = SimpleNamespace(
            view=self.view, is_fresh=lambda: True, count_nodes=lambda: 2
        )
        admission = Admission(
            session, self.gate, self.load_tracker, Metrics(), self.clock, lambda: 0.0
        )
        wait = admission._wait

        async def count_wait(queue, entry):
            self.waits += 1
            await wait(queue, entry)

        admission._wait = count_wait
        return SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            router=self.router,
            load_tracker=self.load_tracker,
            gate=self.gate,
            admission=admission,
            paths=SOUND_PATHS,
            crash_detector=NO_CRASHES,
            suspicion=NO_SUSPICION,
            clock=self.clock,
        )

    def build_job(self, service):
        return SimpleNamespace(
            service=service,
            customer=None,
            urgency=0,
            work=1.0,
            arrived_at=self.now,
            first_arrived_at=self.now,
            deadline_at=self.now + 8.0,
            awaited_until=self.now + 8.0,
            route=SimpleNamespace(objective_s=0.05),
            fields=SimpleNamespace(
                request='r',
                model='small',
                last_event=b'',
                prompt_tokens=100,
                answer_tokens=100,
                expected_tokens=100,
            ),
            reply=SimpleNamespace(started=False),
            is_client_retry=False,
            may_have_run=set(),
            sent=[],
            last_reason='',
            retry_after_s=0.0,
        )

    def refuse_stream(self):
        server = StreamServer(self.build_components(), Watchdog(None, None, self.clock))
        return anyio.run(server.serve, self.build_job(build_service()))

    def refuse_call(self):
        server = CallServer(self.build_components())
        return anyio.run(
            server.serve, self.build_job(SimpleNamespace(name='api', engine=None))
        )

    def check_refused_at_once(self, refusal):
        self.assertEqual((refusal.status, refusal.reason), (503, REASON))
        self.assertGreaterEqual(refusal.retry_after_s, EVACUATED_RETRY_S)
        self.assertEqual(self.waits, 0)

    def test_requests_are_refused_at_once_if_all_zones_are_closed(self):
        self.evacuate('a', 'b')
        self.now += USE_S
        self.check_refused_at_once(self.refuse_stream())
        self.check_refused_at_once(self.refuse_call())

    def test_stream_is_refused_at_once_also_if_no_group_is_open(self):
        # Groups in closed zones that lose a member are not formed again.
        self.evacuate('a', 'b')
        self.now += USE_S
        del self.view.instances['ma'], self.view.instances['mb']
        self.view.version += 1
        self.check_refused_at_once(self.refuse_stream())

    def test_stream_waits_for_a_group_that_forms_in_an_open_zone(self):
        self.evacuate('b')
        self.now += USE_S
        del self.view.instances['ma']
        self.view.version += 1
        refusal = self.refuse_stream()
        self.assertEqual(refusal.reason, 'no group is open')
        self.assertGreater(self.waits, 0)

    def test_backoffs_in_the_open_zone_are_named_as_the_reason(self):
        self.evacuate('b')
        self.now += USE_S
        for name in ('ha', 'pa'):
            self.backoffs.note(name, 3.0)
        for refusal in (self.refuse_stream(), self.refuse_call()):
            self.assertIn('backoff', refusal.reason)
            self.assertAlmostEqual(refusal.retry_after_s, 3.0)
        self.assertEqual(self.waits, 0)

    def test_retry_after_has_jitter(self):
        self.evacuate('a', 'b')
        self.now += USE_S
        self.gate.random_fraction = lambda: 1.0
        self.assertEqual(
            self.gate.find_retry_after_s(['pa', 'pb'], 2),
            EVACUATED_RETRY_S * (1 + RETRY_AFTER_JITTER),
        )


class SettingsTest(unittest.TestCase):
    """The settings file that the platform renders from the template."""

    def render(self, evac_ms):
        """Render the template as the platform does, with or without the bound."""

        def keep_given(span):
            is_given = span[1] != 'bounds.evac_ms' or evac_ms
            return span[2] if is_given else ''

        text = SPAN.sub(keep_given, TEMPLATE.read_text())
        lines = []
        for line in text.replace('{{bounds.evac_ms}}', str(evac_ms)).splitlines():
            name = line.partition(' = ')[0]
            values = {'bootstrap': 'yes', 'refuse_unconfirmed': 'yes'}
            values |= {'clients': '127.0.0.1:1', 'ready': '127.0.0.1:2'}
            values |= {'peer_port': '7'}
            if '{{' in line:
                number = '2000e-3' if 'e-3' in line else '8'
                line = f'{name} = {values.get(name, number)}'
            lines.append(line)
        return '\n'.join(lines)

    def load(self, evac_ms) -> GatewaySettings:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / 'node.ini'
        path.write_text(self.render(evac_ms))
        return load_gateway_settings(path)

    def test_template_sets_the_time_only_where_the_bound_is_given(self):
        self.assertEqual(self.load(5000).promises.evacuate_s, 5.0)
        self.assertEqual(self.load(None).promises.evacuate_s, 0.0)


if __name__ == '__main__':
    unittest.main()
