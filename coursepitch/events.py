"""Table of the numbered events that go to the log."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ['CATALOGUE', 'Event']


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of event: its number, name, what it means and its fields."""

    number: int
    name: str
    text: str
    fields: tuple[str, ...] = ()


NODE_STARTED = Event(100, 'node.started', 'The node listens.', ('ports',))
NODE_READY = Event(101, 'node.ready', 'The node serves callers.', ('revision', 'age'))
NODE_NOT_READY = Event(
    102, 'node.not_ready', 'The node turns callers away.', ('reason',)
)
NODE_DRAINING = Event(
    103, 'node.draining', 'A planned stop began.', ('in_flight', 'limit_s')
)
NODE_CUT = Event(
    104, 'node.request_cut', 'A second signal or the limit cut a request.', ('request',)
)
NODE_STOPPED = Event(105, 'node.stopped', 'The node ended in order.')
ADMIN_OPEN = Event(
    106, 'admin.no_keys', 'No operator keys are set; loopback only.', ('address',)
)

SETTINGS_READ = Event(
    107,
    'node.settings_read',
    'The settings were read anew: which options are in force now, which wait.',
    ('outcome', 'taken', 'waiting'),
)

FAULT = Event(
    108, 'node.fault', 'A fault of the program itself.', ('place', 'error', 'traceback')
)

SERVICE_LOST = Event(
    200, 'service.lost', 'The key-value service gave no usable answer.', ('reason',)
)
SERVICE_BACK = Event(201, 'service.back', 'The key-value service answers again.')
LEASE_LOST = Event(202, 'lease.lost', "The node's lease lapsed.")
SWAP_SETTLED = Event(
    203, 'swap.settled', 'A lost answer was settled by reading back.', ('key', 'won')
)

CONFIG_RECORDED = Event(
    300, 'config.recorded', 'A change was recorded.', ('revision', 'resource')
)
CONFIG_IN_FORCE = Event(
    301, 'config.in_force', 'A revision is in force here.', ('revision', 'source')
)
CONFIG_ACCEPTED = Event(
    302, 'config.accepted', 'A revision is in force everywhere.', ('revision',)
)
WATCH_SILENT = Event(
    204,
    'service.watch_silent',
    'A watch told nothing of changes; all keys are listed anew.',
    ('heard', 'revision'),
)
CONFIG_DAMAGED = Event(
    304,
    'config.damaged',
    'A configuration in the store cannot be read; the older one stays.',
    ('revision', 'reason'),
)
TABLE_IN_FORCE = Event(
    305,
    'config.table_in_force',
    'A version of the routes is in force here.',
    ('version', 'revision', 'routes'),
)
NODE_FORGOTTEN = Event(
    303, 'config.node_forgotten', 'A silent node was removed.', ('node',)
)

PEER_UP = Event(400, 'peer.up', 'A link to a peer is up.', ('peer',))
PEER_DOWN = Event(401, 'peer.down', 'A link to a peer ended.', ('peer', 'reason'))
PEER_REFUSED = Event(
    402, 'peer.refused', 'A peer sent what cannot be taken.', ('peer', 'reason')
)

DUTY_TAKEN = Event(500, 'duty.taken', 'The node holds a duty.', ('duty', 'lease'))
DUTY_LOST = Event(501, 'duty.lost', 'The node no longer holds a duty.', ('duty',))
REPLICA_CLAIMED = Event(
    502, 'replica.claimed', 'Instances were claimed.', ('replica', 'domain', 'why')
)
REPLICA_MOVED = Event(
    503, 'replica.moved', 'A replica changed state.', ('replica', 'source', 'state')
)
ORDER_SENT = Event(504, 'order.sent', 'An order went out.', ('instance', 'order'))
ORDER_FAILED = Event(
    505, 'order.failed', 'An order was not taken.', ('instance', 'order', 'reason')
)
MEMBER_MISSING = Event(
    506, 'replica.member_missing', 'A member failed its check.', ('replica', 'instance')
)
INSTANCE_LEAVING = Event(
    507, 'instance.leaving', 'The list shows an instance leaving.', ('instance',)
)

CLAIMS_DAMAGED = Event(
    508, 'claims.damaged', 'Claims cannot be read.', ('domain', 'reason')
)

INSTANCE_CHANGED = Event(
    509,
    'instance.changed',
    'An instance came, or tells another group.',
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
    'An instance is no longer listed, and counts no more.',
    ('instance', 'held_s'),
)
INSTANCE_VANISHED = Event(
    520,
    'instance.vanished',
    'An entry went, and counts on: it may have lapsed with the store, which is known '
    'to have answered for so long only.',
    ('instance', 'steady_s'),
)
INSTANCE_RESTARTED = Event(
    523,
    'instance.restarted',
    'An instance started again under its name; what was known of it is forgotten.',
    ('instance', 'born'),
)
INSTANCE_STALE = Event(
    524,
    'instance.stale',
    'An entry that an earlier start of an instance wrote is left.',
    ('instance', 'born'),
)
INSTANCE_CRASHED = Event(
    525,
    'instance.crashed',
    'An instance ended, unasked, while it had a request: its id, and its fingerprint, '
    'which stays the same when clients send it again.',
    ('instance', 'born', 'request', 'fingerprint', 'customer'),
)
INSTANCE_LIMITED = Event(
    526,
    'instance.limited',
    'An instance names how many requests a second it takes from all nodes together, or '
    'none any more (null): the limit, the one before it, the node that read it in an '
    'answer, and how long ago.',
    ('instance', 'limit', 'before', 'read_by', 'age'),
)
LIMIT_DAMAGED = Event(
    527,
    'instance.limit_damaged',
    'An instance names a limit that is no decimal number; what was known stays.',
    ('instance', 'value'),
)
INSTANCE_BACKOFF = Event(
    528,
    'instance.backoff',
    'An instance rejects a request and wants none from this node for some seconds.',
    ('instance', 'backoff_s'),
)
BACKOFF_DAMAGED = Event(
    530,
    'instance.backoff_damaged',
    'An instance names a time to want no requests that is no decimal number; it counts '
    'for nothing.',
    ('instance', 'value'),
)
INSTANCE_SAYS_LEAVING = Event(
    529,
    'instance.says_leaving',
    'An instance says in an answer that it is about to end: the node that read or told '
    'it, and whether the store had said so before.',
    ('instance', 'born', 'told_by', 'listed_leaving'),
)
INSTANCE_DAMAGED = Event(
    511, 'instance.damaged', 'An entry cannot be read.', ('instance', 'reason')
)
LEAD_TAKEN = Event(
    512, 'lead.taken', 'The node orders groups from now on.', ('revision',)
)
LEAD_LOST = Event(513, 'lead.lost', 'The node no longer orders groups.')
GROUPS_CLAIMED = Event(
    514,
    'groups.claimed',
    'Claims were changed, or the change did not go through.',
    ('added', 'dropped', 'outcome'),
)
GROUP_RETIRED = Event(
    515, 'group.retired', 'A group is taken apart.', ('group', 'reason')
)
ORDER_ANSWERED = Event(
    516,
    'order.answered',
    'What became of an order.',
    ('instance', 'order', 'group', 'epoch', 'result'),
)
INSTANCE_PROBED = Event(
    517,
    'instance.probed',
    'Members of a group that stood still were asked.',
    ('group', 'silent', 'answered'),
)
INSTANCE_LOST = Event(
    518, 'instance.lost', 'An instance does not answer.', ('instance', 'answers')
)

CHANGES_MISSED = Event(
    521,
    'changes.missed',
    'The node stays behind a peer, and asks it for what it missed.',
    ('heard', 'peer'),
)
LOADS_CLAIMED = Event(
    519,
    'loads.claimed',
    'Loads of weights are about to be ordered, or could not be noted.',
    ('loads', 'outcome'),
)

REQUEST_DONE = Event(
    600, 'request.done', 'A request was answered whole.', ('request', 'replica', 'wait')
)
REQUEST_REFUSED = Event(
    601, 'request.refused', 'A request was refused.', ('request', 'code', 'outcome')
)
REQUEST_ROUTED = Event(
    602, 'request.routed', 'A replica was chosen.', ('request', 'replica', 'why')
)
REQUEST_ATTEMPT = Event(
    606,
    'request.attempt_failed',
    'An attempt on a target ended without an answer to pass on.',
    ('request', 'instance', 'outcome', 'reason', 'sent_s'),
)
REQUEST_ENDED = Event(
    607,
    'request.ended',
    'What a client was told, or that it left.',
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
        'first_s',
        'pause_s',
        'objective_s',
        'pause_limit_s',
        'age',
    ),
)
LINES_DROPPED = Event(
    608, 'log.dropped', 'Lines that standard output did not take in time.', ('count',)
)
REQUEST_SENT = Event(
    609,
    'request.sent',
    'An instance was chosen and the request goes there.',
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
REQUEST_OVERDUE = Event(
    610,
    'request.overdue',
    'A request stands still at a group that answers, and goes to another.',
    ('request', 'instance', 'load', 'begun'),
)
SEND_AGAIN = Event(
    611,
    'request.again',
    'A second send was asked for: second sends and requests in the window, the most '
    "allowed, and the node's parts of the constant and of what traffic allows.",
    ('request', 'service', 'granted', 'spent', 'requests', 'bound', 'part', 'traffic'),
)
REQUEST_SUSPECTED = Event(
    612,
    'request.suspected',
    'A request under which instances ended is refused, or has to wait: these instances '
    'with their starts and the nodes that saw them end, the age of the newest crash, '
    'and after how long the client may come again.',
    ('request', 'fingerprint', 'customer', 'known', 'ended', 'age', 'again_s'),
)
SEND_HELD = Event(
    615,
    'send.held',
    'An instance with a limit takes no more requests now, as the leader says or as it '
    'does not answer: the limit, the leader, and after how long it is asked again.',
    ('instance', 'limit', 'leader', 'outcome', 'again_s'),
)
SUSPECT_STORED = Event(
    613,
    'suspect.stored',
    'A request that ends instances was written to the store, for nodes that start.',
    ('fingerprint', 'crashes', 'outcome'),
)
SUSPECT_CLEARED = Event(
    614,
    'suspect.cleared',
    'A request is suspected no more: it was answered, or an operator lifted it.',
    ('fingerprint', 'why'),
)
REQUEST_RETRIED = Event(
    603, 'request.retried', 'A further attempt was made.', ('request', 'reason')
)
REQUEST_RESUMED = Event(
    604, 'request.resumed', 'A cut stream was resumed.', ('request', 'offset')
)
REQUEST_LEFT = Event(
    605, 'request.caller_left', 'The caller left; the work was cancelled.', ('request',)
)

ADMIN_WRITE = Event(
    700, 'admin.write', 'An operator wrote a resource.', ('resource', 'revision')
)
ADMIN_REFUSED = Event(
    701, 'admin.refused', 'An operator was refused.', ('status', 'reason')
)

#: All events by name.
CATALOGUE: dict[str, Event] = {
    value.name: value for value in list(globals().values()) if isinstance(value, Event)
}
