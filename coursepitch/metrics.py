"""Prometheus metrics of a node."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ['Metrics']

#: Upper bounds of the histogram buckets in seconds.
_DURATION_BUCKETS_S = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.36,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
]


class Metrics:
    """All metrics of a node.  The unit of a metric is part of its name."""

    def __init__(self) -> None:
        self.registry = Registry()

        def counter(name: str, doc: str) -> Counter:
            return Counter(f'coursepitch_{name}', doc, registry=self.registry)

        def gauge(name: str, doc: str) -> Gauge:
            return Gauge(f'coursepitch_{name}', doc, registry=self.registry)

        def histogram(name: str, doc: str) -> Histogram:
            name = f'coursepitch_{name}'
            return Histogram(
                name, doc, registry=self.registry, buckets=_DURATION_BUCKETS_S
            )

        self.requests = counter(
            'requests_total', 'Requests by outcome and status code.'
        )
        self.chunks = counter('chunks_total', 'Streamed chunks forwarded to clients.')
        self.attempts = counter('attempts_total', 'Attempts on targets by outcome.')
        self.suspects = counter(
            'suspected_requests_total',
            'Requests rejected or delayed as suspected of crashing instances, by '
            'outcome.',
        )
        self.limited_sends = counter(
            'limited_sends_total',
            'Permits requested to send to rate-limited instances, by outcome.',
        )
        self.borrowed_retries = counter(
            'borrowed_retries_total',
            'Retries requested from peers while this node starts, by outcome.',
        )
        self.limited_instances = gauge(
            'limited_instances', 'Instances with a known rate limit.'
        )
        self.cold_instances = gauge(
            'cold_instances', 'Instances that are cold and limit their requests.'
        )
        self.instance_notices = counter(
            'instance_notices_total',
            'Responses in which an instance requests a backoff or announces its '
            'shutdown, by kind.',
        )
        self.backed_off_instances = gauge(
            'backed_off_instances',
            'Instances that currently request a backoff from this node.',
        )
        self.withheld_sends = counter(
            'withheld_sends_total',
            'Requests not sent to the selected instance, by reason.',
        )
        self.evacuated_zones = gauge(
            'evacuated_zones',
            'Zones whose evacuation is requested, and those to which this node sends '
            'nothing more, by state.',
        )
        self.first_token = histogram(
            'first_token_seconds',
            'Time from the arrival of a request to its first chunk.',
        )
        self.request_time = histogram(
            'request_seconds',
            'Time from the arrival of a request to the end of its response.',
        )
        self.in_flight = gauge('requests_in_flight', 'Requests in flight.')
        self.queued = gauge('requests_queued', 'Requests that wait in the queue.')
        self.waiting = gauge(
            'requests_waiting', 'Requests that wait for a target, by urgency.'
        )
        self.admitted = counter(
            'admitted_requests_total', 'Requests that got a target, by urgency.'
        )
        self.denied = counter(
            'denied_requests_total',
            'Requests that got no target, by urgency and reason.',
        )
        self.admission_wait = histogram(
            'admission_wait_seconds',
            'Time that a request waited for a target, by urgency; requests that did '
            'not wait are not counted.',
        )
        self.expected_wait = histogram(
            'expected_wait_seconds',
            'Wait that was expected when a request began to wait for a target, by '
            'urgency; 0 if none could be told.',
        )
        self.instance_connections = counter(
            'instance_connections_total',
            'Attempts to connect to instances by outcome.',
        )
        self.tunnels = counter(
            'tunnels_total',
            'Attempts to connect to instances through peers by outcome.',
        )
        self.refused_connections = counter(
            'refused_connections_total',
            'Connections of clients that were reset unread, as requests wait too long.',
        )
        self.kv_calls = counter(
            'key_value_calls_total', 'Calls to the key-value service by operation.'
        )
        self.service_contact_age = gauge(
            'service_contact_age_seconds',
            'Time since the key-value service last confirmed the configuration.',
        )
        self.revision = gauge(
            'config_revision', 'Configuration revision in effect on this node.'
        )
        self.accepted = gauge(
            'config_accepted_revision',
            'Latest configuration revision in effect on every node.',
        )
        self.peer_bytes = counter(
            'peer_bytes_total', 'Bytes sent to and received from peers, by direction.'
        )
        self.link_bytes = counter(
            'link_bytes_total',
            'Bytes sent to peers on the platform, by kind of message.',
        )
        self.peer_links = gauge('peer_links', 'Open connections to peers.')
        self.duties = gauge('duties_held', 'Duties that this node holds.')
        self.group_downtime = counter(
            'group_downtime_seconds_total',
            'Time without a complete serving replica, by group.',
        )
        self.stranded_accelerators = gauge(
            'stranded_accelerators', 'Accelerators idle in an incomplete replica.'
        )
        self.replicas = gauge('group_replicas_serving', 'Serving replicas by group.')

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in an exposition format and the headers of the response.

        :param accept: value of the Accept header; empty for the default format.
        """
        content, headers = render(self.registry, [accept] if accept else [])
        return content, dict(headers)
