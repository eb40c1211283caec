"""Metrics: one table, kept by aioprometheus."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ['Metrics']

_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.36, 0.5, 1.0, 2.5, 5.0, 10.0]


class Metrics:
    """All metrics of a node; the names carry the units."""

    def __init__(self) -> None:
        self.registry = Registry()

        def counter(name: str, doc: str) -> Counter:
            return Counter(f'coursepitch_{name}', doc, registry=self.registry)

        def gauge(name: str, doc: str) -> Gauge:
            return Gauge(f'coursepitch_{name}', doc, registry=self.registry)

        def histogram(name: str, doc: str) -> Histogram:
            name = f'coursepitch_{name}'
            return Histogram(name, doc, registry=self.registry, buckets=_SECONDS)

        self.requests = counter('requests_total', 'Requests by outcome and code.')
        self.tokens = counter('chunks_total', 'Streamed chunks passed on.')
        self.attempts = counter('attempts_total', 'Attempts on targets by outcome.')
        self.suspects = counter(
            'suspected_requests_total',
            'Requests under which instances ended, refused or paused, by outcome.',
        )
        self.limited_sends = counter(
            'limited_sends_total',
            'Permits asked for to send to instances with a rate limit, by outcome.',
        )
        self.limited_instances = gauge(
            'limited_instances', 'Instances known to name a rate limit.'
        )
        self.notices = counter(
            'instance_notices_total',
            'Answers in which instances ask for a backoff or say they leave, by kind.',
        )
        self.backed_off_instances = gauge(
            'backed_off_instances',
            'Instances that want no requests from this node now.',
        )
        self.withheld_sends = counter(
            'withheld_sends_total',
            'Requests that did not leave for a chosen instance, by reason.',
        )
        self.first_token = histogram(
            'first_token_seconds', 'Time from the request to its first chunk.'
        )
        self.request_time = histogram(
            'request_seconds', 'Time from a request to the end of its answer.'
        )
        self.in_flight = gauge('requests_in_flight', 'Requests in flight.')
        self.queued = gauge('requests_queued', 'Requests that wait.')
        self.kv_calls = counter(
            'key_value_calls_total', 'Calls to the key-value service by operation.'
        )
        self.kv_age = gauge(
            'service_contact_age_seconds', 'Time since the service confirmed the head.'
        )
        self.revision = gauge('config_revision', 'Revision in force here.')
        self.accepted = gauge('config_accepted_revision', 'Newest accepted revision.')
        self.peer_bytes = counter('peer_bytes_total', 'Bytes on links by direction.')
        self.peer_links = gauge('peer_links', 'Links that are up.')
        self.duties = gauge('duties_held', 'Duties that this node holds.')
        self.downtime = counter(
            'group_downtime_seconds_total',
            'Time without a whole serving replica, by group.',
        )
        self.stranded = gauge(
            'stranded_accelerators', 'Accelerators idle in an incomplete replica.'
        )
        self.replicas = gauge('group_replicas_serving', 'Serving replicas by group.')

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the exposition and its headers."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content, dict(headers)
