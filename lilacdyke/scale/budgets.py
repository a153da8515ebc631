"""Projected cost of each role at the reference size, expected in two years, against its budget.

Holds the reference size, the budgets and the claims (a role, a formula over fitted lines, a budget). Measured
figures come from the recorded rows only.
"""

from typing import NamedTuple

from ..plan.forwarder import DIGESTS_PER_LEASE
from ..plan.limits import FORWARDERS_PER_SEAT

# The reference size.
NODES, SITES, SERVERS, REGIONS, ZONES = 10_000, 550, 4_600, 20, 54
REQUEST_RATE, PURGE_RATE = 6_900_000, 55  # per second, at the peak
CONFIGURATIONS_PER_DAY, RESTARTS_PER_DAY, FAILURES_PER_DAY = 5_300, 3_100, 29
CONTROL_MACHINES = 40
PURGE_DEADLINE_S, CONFIGURATION_DEADLINE_S = 3.9, 15.0
# A node's budget for control traffic: fraction of a core, MB, bytes per second.
NODE_CONTROL_CORE, NODE_CONTROL_MB, NODE_CONTROL_BYTES = 0.03, 64, 21_000
FULL_CORE = 1.0  # budget of a planner's thread, and of a node's for requests
SECONDS_PER_DAY = 86_400
LIMITS, LEASE_S, PLANNERS, TASKS = 8, 2.0, 9, 100  # of a fleet file at that size; PLANNERS is its maximum
LIST_CHANGES_PER_RESTART = 3  # draining, gone or starting, serving
PURGE_BYTES = 64  # calculated: a key, a time, a number and their framing
REQUESTS_PER_NODE = REQUEST_RATE / NODES
ZONE_SERVERS, REGION_SERVERS = SERVERS / ZONES, SERVERS / REGIONS


class Claim(NamedTuple):
    """One projected figure of the page."""

    role: str
    subject: str
    formula: str
    compute: object  # function of the fitted lines by measurement
    budget: float
    unit: str
    display_factor: float  # factor of the displayed value and budget
    measures: tuple  # names of the measurements used
    sizes: tuple  # the size at which each is evaluated
    implemented_by: str
    verified_by: str


def decisions_core(servers):
    """Return the cost of decisions at a node that lists this many servers, as a fraction of a core."""
    return lambda lines: REQUESTS_PER_NODE * lines['decision'].at(servers) / 1e6


def digests_per_second(forwarders):
    """Return the digests per second that a planner receives."""
    return forwarders * DIGESTS_PER_LEASE / LEASE_S


def list_transfer_s(servers):
    """Return the seconds that a whole list takes at a node's control bandwidth."""
    return lambda lines: lines['list-bytes'].at(servers) * 1_024 / NODE_CONTROL_BYTES


def list_megabytes(servers):
    """Return the memory of a list in MB."""
    return lambda lines: lines['list-memory'].at(servers) / 1_024


def changed_entries_core(lines):
    """Return the cost of changed list entries, as a fraction of a core."""
    return (
        RESTARTS_PER_DAY
        * LIST_CHANGES_PER_RESTART
        / SECONDS_PER_DAY
        * lines['changed-entry'].at(SERVERS)
        / 1e3
    )


def burst_changed_entries_core(lines):
    """Return the same while a tenth of a day's restarts occur within a minute."""
    return RESTARTS_PER_DAY / 10 * LIST_CHANGES_PER_RESTART / 60 * lines['changed-entry'].at(SERVERS) / 1e3


def planner_core(forwarders):
    """Return the cost of digests at one planner, as a fraction of a core."""

    def compute(lines):
        by_limits = lines['planner-digest-by-limits']
        # The measurement by forwarders uses two limits: scale it to LIMITS.
        factor = by_limits.at(LIMITS) / by_limits.at(2)
        return digests_per_second(forwarders) * lines['planner-digest'].at(forwarders) * factor / 1e6

    return compute


def planner_links_core(lines):
    """Return the cost of a node's links to all planners, as a fraction of a core."""
    return PLANNERS * DIGESTS_PER_LEASE / LEASE_S * lines['forwarder-digest'].at(LIMITS) / 1e6


def planner_links_bytes(lines):
    """Return the bytes per second on a node's links to all planners, in both directions."""
    return PLANNERS * DIGESTS_PER_LEASE / LEASE_S * lines['link-bytes'].at(LIMITS)


def voter_core(lines):
    """Return the cost of renewals at three per task in a lease of 5 s, as a fraction of a core."""
    return TASKS * 3 / 5 * lines['voter-message'].at(TASKS) / 1e6


CLAIMS = (
    Claim(
        'node, ordinary second',
        'decisions, all servers listed',
        'requests a node x decision(%d servers)' % SERVERS,
        decisions_core(SERVERS),
        FULL_CORE,
        '% of a core',
        100,
        ('decision',),
        (SERVERS,),
        '`policy` ranking over all servers',
        '`scale slopes decision`',
    ),
    Claim(
        'node, ordinary second',
        'decisions, its region listed',
        'requests a node x decision(%.0f servers)' % REGION_SERVERS,
        decisions_core(REGION_SERVERS),
        FULL_CORE,
        '% of a core',
        100,
        ('decision',),
        (REGION_SERVERS,),
        'a list of the region, which an agent gives',
        '`scale slopes decision`',
    ),
    Claim(
        'node, ordinary second',
        'decisions, its zone listed',
        'requests a node x decision(%.0f servers)' % ZONE_SERVERS,
        decisions_core(ZONE_SERVERS),
        FULL_CORE,
        '% of a core',
        100,
        ('decision',),
        (ZONE_SERVERS,),
        'a list of the zone, which an agent gives',
        '`scale slopes decision`',
    ),
    Claim(
        'node, start',
        'bytes of a whole list, all servers',
        'list-bytes(%d) / bytes of control a second' % SERVERS,
        list_transfer_s(SERVERS),
        CONFIGURATION_DEADLINE_S,
        's',
        1,
        ('list-bytes',),
        (SERVERS,),
        'the watch, whole lists at a start',
        '`scale slopes list-bytes`',
    ),
    Claim(
        'node, start',
        'bytes of a whole list, its region',
        'list-bytes(%.0f) / bytes of control a second' % REGION_SERVERS,
        list_transfer_s(REGION_SERVERS),
        CONFIGURATION_DEADLINE_S,
        's',
        1,
        ('list-bytes',),
        (REGION_SERVERS,),
        'the watch, whole lists at a start',
        '`scale slopes list-bytes`',
    ),
    Claim(
        'node',
        'memory of the list, all servers',
        'list-memory(%d)' % SERVERS,
        list_megabytes(SERVERS),
        NODE_CONTROL_MB,
        'MB',
        1,
        ('list-memory',),
        (SERVERS,),
        '`policy` tables',
        '`scale slopes list-memory`',
    ),
    Claim(
        'node, 3,100 restarts spread over a day',
        'changed entries, all servers listed',
        'restarts x %d a day x changed-entry(%d)' % (LIST_CHANGES_PER_RESTART, SERVERS),
        changed_entries_core,
        NODE_CONTROL_CORE,
        '% of a core',
        100,
        ('changed-entry',),
        (SERVERS,),
        'the watch, changes',
        '`scale slopes changed-entry`',
    ),
    Claim(
        'node, a tenth of them within a minute',
        'changed entries, all servers listed',
        'restarts / 10 x %d / 60 s x changed-entry(%d)' % (LIST_CHANGES_PER_RESTART, SERVERS),
        burst_changed_entries_core,
        NODE_CONTROL_CORE,
        '% of a core',
        100,
        ('changed-entry',),
        (SERVERS,),
        'the watch, changes',
        '`scale slopes changed-entry`',
    ),
    Claim(
        'node, peak',
        'bytes of purges alone',
        'purges a second x %d B (worked out; see the scale runs)' % PURGE_BYTES,
        lambda lines: PURGE_RATE * PURGE_BYTES,
        NODE_CONTROL_BYTES,
        'B/s',
        1,
        (),
        (),
        '`changes`, relays to nodes',
        '`scale run`',
    ),
    Claim(
        'node',
        'links to %d planners, processor time' % PLANNERS,
        'planners x %d / lease x forwarder-digest(%d limits)' % (DIGESTS_PER_LEASE, LIMITS),
        planner_links_core,
        NODE_CONTROL_CORE,
        '% of a core',
        100,
        ('forwarder-digest',),
        (LIMITS,),
        '`plan.forwarder`, a link to every planner',
        '`scale slopes forwarder-digest`',
    ),
    Claim(
        'node',
        'links to %d planners, bytes' % PLANNERS,
        'planners x %d / lease x link-bytes(%d limits)' % (DIGESTS_PER_LEASE, LIMITS),
        planner_links_bytes,
        NODE_CONTROL_BYTES,
        'B/s',
        1,
        ('link-bytes',),
        (LIMITS,),
        '`plan.forwarder`, a link to every planner',
        '`scale slopes link-bytes`',
    ),
    Claim(
        'planner',
        'digests of all nodes',
        'nodes x %d / lease x planner-digest(%d forwarders) x %d limits over 2'
        % (DIGESTS_PER_LEASE, NODES, LIMITS),
        planner_core(NODES),
        FULL_CORE,
        '% of a core',
        100,
        ('planner-digest', 'planner-digest-by-limits'),
        (NODES, LIMITS),
        '`plan.planner`, one process hears all',
        '`scale slopes planner-digest`, `trial.load`',
    ),
    Claim(
        'planner',
        'digests of one region',
        'nodes / regions x %d / lease x planner-digest(%d forwarders) x %d limits over 2'
        % (DIGESTS_PER_LEASE, NODES // REGIONS, LIMITS),
        planner_core(NODES // REGIONS),
        FULL_CORE,
        '% of a core',
        100,
        ('planner-digest', 'planner-digest-by-limits'),
        (NODES // REGIONS, LIMITS),
        'planners by region, which limits of the whole fleet do not know yet',
        '`scale slopes planner-digest`',
    ),
    Claim(
        'voter',
        'renewals of %d tasks' % TASKS,
        'tasks x 3 / 5 s x voter-message(%d)' % TASKS,
        voter_core,
        FULL_CORE,
        '% of a core',
        100,
        ('voter-message',),
        (TASKS,),
        '`plan.leases`',
        '`scale slopes voter-message`',
    ),
)


class Bound(NamedTuple):
    """A limit in the code, against what the reference size requires."""

    subject: str
    limit: float
    required: float
    location: str


def bounds():
    """Return the limits, read from the code."""
    from typing import get_args, get_type_hints

    from ..plan.limits import Fleet
    from ..plan.process import SEEKERS

    hints = get_type_hints(Fleet, include_extras=True)
    seats = get_args(hints['seats'])[1].le
    planners = get_args(hints['planner'])[1].max_length
    return (
        Bound('seats of a fleet file', seats, NODES, '`plan/limits.py`, `Fleet.seats`'),
        Bound('planners of a fleet file', planners, CONTROL_MACHINES, '`plan/limits.py`, `Fleet.planner`'),
        Bound(
            "links of seekers at a voter, beside forwarders'", SEEKERS, TASKS, '`plan/process.py`, `SEEKERS`'
        ),
        Bound(
            'links that a planner holds for each seat',
            FORWARDERS_PER_SEAT,
            2,
            '`plan/limits.py`, an old and a new process',
        ),
    )
