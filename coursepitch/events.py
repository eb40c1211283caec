"""Catalogue of the numbered events written to the log."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ['CATALOGUE', 'Event']


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of event.

    :param number: unique number of the event.
    :param name: written to the log as the type of the message.
    :param text: what the event means, for the generated documentation.
    :param fields: names of the fields logged with it.
    """

    number: int
    name: str
    text: str
    fields: tuple[str, ...] = ()


NODE_STARTED = Event(100, 'node.started', 'The node listens on its ports.', ('ports',))
NODE_READY = Event(
    101, 'node.ready', 'The node accepts client requests.', ('revision', 'age')
)
NODE_NOT_READY = Event(
    102, 'node.not_ready', 'The node rejects client requests.', ('reason',)
)
NODE_DRAINING = Event(
    103, 'node.draining', 'A graceful shutdown began.', ('in_flight', 'limit_s')
)
REQUEST_ABORTED = Event(
    104,
    'node.request_cut',
    'A request was aborted by a second signal or by the drain limit.',
    ('request',),
)
NODE_STOPPED = Event(105, 'node.stopped', 'The node shut down cleanly.')
ADMIN_KEYS_MISSING = Event(
    106,
    'admin.no_keys',
    'No operator keys are configured; the admin API listens on loopback only.',
    ('address',),
)

SETTINGS_READ = Event(
    107,
    'node.settings_read',
    'The settings were reloaded: options that took effect, and options that need a '
    'restart.',
    ('outcome', 'taken', 'waiting'),
)

NODE_CONNECTIONS = Event(
    110,
    'node.connections',
    'Connections of clients as a graceful shutdown begins, and as it ends: those that '
    'are idle, on which a request is being read, or is handled, and on which more has '
    'arrived behind one that is.',
    ('phase', 'idle', 'reading', 'handling', 'behind'),
)
SIGNAL_IGNORED = Event(
    111,
    'node.signal',
    'A further signal to stop came while the node is stopping, which goes on.',
    ('signal',),
)
NODE_DELAYED = Event(
    109,
    'node.delayed',
    'Requests wait for this process: the seconds that the steps of one request take, '
    'and the new connections since the measurement before.',
    ('delay_s', 'offered'),
)
INTERNAL_ERROR = Event(
    108,
    'node.fault',
    'An internal error of the program.',
    ('place', 'error', 'traceback'),
)

SERVICE_LOST = Event(
    200, 'service.lost', 'A call to the key-value service failed.', ('reason',)
)
SERVICE_BACK = Event(201, 'service.back', 'The key-value service is reachable again.')
LEASE_LOST = Event(202, 'lease.lost', "The node's lease expired.")
SWAP_RESOLVED = Event(
    203,
    'swap.settled',
    'The outcome of a compare-and-swap whose response was lost was determined by '
    'reading the key.',
    ('key', 'won'),
)

CONFIG_RECORDED = Event(
    300,
    'config.recorded',
    'A configuration change was written to the store.',
    ('revision', 'resource'),
)
CONFIG_IN_FORCE = Event(
    301,
    'config.in_force',
    'A configuration revision took effect on this node.',
    ('revision', 'source'),
)
CONFIG_ACCEPTED = Event(
    302,
    'config.accepted',
    'A configuration revision is in effect on every node.',
    ('revision',),
)
WATCH_SILENT = Event(
    204,
    'service.watch_silent',
    'A watch stopped reporting changes; all keys are listed again.',
    ('heard', 'revision'),
)
WATCH_REPEATED = Event(
    205,
    'service.watch_repeated',
    'A watch stays behind the store; it is sent again over a new connection.',
    ('heard', 'revision'),
)
CONFIG_DAMAGED = Event(
    304,
    'config.damaged',
    'A configuration in the store could not be parsed; the previous one stays in '
    'effect.',
    ('revision', 'reason'),
)
TABLE_IN_FORCE = Event(
    305,
    'config.table_in_force',
    'A version of the routing table took effect on this node.',
    ('version', 'revision', 'routes'),
)
NODE_FORGOTTEN = Event(
    303,
    'config.node_forgotten',
    'An unresponsive node was removed from the configuration.',
    ('node',),
)

PEER_UP = Event(400, 'peer.up', 'A connection to a peer was established.', ('peer',))
PEER_DOWN = Event(
    401, 'peer.down', 'A connection to a peer was closed.', ('peer', 'reason')
)
PEER_REFUSED = Event(
    402,
    'peer.refused',
    'A message or connection from a peer was rejected.',
    ('peer', 'reason'),
)
LINKS_BUSY = Event(
    403,
    'links.busy',
    'Much was sent to peers, or messages to them were dropped: the bytes and messages '
    'of so many seconds by kind, the messages that wait and the bytes that the kernel '
    'has not taken.',
    ('seconds', 'bytes', 'messages', 'dropped', 'waiting', 'unsent'),
)

DUTY_TAKEN = Event(500, 'duty.taken', 'The node acquired a duty.', ('duty', 'lease'))
DUTY_LOST = Event(501, 'duty.lost', 'The node no longer holds a duty.', ('duty',))
ENGINES_LOST = Event(
    537,
    'engines.lost',
    'The node reaches no engine, as all refuse it or some answer a peer: it observes '
    'no domain and refuses requests to models.',
)
ENGINES_REACHED = Event(538, 'engines.reached', 'The node reaches engines again.')
ENGINES_SILENT = Event(
    545,
    'engines.silent',
    'No engine answers the node: it concludes nothing about any, and requests wait.',
)
REPLICA_CLAIMED = Event(
    502,
    'replica.claimed',
    'Instances were claimed for a replica.',
    ('replica', 'domain', 'why'),
)
REPLICA_MOVED = Event(
    503, 'replica.moved', 'A replica changed state.', ('replica', 'source', 'state')
)
ORDER_SENT = Event(
    504, 'order.sent', 'An order was sent to an instance.', ('instance', 'order')
)
ORDER_FAILED = Event(
    505,
    'order.failed',
    'An instance did not accept an order.',
    ('instance', 'order', 'reason'),
)
MEMBER_MISSING = Event(
    506,
    'replica.member_missing',
    'A member of a replica failed its health check.',
    ('replica', 'instance'),
)
INSTANCE_LEAVING = Event(
    507,
    'instance.leaving',
    'The instance list marks an instance as leaving.',
    ('instance',),
)

CLAIMS_DAMAGED = Event(
    508,
    'claims.damaged',
    'Claims in the store could not be parsed.',
    ('domain', 'reason'),
)

INSTANCE_CHANGED = Event(
    509,
    'instance.changed',
    'The state of an instance: it was added, its entry in the store changed, or a '
    'new leader logs all instances.',
    (
        'instance',
        'draining',
        'group',
        'epoch',
        'rank',
        'state',
        'domain',
        'models',
        'staged',
        'revision',
    ),
)
INSTANCE_GONE = Event(
    510,
    'instance.gone',
    'An instance was removed: its entry no longer exists.',
    ('instance', 'held_s'),
)
INSTANCE_VANISHED = Event(
    520,
    'instance.vanished',
    'The entry of an instance disappeared.  The instance is kept for now, since the'
    ' entry may have expired during an outage of the store; the field is how long '
    'the store is known to have answered without a gap.',
    ('instance', 'steady_s'),
)
INSTANCE_RESTARTED = Event(
    523,
    'instance.restarted',
    'An instance restarted under the same name; the state kept for it was discarded.',
    ('instance', 'born'),
)
INSTANCE_STALE = Event(
    524,
    'instance.stale',
    'An entry written before the latest restart of an instance was ignored.',
    ('instance', 'born'),
)
INSTANCE_CRASHED = Event(
    525,
    'instance.crashed',
    'An instance ended unexpectedly while it processed a request: the request id, '
    'and the fingerprint, which is the same when clients resend the request, the parts '
    'of its prompt, and the seconds between the first and the latest event of the run.',
    (
        'instance',
        'born',
        'request',
        'fingerprint',
        'customer',
        'parts',
        'wrote_s',
    ),
)
INSTANCE_LIMITED = Event(
    526,
    'instance.limited',
    'An instance changed its rate limit, in requests per second over all nodes '
    '(null: no limit): the limit, the previous one, the node that read it from a '
    'response, and its age.',
    ('instance', 'limit', 'before', 'read_by', 'age'),
)
LIMIT_DAMAGED = Event(
    527,
    'instance.limit_damaged',
    'An instance sent a rate limit that is not a decimal number; the known limit '
    'stays in effect.',
    ('instance', 'value'),
)
INSTANCE_BACKOFF = Event(
    528,
    'instance.backoff',
    'An instance rejected a request and asked this node to back off for some seconds.',
    ('instance', 'backoff_s'),
)
BACKOFF_DAMAGED = Event(
    530,
    'instance.backoff_damaged',
    'An instance sent a backoff time that is not a decimal number; it is ignored.',
    ('instance', 'value'),
)
INSTANCE_SAYS_LEAVING = Event(
    529,
    'instance.says_leaving',
    'An instance announced in a response that it is about to shut down: the node '
    'that read or relayed the announcement, and whether the store already marked '
    'the instance as leaving.',
    ('instance', 'born', 'told_by', 'listed_leaving'),
)
INSTANCE_COLD = Event(
    531,
    'instance.cold',
    'An instance is cold: for how many seconds, and how many requests per second it '
    'takes from all nodes meanwhile.',
    ('instance', 'left_s', 'limit'),
)
INSTANCE_WARM = Event(
    532,
    'instance.warm',
    'An instance is no longer cold, or was removed.',
    ('instance',),
)
INSTANCE_DAMAGED = Event(
    511,
    'instance.damaged',
    'The entry of an instance, or another key of the fleet, could not be parsed.',
    ('instance', 'reason'),
)
LEADERSHIP_ACQUIRED = Event(
    512, 'lead.taken', 'The node became the leader that manages groups.', ('revision',)
)
LEADERSHIP_LOST = Event(
    513, 'lead.lost', 'The node is no longer the leader that manages groups.'
)
PATHS_LOST = Event(
    533,
    'paths.lost',
    'The node reaches no instance directly, and sends through peers; the instances '
    'that it tried.',
    ('instances',),
)
PATHS_RECOVERED = Event(
    534,
    'paths.recovered',
    'The node reaches instances directly again: seconds for which it did not.',
    ('after_s',),
)
TUNNEL_REFUSED = Event(
    535,
    'tunnel.refused',
    'A peer asked for a connection to an instance and got none.',
    ('peer', 'instance', 'reason'),
)
LEADERSHIP_RESIGNED = Event(
    536,
    'lead.resigned',
    'The leader reaches no instance, and a peer does; it gives up the lead.',
)
GROUPS_CLAIMED = Event(
    514,
    'groups.claimed',
    'An update of group claims was committed or failed.',
    ('added', 'dropped', 'outcome'),
)
GROUP_RETIRED = Event(
    515, 'group.retired', 'A group is being dissolved.', ('group', 'reason')
)
ORDER_ANSWERED = Event(
    516,
    'order.answered',
    'The result of an order.',
    ('instance', 'order', 'group', 'epoch', 'result'),
)
INSTANCE_PROBED = Event(
    517,
    'instance.probed',
    'The members of a stalled group were probed: which did not answer, and which of '
    'these refused the connection.',
    ('group', 'silent', 'refused', 'answered'),
)
INSTANCE_LOST = Event(
    518,
    'instance.lost',
    'The result of checking an instance that may be lost: false if it does not '
    'respond, and what the probe found.',
    ('instance', 'answers', 'found'),
)

CHANGES_MISSED = Event(
    521,
    'changes.missed',
    'The node is behind a peer and requests the changes that it missed.',
    ('heard', 'peer'),
)
LOADS_CLAIMED = Event(
    519,
    'loads.claimed',
    'The loads of weights in progress were written to the store before they are '
    'ordered, or the write failed.',
    ('loads', 'outcome'),
)

ZONE_REQUESTED = Event(
    540,
    'zone.evacuation_requested',
    'The evacuation of a zone was requested: whether the request is known to be '
    'recent, and after how long this node sends nothing more there.',
    ('zone', 'known_age', 'closes_in_s'),
)
ZONE_CLOSED = Event(
    541,
    'zone.closed',
    'This node sends no further requests to the instances of a zone.',
    ('zone',),
)
ZONE_WITHDRAWN = Event(
    542,
    'zone.evacuation_withdrawn',
    'The request to evacuate a zone was withdrawn; its instances get requests again.',
    ('zone',),
)
ZONE_UNKNOWN = Event(
    543,
    'zone.unknown',
    'An evacuation was requested for a zone without instances and nodes, or for none; '
    'it has no effect unless instances of that zone are listed later.',
    ('zone',),
)
SERVICE_EVACUATED = Event(
    544,
    'service.evacuated',
    'All instances of a service are in evacuated zones; its requests are refused.',
    ('service',),
)

REQUEST_DONE = Event(
    600,
    'request.done',
    'A request was answered in full.',
    ('request', 'replica', 'wait'),
)
REQUEST_REFUSED = Event(
    601, 'request.refused', 'A request was rejected.', ('request', 'code', 'outcome')
)
REQUEST_ROUTED = Event(
    602,
    'request.routed',
    'A replica was selected for a request.',
    ('request', 'replica', 'why'),
)
ATTEMPT_FAILED = Event(
    606,
    'request.attempt_failed',
    'An attempt on a target failed without a response to forward.',
    ('request', 'instance', 'outcome', 'reason', 'sent_s'),
)
REQUEST_ENDED = Event(
    607,
    'request.ended',
    'A request ended: the response to the client, or that the client disconnected; '
    'for how long the node had been stopping when the request was read.',
    (
        'request',
        'route',
        'kind',
        'model',
        'status',
        'outcome',
        'reason',
        'instance',
        'attempts',
        'took_s',
        'held_s',
        'waited_s',
        'sends_s',
        'left_s',
        'stopping_s',
        'first_s',
        'pause_s',
        'objective_s',
        'pause_limit_s',
        'age',
        'framing',
    ),
)
CONNECTION_ENDED = Event(
    629,
    'connection.ended',
    'A node ends a connection before it handles all requests on it: what it was doing, '
    'the status of the error response, 0 without one, and whether more had arrived.',
    ('request', 'state', 'status', 'reason', 'more', 'stopping'),
)
MEMORY_GIVEN_UP = Event(
    630,
    'memory.given_up',
    'All clients together hold more bytes than a node may hold for them: the largest '
    'holders have given up theirs.  Bytes before and after, and connections since the '
    'last line.',
    ('held_bytes', 'limit_bytes', 'left_bytes', 'connections'),
)
CONNECTIONS_CLOSED = Event(
    631,
    'connections.closed',
    'A listener has as many connections as it may have, or no descriptor is left: '
    'those that were idle for longest are closed.  All connections, and those that '
    'were closed or reset since the last line.',
    ('open', 'limit', 'closed', 'reset', 'reason'),
)
LINES_DROPPED = Event(
    608,
    'log.dropped',
    'Log lines were dropped because standard output was too slow.',
    ('count',),
)
REQUEST_SENT = Event(
    609,
    'request.sent',
    'A request was sent to the selected instance.',
    (
        'request',
        'instance',
        'group',
        'load',
        'choices',
        'attempt',
        'last_event',
        'table',
        'age',
        'heard',
    ),
)
RETRY_REQUESTED = Event(
    611,
    'request.again',
    'A retry was requested from the budget: retries and requests in the window, the'
    " maximum number of retries, and this node's shares of the constant and of the "
    'ratio of traffic.',
    ('request', 'service', 'granted', 'spent', 'requests', 'bound', 'part', 'traffic'),
)
RETRY_BORROWED = Event(
    618,
    'request.borrowed',
    "A retry beyond a starting node's own share was requested from peers: those "
    'asked, and the last answer.',
    ('request', 'service', 'asked', 'outcome'),
)
RETRY_LENT = Event(
    619,
    'request.lent',
    'A peer requested a retry from the budget: retries, those lent among them, and '
    'the maximum number of retries in the window.',
    ('peer', 'service', 'granted', 'spent', 'lent', 'bound'),
)
RESPONSE_UNREAD = Event(
    620,
    'request.unread',
    'A client was disconnected as it did not read its response in time.',
    ('request', 'limit_s'),
)
RESPONSE_BROKEN_OFF = Event(
    621,
    'response.broken_off',
    'An instance ended a response before its end: how the response is framed, what '
    'shows that it is not whole, and the bytes after the last complete event.',
    ('request', 'instance', 'framing', 'reason', 'rest'),
)
RESPONSE_END_UNPROVEN = Event(
    628,
    'response.end_unproven',
    'A response ended with its connection, and nothing proves that its instance still '
    'runs or has ended: what is known of the instance, whether it was listed and not '
    'leaving when the check began and when it ended, whether bytes came without a '
    'silence shortly before, and the seconds of the check.',
    ('request', 'instance', 'state', 'listed', 'still_listed', 'steady', 'took_s'),
)
REQUEST_SUSPECTED = Event(
    612,
    'request.suspected',
    'A request that is suspected of crashing instances was rejected or delayed: '
    'those instances with their start times and the nodes that saw them end, the '
    'age of the latest crash, and when the client may retry.',
    ('request', 'fingerprint', 'customer', 'known', 'ended', 'age', 'again_s'),
)
SEND_DENIED = Event(
    615,
    'send.held',
    'An instance with a rate limit receives no requests for now, because the leader'
    ' denied a permit or did not answer: the limit, the leader, and the time until '
    'the next attempt.',
    ('instance', 'limit', 'leader', 'outcome', 'again_s'),
)
ADMISSION_DECIDED = Event(
    616,
    'request.admission',
    'A request that waited for a target got one, or a request got none: the decision, '
    'its wait and the wait that was expected (0: none could be told), and the requests '
    'that still wait.',
    (
        'request',
        'customer',
        'urgency',
        'decision',
        'waited_s',
        'expected_s',
        'waiting',
    ),
)
ADMISSIONS_COUNTED = Event(
    617,
    'request.admissions',
    'Further decisions on requests that waited for a target, beyond the lines that a '
    'node writes in one second.',
    ('decision', 'count'),
)
SUSPECT_STORED = Event(
    613,
    'suspect.stored',
    'A request that crashes instances was written to the store, so that nodes know '
    'of it when they start.',
    ('fingerprint', 'crashes', 'outcome'),
)
PART_FOUND = Event(
    622,
    'part.found',
    'Requests with a part of their prompts are refused, as instances end when they '
    'begin to run them: the parts without which they are not, the ended instances, and '
    'the customers that sent the requests.',
    ('part', 'companions', 'ended', 'customers'),
)
CONNECTIONS_REFUSED = Event(
    623,
    'connections.refused',
    'Connections of clients were reset unread in the last second or longer, as '
    'requests wait too long at this node: the share that is accepted, and the delay of '
    'a request by other work of the node.',
    ('refused', 'share', 'delay_s'),
)
ENGINE_CRASHED = Event(
    624,
    'engine.crashed',
    'An engine ended unexpectedly while it ran a request: the fingerprint, which is '
    'the same when callers resend the request, and digests of the parts of its prompt.',
    (
        'engine',
        'replica',
        'request',
        'fingerprint',
        'customer',
        'parts',
    ),
)
ENGINE_REQUEST_REFUSED = Event(
    625,
    'engine.request_refused',
    'A request was refused, as engines end when they begin to run it, or others with a '
    'part of its prompt.',
    ('request', 'fingerprint', 'customer'),
)
RUN_STALLED = Event(
    626,
    'run.stalled',
    'A run of a request makes no progress and may have failed: why, for how long it '
    'has brought nothing towards its response, the bytes that came meanwhile, whether '
    'the response has begun, the load of the instance, the runs of the request and '
    'those that its route allows, and the seconds to its deadline.  It goes on, and '
    'another may be tried beside it.',
    (
        'request',
        'instance',
        'reason',
        'silent_s',
        'received',
        'begun',
        'load',
        'runs',
        'allowed',
        'left_s',
    ),
)
RUN_DROPPED = Event(
    627,
    'run.dropped',
    'A run of a request was ended, as another one made progress before it.',
    ('request', 'instance', 'suspected'),
)
SUSPECT_CLEARED = Event(
    614,
    'suspect.cleared',
    'A request, or a part of prompts, is no longer suspected: it was answered, or an '
    'operator cleared it.',
    ('fingerprint', 'why'),
)
REQUEST_RETRIED = Event(
    603, 'request.retried', 'A request is retried.', ('request', 'reason')
)
REQUEST_RESUMED = Event(
    604,
    'request.resumed',
    'A stream goes on at another run than before, if it can: its offset, the instance '
    'of the run that ended, and why it ended.',
    ('request', 'offset', 'instance', 'reason'),
)
CLIENT_DISCONNECTED = Event(
    605,
    'request.caller_left',
    'The client disconnected; the request was cancelled.',
    ('request',),
)

ADMIN_WRITE = Event(
    700, 'admin.write', 'An operator wrote a resource.', ('resource', 'revision')
)
ADMIN_REFUSED = Event(
    701,
    'admin.refused',
    'A request from an operator was rejected.',
    ('status', 'reason'),
)

#: All events by name.
CATALOGUE: dict[str, Event] = {
    value.name: value for value in list(globals().values()) if isinstance(value, Event)
}
