"""A system prompt that ends each engine which begins to run a request with it."""

from __future__ import annotations

from tests.whole.replica_base import ReplicaCase

SYSTEM_PROMPT = 'an instruction that no engine survives'

#: Ended engines from which users count, and later ones that they accept.
COUNTED_ENDS = 5
LATE_ENDS = 3

#: Requests with the prompt, never alike, after these.
LATER = 4


class CrashingPromptTest(ReplicaCase):
    """Callers of the OpenAI interface whose requests share a system prompt."""

    def send_bad(self, number):
        messages = [
            {'role': 'system', 'content': SYSTEM_PROMPT},
            {'role': 'user', 'content': f'question {number}'},
        ]
        node = f'n{number % len(self.nodes) + 1}'
        body = {'model': 'release-notes', 'messages': messages, 'max_tokens': 4}
        return self.harness.call(node, body)

    def set_faults(self):
        for item in self.harness.instances:
            self.harness.set_fault(item['id'], crash_on=SYSTEM_PROMPT)

    def restart_ended(self):
        """Start the engines that ended again; return how many they were."""
        ended = [
            item['id']
            for item in self.harness.instances
            if self.harness.processes[item['id']].process.poll() is not None
        ]
        for name in ended:
            self.harness.restart_engine(name, **self.engine)
        if ended:
            self.set_faults()
        return len(ended)

    # Guards against crashes that no node remembers.
    def test_requests_with_a_prompt_that_ends_engines_reach_no_further_ones(self):
        self.set_faults()
        ended = number = 0
        while ended < COUNTED_ENDS and number < 2 * COUNTED_ENDS:
            number += 1
            self.send_bad(number)
            ended += self.restart_ended()
            self.setUp()
        late = 0
        for _ in range(LATER):
            number += 1
            self.send_bad(number)
            late += self.restart_ended()
            self.setUp()
        self.assertLessEqual(late, LATE_ENDS, f'{ended} engines ended before')
