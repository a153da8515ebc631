"""Reads what operators fix beforehand, for the bench's adapter and for the node on sockets alike.

Owns the form of the settings and of a node's own page (its name, addresses, limits). Names what is
missing or out of form and never fills it in by itself; decides nothing.
"""

import json
from ipaddress import ip_address

from .terms import IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, Profile, SiteTerms, Tenant
from .values import BadLine, down, up

REAL = (int, float)
EFFECTS = {'free': IDEMPOTENT, 'guarded': JOURNALLED, 'single_shot': NON_IDEMPOTENT}


def find(tree, path, kind):
    """The value at a dotted path, checked to be of a kind; a missing one is named."""
    value = tree
    for name in path.split('.'):
        if not isinstance(value, dict) or name not in value:
            raise BadLine('missing: %s' % path)
        value = value[name]
    if isinstance(value, bool) is not (kind is bool) or not isinstance(value, kind):
        raise BadLine('out of form: %s: %.200r' % (path, value))
    return value


def _choice(tree, path, known):
    """The value at a path, which must be one of the known words."""
    word = find(tree, path, str)
    if word not in known:
        raise BadLine('unknown: %s: %.200r' % (path, word))
    return word


def _profile(row):
    effect = EFFECTS[_choice(row, 'effect', EFFECTS)]
    kept = effect == JOURNALLED
    return Profile(
        find(row, 'name', str),
        effect,
        _choice(row, 'group', ('all', 'zone', 'cell')) if kept else 'all',
        down(find(row, 'repeatWindowS', REAL)) if kept else 0,
        down(find(row, 'serviceGoalS', REAL)),
        find(row, 'lateRevenue', REAL),
        down(find(row, 'hardLimitS', REAL)),
    )


def _rows(tree, path, build):
    rows = find(tree, path, list)
    return [build(row) for row in rows]


def _tree(text, what):
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as err:
        raise BadLine('%s not JSON: %s' % (what, err)) from None


def decode(text):
    """The site's terms, this node's number, and the kind that marks the origin in lists."""
    return decode_tree(_tree(text, 'settings are'))


def decode_tree(tree):
    """The same from settings that are parsed already."""
    may_return = find(tree, 'limits.retryAfter', bool)
    terms = SiteTerms(
        profiles=_rows(tree, 'profiles', _profile),
        tenants=_rows(
            tree, 'tenants', lambda row: Tenant(find(row, 'name', str), find(row, 'quotaPerS', REAL))
        ),
        nodes=find(tree, 'balancers', int),
        zone=find(tree, 'zone', int),
        aside=find(tree, 'kindOfService', str) == 'cache'
        and _choice(tree, 'familyInfo.mode', ('through', 'aside')) == 'aside',
        watched=_choice(tree, 'membershipMode', ('pushed', 'on_request')) == 'on_request',
        may_copy=find(tree, 'limits.mayDuplicate', bool),
        may_cancel=find(tree, 'limits.cancel', bool),
        max_hops=find(tree, 'limits.maxHops', int),
        max_return=down(find(tree, 'limits.maxRetryAfterS', REAL)) if may_return else 0,
        ask_within=down(find(tree, 'safety.askWithinS', REAL)),
        fall_multiple=find(tree, 'safety.fallMultiple', REAL),
        fall_window=up(find(tree, 'safety.overloadForS', REAL)),
        cold_from=find(tree, 'safety.coldFrom', REAL),
        warm_up=up(find(tree, 'safety.warmUpS', REAL)),
        tick=up(find(tree, 'tickS', REAL)),
        cross_price=find(tree, 'fees.crossZone', REAL),
        waste_price=find(tree, 'fees.waste', REAL),
    )
    if not terms.profiles or min(profile.goal for profile in terms.profiles) <= 0 or terms.nodes < 1:
        raise BadLine('settings: no profile, a goal of nothing, or no node')
    origin_kind = find(tree, 'familyInfo.originKind', int) if terms.aside else -1
    return terms, find(tree, 'rank', int), origin_kind


def shape(tree):
    """Refuse settings that mix the shapes of deployment: what is priced or used but, by another key, not
    there. Returns the zones' names with their numbers, as lists on sockets name zones."""
    zones = find(tree, 'dcs', list)
    if not zones or not all(isinstance(zone, str) for zone in zones) or len(set(zones)) < len(zones):
        raise BadLine('out of form: dcs: %.200r' % zones)
    probing, peers = find(tree, 'limits.probing', bool), find(tree, 'limits.peers', bool)
    how = _choice(tree, 'stats.how', ('inline', 'on_probe', 'off'))
    for key, mixed, why in (
        ('zone', not 0 <= find(tree, 'zone', int) < len(zones), 'no such zone in dcs'),
        ('rank', not 0 <= find(tree, 'rank', int) < find(tree, 'balancers', int), 'not under balancers'),
        ('fees.crossZone', len(zones) == 1 and find(tree, 'fees.crossZone', REAL) > 0, 'dcs has one zone'),
        ('fees.probe', not probing and find(tree, 'fees.probe', REAL) > 0, 'limits.probing is false'),
        ('stats.how', not probing and how == 'on_probe', 'limits.probing is false'),
        ('stats.fields', how == 'off' and find(tree, 'stats.fields', list) != [], 'stats.how is off'),
        ('fees.peer', not peers and find(tree, 'fees.peer', REAL) > 0, 'limits.peers is false'),
    ):
        if mixed:
            raise BadLine('settings mix two shapes: %s: %s' % (key, why))
    return {zone: number for number, zone in enumerate(zones)}


class Place:
    """What one node on sockets is told of itself. Addresses are pairs of a literal host and a port."""

    __slots__ = (
        'name',
        'listen',
        'discovery',
        'seed',
        'sockets',
        'known',
        'terms',
        'rank',
        'origin_kind',
        'idle',
        'connect_within',
        'stop_within',
        'memory',
        'operator',
        'zones',
        'installation',
    )

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given[name])


def address(text):
    """A literal address and a port; names are not looked up."""
    host, _, port = text.rpartition(':')
    host = host.strip('[]')
    try:
        ip_address(host)
        number = int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        raise BadLine('no literal address: %r' % text) from None
    if not 0 < number < 65_536:
        raise BadLine('no port: %r' % text)
    return host, number


def place(text):
    """A node's page: all it is told at its start."""
    tree = _tree(text, 'the config is')
    settings = find(tree, 'settings', dict)
    terms, rank, origin = decode_tree(settings)
    within = down(find(tree, 'settings.limits.connectTimeoutS', REAL))
    terms.tick += within  # a repeat may wait so long for its connection before it leaves
    kinds = find(tree, 'settings.kinds', list)
    seed = find(tree, 'seed', str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise BadLine('config: seed is out of form: %r' % seed) from None
    if origin >= len(kinds):
        raise BadLine('settings: familyInfo.originKind is no kind: %d' % origin)
    return Place(
        name=find(tree, 'name', str),
        listen=address(find(tree, 'listen', str)),
        discovery=address(find(tree, 'discovery', str)),
        seed=seed,
        sockets=find(tree, 'limits.sockets', int),
        known=find(tree, 'known', dict),
        terms=terms,
        rank=rank,
        origin_kind=kinds[origin] if origin >= 0 else None,
        idle=down(find(tree, 'settings.limits.connIdleS', REAL)),
        connect_within=within,
        stop_within=down(find(tree, 'settings.safety.stopSendingWithinS', REAL)),
        memory=find(tree, 'limits.memory_mb', int) << 20,
        operator=address(find(tree, 'operator', str)) if 'operator' in tree else None,
        zones=shape(settings),
        installation=find(tree, 'installation', str) if 'installation' in tree else None,
    )


def page(path):
    """The node's page at this path; whatever keeps it from being read is a BadLine."""
    try:
        with open(path, encoding='utf-8') as file:
            return place(file.read())
    except (OSError, UnicodeDecodeError) as err:
        raise BadLine(err) from None
