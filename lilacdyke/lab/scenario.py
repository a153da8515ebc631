"""Scenarios: what a run plays, as TOML, read strictly.

Owns the form of a scenario and the words of its errors. Times are named by their unit (_s, _ms); rates are a
second; shares are parts of one. Must never fill in what is wrong, nor know how a run is played.
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
    """A scenario that cannot be played; one line says why."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What all tables of a scenario have in common: an unknown key is an error."""


class Kind(StrictStruct):
    """Cache servers of one kind."""

    name: Name = 'std'
    count: Count = 4
    cores: Annotated[int, Meta(ge=1, le=256)] = 4
    speed: Positive = 1.0  # of a core; the yardstick is 1
    queue: Natural = 64  # transactions that wait, until one is declined
    keeps: Count = 100_000  # values
    connections: Count = 4_000  # that it holds open
    error_rate: Share = 0.0


class Caches(StrictStruct):
    """What all cache servers have in common."""

    mode: Literal['aside', 'through'] = 'aside'
    work_goes_on: bool = False  # after its transaction was cancelled
    ttl_s: Positive = 60.0
    warm_share: Share = 0.95  # of the keys that a server at its start of the run keeps, of its own
    miss_cost: Share = 0.1  # of a read's work
    idle_s: Positive = 15.0
    handshake_ms: Amount = 1.0  # work of a new connection
    down_s: Positive = 20.0  # how long one that fell over stays away
    pause_every_s: Amount = 0.0  # each stands still so often, for pause_ms
    pause_ms: Amount = 0.0
    tells: bool = True  # Srv-Cache on answers
    reports: bool = False  # Srv-Load on answers
    ahead: Share = 0.0  # answers with a 1xx before them
    give_ms: Amount = 0.0  # over which an answer of more than 64 KiB is given, piece by piece
    untold: Share = 0.0  # good answers without a length: half in chunks, half until the connection ends
    coalesce: bool = True  # a miss for a key that is being fetched is `pending`


class Origin(StrictStruct):
    """The origin behind all caches."""

    cores: Count = 8
    speed: Positive = 1.0
    work: Positive = 1.5  # of a fetch, in a read's work
    queue: Natural = 200
    fall_multiple: Positive = 2.5
    fall_s: Positive = 3.0
    down_s: Positive = 5.0


class Net(StrictStruct):
    """How long bytes travel, one way."""

    same_ms: Amount = 0.2
    cross_ms: Amount = 1.5
    client_ms: Amount = 0.8
    jitter: Share = 0.2


class Profile(StrictStruct):
    """One profile of transactions."""

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
    asks: Positive = 1.0  # how many times its share it asks for


class Load(StrictStruct):
    """What clients ask, whether it is answered or not."""

    rate: Positive = 100.0  # first tries a second
    arrivals: Literal['poisson', 'even', 'replay'] = 'poisson'
    replay_s: list[Amount] = []  # for replay: when each first try comes
    keys: Count = 2_000
    zipf: Amount = 1.0
    value_bytes: Annotated[int, Meta(ge=0, le=400_000)] = 200
    write_bytes: Annotated[int, Meta(ge=0, le=400_000)] = 100
    large_bytes: Annotated[int, Meta(ge=0, le=400_000)] = 0
    large_share: Share = 0.0  # of the keys, whose values are of large_bytes


class Clients(StrictStruct):
    """How clients behave."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 1
    wait_ms: Amount = 100.0  # before a retry, doubling; 0: at once
    try_share: Share = 0.6  # of the hard limit that a try is waited for
    honour: Share = 1.0  # of Retry-After
    leave: Share = 0.0  # tries whose client leaves early
    fresh: Share = 0.02  # tries on a connection of their own
    slow_read: Share = 0.0  # clients that read slowly
    rude: Amount = 0.0  # malformed or silent clients, a second
    notice_s: Amount = 2.0  # until the front finds that a node has died


class Discovery(StrictStruct):
    """Discovery."""

    mode: Literal['pushed', 'on_request'] = 'pushed'
    lag_s: Annotated[list[Amount], Meta(min_length=2, max_length=2)] = msgspec.field(
        default_factory=lambda: [0.3, 1.5]
    )
    beat_s: Positive = 2.0


class Rules(StrictStruct):
    """The figures of the four rules."""

    drain_grace_ms: Amount = 400.0
    fall_multiple: Positive = 4.0
    fall_s: Positive = 1.5
    cold_from: Share = 0.2
    warm_s: Positive = 15.0
    max_hops: Annotated[int, Meta(ge=1, le=20)] = 5
    may_copy: bool = True
    may_cancel: bool = True
    retry_after_s: Amount = 0.0  # 0: may not be told
    slack_ms: Amount = 50.0
    told_s: Positive = 6.0  # what discovery has to tell counts as told so late at most


class Prices(StrictStruct):
    """What service costs: points of 1."""

    handshake: Amount = 0.05
    connection: Amount = 0.0
    waste: Amount = 0.05
    whole: Share = 0.55
    worst: Share = 0.25
    profile: Share = 0.2


class Limits(StrictStruct):
    """What a node has."""

    memory_mb: Annotated[int, Meta(ge=16)] = 192
    sockets: Annotated[int, Meta(ge=40)] = 1024
    turn_us: Natural = 20  # simulated: what a turn of its loop costs, and each event
    event_us: Natural = 12


class Bound(StrictStruct, omit_defaults=True):
    """One limit of the whole fleet, as the fleet file has it (plan/limits.py)."""

    name: Name
    most: Positive
    what: Literal['requests', 'fetches', 'cold', 'tries', 'open', 'links'] = 'requests'
    floor: Amount | None = None
    profile: str | None = None

    @property
    def own(self):
        """What the seats own of it at the start, and whatever it is lowered to."""
        return self.most / 2 if self.floor is None else self.floor


class Planning(StrictStruct):
    """Planners, and the limits that forwarders share."""

    planners: Annotated[int, Meta(ge=0, le=9)] = 0
    seats: Natural = 0  # 0: one a node
    lease_s: Positive = 1.0
    bounds: list[Bound] = []
    span_s: Amount = 0.0  # for how long a verdict acts; 0: there are none


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
# What stands for the middle of the fault's target; a fault that takes none has no place in here.
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
    """One trouble. what: numbers of the caches, nodes or zones it meets; empty: drawn, `count` of them."""

    at_s: Amount
    kind: Literal[FAULTS]
    what: list[Natural] = []
    count: Annotated[int, Meta(ge=1, le=100_000)] = 1
    for_s: Amount = 5.0
    size: Annotated[float, Meta(ge=-3600, le=3600)] = 4.0  # below 0 for a step back only


class Scenario(StrictStruct):
    """A whole one."""

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
        """How many cache servers there are at the start."""
        return sum(kind.count for kind in self.kinds)


def check(scenario):
    """What types cannot tell: names twice, numbers of nobody, times out of order."""
    names = [profile.name for profile in scenario.profiles]
    if len(set(names)) < len(names):
        raise BadScenario('profiles: a name twice')
    if len({kind.name for kind in scenario.kinds}) < len(scenario.kinds):
        raise BadScenario('kinds: a name twice')
    if any(kind.name == 'origin' for kind in scenario.kinds):
        raise BadScenario("kinds: origin is the origin's name")
    for profile in scenario.profiles:
        if profile.goal_s > profile.limit_s:
            raise BadScenario('profiles: %s: its goal is past its limit' % profile.name)
        if profile.write and profile.effect == 'free':
            raise BadScenario('profiles: %s: a write is not free' % profile.name)
    if scenario.discovery.lag_s[0] > scenario.discovery.lag_s[1]:
        raise BadScenario('discovery: lag_s: the longer one first')
    if scenario.load.arrivals == 'replay' and scenario.load.replay_s != sorted(scenario.load.replay_s):
        raise BadScenario('load: replay_s out of order')
    most = {
        'cache': scenario.servers,
        'node': scenario.nodes,
        'zone': scenario.zones,
        'planner': scenario.planning.planners,
    }
    for index, event in enumerate(scenario.events):
        if event.size < 0 and event.kind != 'step' or event.size > 1000 and event.kind != 'step':
            raise BadScenario('events[%d]: size: %g' % (index, event.size))
        target = TARGETS.get(event.kind)
        if event.what and target is None:
            raise BadScenario('events[%d]: %s has no target' % (index, event.kind))
        if target and any(number >= most[target] for number in event.what):
            raise BadScenario('events[%d]: no such %s: %s' % (index, target, event.what))
        if event.at_s > scenario.length_s:
            raise BadScenario('events[%d]: at_s is past the end' % index)
    return scenario


def read(text, where='scenario'):
    """A scenario from its text; a BadScenario is one line."""
    try:
        return check(msgspec.toml.decode(text, type=Scenario))
    except BadScenario as err:
        raise BadScenario('%s: %s' % (where, err)) from None
    except (msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise BadScenario('%s: %s' % (where, ' '.join(str(err).split()))) from None


def load(name):
    """A scenario by its path, or by the name of one that ships with the lab."""
    path = Path(name)
    if not path.suffix and not path.is_file():
        path = FOLDER / (name + '.toml')
    try:
        return read(path.read_text(encoding='utf-8'), name)
    except (OSError, UnicodeDecodeError) as err:
        raise BadScenario('%s: %s' % (name, getattr(err, 'strerror', None) or err)) from None


def shipped_names():
    """The names of those that ship with the lab."""
    return sorted(path.stem for path in FOLDER.glob('*.toml'))


def plain(scenario):
    """As nested plain values."""
    return msgspec.to_builtins(scenario)


def write(scenario):
    """As TOML: only what differs from the defaults is worth a reader's time."""
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
