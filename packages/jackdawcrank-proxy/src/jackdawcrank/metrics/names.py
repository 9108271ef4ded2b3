"""Declarations of all metrics that a proxy sends."""

from jackdawcrank.metrics.metric_spec import MetricKind, MetricSpec

COUNTER = MetricKind.COUNTER
GAUGE = MetricKind.GAUGE
TIMING = MetricKind.TIMING

STATEMENTS = MetricSpec(
    "statements", COUNTER, "statements", "Statements answered.", per_group=True
)
STATEMENT_TIME = MetricSpec(
    "statement_time",
    TIMING,
    "ms",
    "Time from a statement's arrival to its answer.",
    "The upper percentile is above the callers' deadline.",
    per_group=True,
)
REPLICA_READS = MetricSpec(
    "replica_reads",
    COUNTER,
    "statements",
    "Reads that a replica served.",
    per_group=True,
)
PRIMARY_READS = MetricSpec(
    "primary_reads",
    COUNTER,
    "statements",
    "Reads that the primary served.",
    per_group=True,
)
REPLICA_WAITS = MetricSpec(
    "replica_waits",
    COUNTER,
    "statements",
    "Reads that waited for a replica to reach a session token.",
    per_group=True,
)
WRITES = MetricSpec(
    "writes", COUNTER, "statements", "Writes acknowledged.", per_group=True
)
REFUSED = MetricSpec(
    "refused",
    COUNTER,
    "statements",
    "Statements refused as not run.",
    "More than a hundredth of the statements for a minute.",
    per_group=True,
)
FAILED = MetricSpec(
    "failed",
    COUNTER,
    "statements",
    "Statements that ran and were rolled back.",
    per_group=True,
)
UNKNOWN = MetricSpec(
    "unknown",
    COUNTER,
    "statements",
    "Statements whose outcome is unknown.",
    "Any outside a change of primary.",
    per_group=True,
)
REQUESTS_REPLAYED = MetricSpec(
    "requests_replayed",
    COUNTER,
    "statements",
    "Writes answered from the request table.",
    per_group=True,
)
FORWARDED = MetricSpec(
    "forwarded", COUNTER, "statements", "Statements sent to a home proxy."
)
FORWARD_TIME = MetricSpec(
    "forward_time", TIMING, "ms", "Time from sending to a home's answer."
)
CALLER_CONNECTIONS = MetricSpec(
    "caller_connections", GAUGE, "connections", "Open connections of callers."
)
BACKEND_CONNECTIONS = MetricSpec(
    "backend_connections",
    GAUGE,
    "connections",
    "Open connections to a group's backend servers.",
    "The sum over the proxies reaches the group's limit.",
    per_group=True,
)
BACKEND_CONNECTIONS_DROPPED = MetricSpec(
    "backend_connections_dropped",
    COUNTER,
    "connections",
    "Connections dropped as silent or doubtful.",
    per_group=True,
)
QUEUE_LENGTH = MetricSpec(
    "queue_length",
    GAUGE,
    "statements",
    "Statements that wait for a slot.",
    per_group=True,
)
QUEUE_TIME = MetricSpec(
    "queue_time",
    TIMING,
    "ms",
    "Time that a statement waited for a slot.",
    per_group=True,
)
REPLICA_AGE = MetricSpec(
    "replica_age",
    GAUGE,
    "ms",
    "Age of the freshest replica.",
    "Above the group's default age for a minute.",
    per_group=True,
)
PROMOTIONS = MetricSpec(
    "promotions",
    COUNTER,
    "promotions",
    "Changes of primary that this VM coordinated.",
    "More than one of a group within ten minutes.",
    per_group=True,
)
FAILOVER_GAP = MetricSpec(
    "failover_gap",
    TIMING,
    "ms",
    "Time during which a group took no writes.",
    "Above 7,000 ms.",
    per_group=True,
)
SUSPICIONS = MetricSpec(
    "suspicions",
    COUNTER,
    "suspicions",
    "Times that a primary was suspected.",
    per_group=True,
)
LEASES = MetricSpec(
    "leases", GAUGE, "groups", "Groups whose term lease this VM holds."
)
LEASES_LOST = MetricSpec(
    "leases_lost",
    COUNTER,
    "leases",
    "Term leases that ran out.",
    "Any while the store answers.",
)
GROUPS_COORDINATED = MetricSpec(
    "groups_coordinated", GAUGE, "groups", "Groups that this VM coordinates."
)
CONFIG_VERSION = MetricSpec(
    "config_version",
    GAUGE,
    "version",
    "The configuration version in force.",
    "Two VMs differ for more than 4 s.",
)
CONFIG_DELAY = MetricSpec(
    "config_delay",
    TIMING,
    "ms",
    "Time from a change's acceptance until it was in force here.",
    "Above 4,000 ms.",
)
STORE_READS = MetricSpec(
    "store_reads", COUNTER, "requests", "Reads from the platform's store."
)
STORE_WRITES = MetricSpec(
    "store_writes", COUNTER, "requests", "Writes to the platform's store."
)
STORE_ERRORS = MetricSpec(
    "store_errors",
    COUNTER,
    "requests",
    "Requests that the store did not answer or refused.",
    "Every request for 3 s.",
)
STORE_TIME = MetricSpec(
    "store_time", TIMING, "ms", "Time until the store answered."
)
MEMBERS = MetricSpec("members", GAUGE, "VMs", "VMs taken for live.")
PEER_STREAMS = MetricSpec(
    "peer_streams", GAUGE, "streams", "Open streams to other proxies."
)
PEER_STREAMS_LOST = MetricSpec(
    "peer_streams_lost",
    COUNTER,
    "streams",
    "Streams that broke or went silent.",
    "More than a few a minute outside restarts.",
)
PEER_REFUSED = MetricSpec(
    "peer_refused",
    COUNTER,
    "connections",
    "Connections on the peer port without a valid proof.",
    "Any: a wrong secret or a stranger.",
)
TIMELINE_EVENTS = MetricSpec(
    "timeline_events", COUNTER, "events", "Events recorded."
)
LOOP_DELAY = MetricSpec(
    "loop_delay",
    TIMING,
    "ms",
    "How late the event loop ran a timer.",
    "Above 500 ms: the VM is paused or out of processor time.",
)

METRICS: tuple[MetricSpec, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, MetricSpec)
)
