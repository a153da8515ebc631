"""Scenario files: the TOML schema of a run, and its validation.

Field names carry their unit (_s, _ms); rates are per second; shares are fractions of one. Unknown keys and
values out of range are errors.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

FOLDER = Path(__file__).parent / 'scenarios'

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e7)]
Natural = Annotated[int, Meta(ge=0, le=10_000_000)]
Amount = Annotated[float, Meta(ge=0, le=1e7)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Name = Annotated[str, Meta(min_length=1, max_length=80, pattern=r'^[A-Za-z0-9._:+-]+$')]


class BadScenario(Exception):
    """Raised for an invalid scenario, with a one-line message."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables of a scenario; rejects unknown keys."""


class Kind(StrictStruct):
    """Group of identical cache servers."""

    name: Name = 'std'
    count: Count = 4
    cores: Annotated[int, Meta(ge=1, le=256)] = 4
    speed: Positive = 1.0  # of a core, relative to the reference core
    queue: Natural = 64  # transactions that may wait before one is declined
    keeps: Count = 100_000  # cached values
    connections: Count = 4_000  # open connections
    error_rate: Share = 0.0


class Caches(StrictStruct):
    """Settings of all cache servers."""

    mode: Literal['aside', 'through'] = 'aside'
    work_goes_on: bool = False  # whether work continues after a cancel
    ttl_s: Positive = 60.0
    warm_share: Share = 0.95  # of all keys, cached at the start of the run
    miss_cost: Share = 0.1  # relative to the work of a read
    idle_s: Positive = 15.0
    handshake_ms: Amount = 1.0  # work for a new connection
    down_s: Positive = 20.0  # downtime after an overload failure
    pause_every_s: Amount = 0.0  # mean interval of pauses of pause_ms at each server; 0: none
    pause_ms: Amount = 0.0
    tells: bool = True  # Srv-Cache on answers
    reports: bool = False  # Srv-Load on answers
    ahead: Share = 0.0  # share of answers preceded by a 1xx
    give_ms: Amount = 0.0  # time over which an answer above 64 KiB is sent in pieces
    untold: Share = 0.0  # share of good answers without Content-Length: half chunked, half ended by close
    coalesce: bool = True  # report a miss for a key that is being fetched as `pending`


class Origin(StrictStruct):
    """Origin server behind all caches."""

    cores: Count = 8
    speed: Positive = 1.0
    work: Positive = 1.5  # of a fetch, relative to a read
    queue: Natural = 200
    fall_multiple: Positive = 2.5
    fall_s: Positive = 3.0
    down_s: Positive = 5.0


class Net(StrictStruct):
    """One-way network delays."""

    same_ms: Amount = 0.2
    cross_ms: Amount = 1.5
    client_ms: Amount = 0.8
    jitter: Share = 0.2


class Profile(StrictStruct):
    """Transaction profile."""

    name: Name
    effect: Literal['free', 'guarded', 'single_shot'] = 'free'
    write: bool = False
    group: Literal['all', 'zone', 'cell'] = 'all'
    window_s: Positive = 1.5
    goal_s: Positive = 0.75
    limit_s: Positive = 3.0
    work_ms: Positive = 10.0
    cv: Amount = 0.4
    share: Positive = 1.0
    revenue: Amount = 1.0
    late_revenue: Share = 0.0


class Tenant(StrictStruct):
    name: Name
    share: Positive
    asks: Positive = 1.0  # offered load relative to its share


class Load(StrictStruct):
    """Offered load, independent of the answers."""

    rate: Positive = 100.0  # transactions per second, not counting retries
    arrivals: Literal['poisson', 'even', 'replay'] = 'poisson'
    replay_s: list[Amount] = []  # for replay: arrival times of the transactions
    keys: Count = 2_000
    zipf: Amount = 1.0
    value_bytes: Annotated[int, Meta(ge=0, le=400_000)] = 200
    write_bytes: Annotated[int, Meta(ge=0, le=400_000)] = 100
    large_bytes: Annotated[int, Meta(ge=0, le=400_000)] = 0
    large_share: Share = 0.0  # share of keys with values of large_bytes


class Clients(StrictStruct):
    """Client behaviour."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 1
    wait_ms: Amount = 100.0  # backoff before a retry, doubling; 0: none
    try_share: Share = 0.6  # timeout of a try, as a share of the hard limit
    honour: Share = 1.0  # share of retries that honour Retry-After
    leave: Share = 0.0  # share of tries that the client abandons early
    fresh: Share = 0.02  # share of tries on a new connection
    slow_read: Share = 0.0  # share of tries read slowly
    rude: Amount = 0.0  # malformed or silent clients per second
    notice_s: Amount = 2.0  # time to detect that a node has died


class Discovery(StrictStruct):
    """Discovery service."""

    mode: Literal['pushed', 'on_request'] = 'pushed'
    lag_s: Annotated[list[Amount], Meta(min_length=2, max_length=2)] = msgspec.field(
        default_factory=lambda: [0.3, 1.5]
    )
    beat_s: Positive = 2.0


class Rules(StrictStruct):
    """Parameters of the rules that runs are checked against."""

    drain_grace_ms: Amount = 400.0
    fall_multiple: Positive = 4.0
    fall_s: Positive = 1.5
    cold_from: Share = 0.2
    warm_s: Positive = 15.0
    max_hops: Annotated[int, Meta(ge=1, le=20)] = 5
    may_copy: bool = True
    may_cancel: bool = True
    retry_after_s: Amount = 0.0  # 0: no Retry-After
    slack_ms: Amount = 50.0
    told_s: Positive = 6.0  # latest delay after which a change counts as delivered by discovery


class Prices(StrictStruct):
    """Weights and fees of the score G."""

    handshake: Amount = 0.05
    connection: Amount = 0.0
    waste: Amount = 0.05
    whole: Share = 0.55
    worst: Share = 0.25
    profile: Share = 0.2


class Limits(StrictStruct):
    """Resources of a node."""

    memory_mb: Annotated[int, Meta(ge=16)] = 192
    sockets: Annotated[int, Meta(ge=40)] = 1024
    turn_us: Natural = 20  # simulated cost of an event loop iteration; event_us: of each event
    event_us: Natural = 12


class Bound(StrictStruct, omit_defaults=True):
    """Fleet-wide limit, as in the fleet file (plan/limits.py)."""

    name: Name
    most: Positive
    what: Literal['requests', 'fetches', 'cold', 'tries', 'open', 'links'] = 'requests'
    floor: Amount | None = None
    profile: str | None = None

    @property
    def own(self):
        """Return the part that the seats own, at the start and after the limit is lowered."""
        return self.most / 2 if self.floor is None else self.floor


class Planning(StrictStruct):
    """Planners and the limits that forwarders share."""

    planners: Annotated[int, Meta(ge=0, le=9)] = 0
    seats: Natural = 0  # 0: one per node
    lease_s: Positive = 1.0
    bounds: list[Bound] = []
    span_s: Amount = 0.0  # how long a verdict acts; 0: no verdicts


FAULTS = (
    'slow',
    'hung',
    'garbled',
    'halved',
    'extra',
    'crash',
    'vanish',
    'refuse',
    'drain',
    'replace',
    'deploy',
    'shrink',
    'cut',
    'delay',
    'resets',
    'dribble',
    'deaf',
    'kill',
    'term',
    'hup',
    'standstill',
    'clock',
    'step',
    'calls',
    'descriptors',
    'suspend',
    'away',
    'burst',
    'hot',
    'silence',
    'lag',
    'cut_watch',
    'half_line',
    'stale',
    'miss',
    'fetch_slow',
    'kill_planner',
    'stop_planner',
    'cut_planner',
    'late_planner',
    'part_planner',
    'planner_clock',
    'lower',
    'shift',
    'lie',
    'site_cut',
    'way_cut',
    'way_tear',
    'way_late',
    'way_thin',
    'way_reset',
    'way_refuse',
    'way_replay',
    'starve',
)
# Kind of target of each fault; faults without a target are not listed.
TARGETS = {
    'slow': 'cache',
    'hung': 'cache',
    'garbled': 'cache',
    'halved': 'cache',
    'extra': 'cache',
    'crash': 'cache',
    'vanish': 'cache',
    'suspend': 'cache',
    'away': 'node',
    'site_cut': 'cache',
    'refuse': 'cache',
    'drain': 'cache',
    'replace': 'cache',
    'resets': 'cache',
    'deaf': 'cache',
    'delay': 'cache',
    'cut': 'zone',
    'kill': 'node',
    'term': 'node',
    'hup': 'node',
    'standstill': 'node',
    'clock': 'node',
    'step': 'node',
    'calls': 'node',
    'descriptors': 'node',
    'dribble': 'node',
    'silence': 'node',
    'cut_watch': 'node',
    'half_line': 'node',
    'stale': 'node',
    'kill_planner': 'planner',
    'stop_planner': 'planner',
    'cut_planner': 'planner',
    'shift': 'node',
    'lie': 'node',
    'late_planner': 'planner',
    'part_planner': 'planner',
    'planner_clock': 'planner',
    **dict.fromkeys(
        ('way_cut', 'way_tear', 'way_late', 'way_thin', 'way_reset', 'way_refuse', 'way_replay', 'starve'),
        'node',
    ),
}


class Event(StrictStruct):
    """Injected fault. what: numbers of the target caches, nodes, zones or planners; empty: `count` random
    ones."""

    at_s: Amount
    kind: Literal[FAULTS]
    what: list[Natural] = []
    count: Annotated[int, Meta(ge=1, le=100_000)] = 1
    for_s: Amount = 5.0
    size: Annotated[float, Meta(ge=-3600, le=3600)] = (
        4.0  # meaning depends on the kind; negative for a step only
    )


class Scenario(StrictStruct):
    """Complete scenario."""

    name: Name
    about: str = ''
    seed: Natural = 1
    length_s: Annotated[float, Meta(gt=0, le=3600)] = 15.0
    nodes: Count = 2
    zones: Annotated[int, Meta(ge=1, le=50)] = 2
    kinds: Annotated[list[Kind], Meta(min_length=1)] = msgspec.field(default_factory=lambda: [Kind()])
    caches: Caches = msgspec.field(default_factory=Caches)
    origin: Origin = msgspec.field(default_factory=Origin)
    net: Net = msgspec.field(default_factory=Net)
    profiles: Annotated[list[Profile], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Profile(name='read')]
    )
    tenants: list[Tenant] = []
    load: Load = msgspec.field(default_factory=Load)
    clients: Clients = msgspec.field(default_factory=Clients)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    rules: Rules = msgspec.field(default_factory=Rules)
    prices: Prices = msgspec.field(default_factory=Prices)
    limits: Limits = msgspec.field(default_factory=Limits)
    planning: Planning = msgspec.field(default_factory=Planning)
    events: list[Event] = []

    @property
    def servers(self):
        """Return the number of cache servers at the start."""
        return sum(kind.count for kind in self.kinds)


def check(scenario):
    """Check what the schema cannot: duplicate names, unknown targets, times out of order."""
    names = [profile.name for profile in scenario.profiles]
    if len(set(names)) < len(names):
        raise BadScenario('profiles: duplicate name')
    if len({kind.name for kind in scenario.kinds}) < len(scenario.kinds):
        raise BadScenario('kinds: duplicate name')
    if any(kind.name == 'origin' for kind in scenario.kinds):
        raise BadScenario("kinds: the name 'origin' is reserved")
    for profile in scenario.profiles:
        if profile.goal_s > profile.limit_s:
            raise BadScenario('profiles: %s: goal_s is past its limit_s' % profile.name)
        if profile.write and profile.effect == 'free':
            raise BadScenario("profiles: %s: a write cannot have the effect 'free'" % profile.name)
    if scenario.discovery.lag_s[0] > scenario.discovery.lag_s[1]:
        raise BadScenario('discovery: lag_s: the lower bound is above the upper')
    if scenario.load.arrivals == 'replay' and scenario.load.replay_s != sorted(scenario.load.replay_s):
        raise BadScenario('load: replay_s is not sorted')
    most = {
        'cache': scenario.servers,
        'node': scenario.nodes,
        'zone': scenario.zones,
        'planner': scenario.planning.planners,
    }
    for index, event in enumerate(scenario.events):
        if event.size < 0 and event.kind != 'step' or event.size > 1000 and event.kind != 'step':
            raise BadScenario('events[%d]: size %g is out of range' % (index, event.size))
        target = TARGETS.get(event.kind)
        if event.what and target is None:
            raise BadScenario('events[%d]: %s has no target' % (index, event.kind))
        if target and any(number >= most[target] for number in event.what):
            raise BadScenario('events[%d]: no such %s: %s' % (index, target, event.what))
        if event.at_s > scenario.length_s:
            raise BadScenario('events[%d]: at_s is past the end of the run' % index)
    return scenario


def read(text, where='scenario'):
    """Parse a scenario. Raise BadScenario with a one-line message."""
    try:
        return check(msgspec.toml.decode(text, type=Scenario))
    except BadScenario as err:
        raise BadScenario('%s: %s' % (where, err)) from None
    except (msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise BadScenario('%s: %s' % (where, ' '.join(str(err).split()))) from None


def load(name):
    """Load a scenario from a path, or by the name of a shipped one."""
    path = Path(name)
    if not path.suffix and not path.is_file():
        path = FOLDER / (name + '.toml')
    try:
        return read(path.read_text(encoding='utf-8'), name)
    except (OSError, UnicodeDecodeError) as err:
        raise BadScenario('%s: %s' % (name, getattr(err, 'strerror', None) or err)) from None


def shipped_names():
    """Return the names of the shipped scenarios."""
    return sorted(path.stem for path in FOLDER.glob('*.toml'))


def plain(scenario):
    """Return the scenario as nested plain values."""
    return msgspec.to_builtins(scenario)


def write(scenario):
    """Return the scenario as TOML, without values equal to the defaults."""
    import tomli_w

    base, tree = plain(Scenario(name=scenario.name)), plain(scenario)
    kept = {
        key: value
        for key, value in tree.items()
        if key in ('name', 'profiles', 'kinds') or value != base[key]
    }
    for key, value in kept.items():
        if isinstance(value, dict):
            kept[key] = {name: part for name, part in value.items() if part != base[key][name]}
    return tomli_w.dumps(kept)
