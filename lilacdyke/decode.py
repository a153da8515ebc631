"""Parsing of the settings and of a node's configuration page, for nodes and for the simulator's adapter.

A missing or malformed key is named in the error and is never filled in with a default.
"""

import json
from ipaddress import ip_address

from .terms import IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, Profile, SiteTerms, Tenant
from .values import InvalidValueError, down, up

REAL = (int, float)
EFFECTS = {'free': IDEMPOTENT, 'guarded': JOURNALLED, 'single_shot': NON_IDEMPOTENT}


def find(tree, path, kind):
    """Return the value at a dotted path; raise InvalidValueError if it is missing or of another type."""
    value = tree
    for name in path.split('.'):
        if not isinstance(value, dict) or name not in value:
            raise InvalidValueError('missing: %s' % path)
        value = value[name]
    if isinstance(value, bool) is not (kind is bool) or not isinstance(value, kind):
        raise InvalidValueError('out of form: %s: %.200r' % (path, value))
    return value


def _choice(tree, path, known):
    """Return the word at a path; raise InvalidValueError unless it is one of the known ones."""
    word = find(tree, path, str)
    if word not in known:
        raise InvalidValueError('unknown: %s: %.200r' % (path, word))
    return word


def _profile(row):
    effect = EFFECTS[_choice(row, 'effect', EFFECTS)]
    journalled = effect == JOURNALLED
    return Profile(
        find(row, 'name', str),
        effect,
        _choice(row, 'group', ('all', 'zone', 'cell')) if journalled else 'all',
        down(find(row, 'repeatWindowS', REAL)) if journalled else 0,
        down(find(row, 'serviceGoalS', REAL)),
        find(row, 'lateRevenue', REAL),
        down(find(row, 'hardLimitS', REAL)),
    )


def _rows(tree, path, build):
    rows = find(tree, path, list)
    return [build(row) for row in rows]


def _parse_json(text, what):
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as err:
        raise InvalidValueError('%s not JSON: %s' % (what, err)) from None


def decode(text):
    """Parse settings; return the site's terms, the node's rank and the origin's kind in lists (-1: none)."""
    return decode_tree(_parse_json(text, 'settings are'))


def decode_tree(tree):
    """Return the same as decode(), from settings already parsed as JSON."""
    may_suggest = find(tree, 'limits.retryAfter', bool)
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
        may_hedge=find(tree, 'limits.mayDuplicate', bool),
        may_cancel=find(tree, 'limits.cancel', bool),
        max_hops=find(tree, 'limits.maxHops', int),
        max_retry_after=down(find(tree, 'limits.maxRetryAfterS', REAL)) if may_suggest else 0,
        list_request_within=down(find(tree, 'safety.askWithinS', REAL)),
        fall_multiple=find(tree, 'safety.fallMultiple', REAL),
        overload_window=up(find(tree, 'safety.overloadForS', REAL)),
        cold_from=find(tree, 'safety.coldFrom', REAL),
        warm_up_time=up(find(tree, 'safety.warmUpS', REAL)),
        tick=up(find(tree, 'tickS', REAL)),
        cross_zone_fee=find(tree, 'fees.crossZone', REAL),
        waste_fee=find(tree, 'fees.waste', REAL),
    )
    if not terms.profiles or min(profile.goal for profile in terms.profiles) <= 0 or terms.nodes < 1:
        raise InvalidValueError('settings: no profile, a goal of nothing, or no node')
    origin_kind = find(tree, 'familyInfo.originKind', int) if terms.aside else -1
    return terms, find(tree, 'rank', int), origin_kind


def validated_zones(tree):
    """Return the numbers of the zones by name; raise InvalidValueError if keys of the settings contradict
    each other, such as a fee for a feature that another key turns off."""
    zones = find(tree, 'dcs', list)
    if not zones or not all(isinstance(zone, str) for zone in zones) or len(set(zones)) < len(zones):
        raise InvalidValueError('out of form: dcs: %.200r' % zones)
    probing, peers = find(tree, 'limits.probing', bool), find(tree, 'limits.peers', bool)
    how = _choice(tree, 'stats.how', ('inline', 'on_probe', 'off'))
    for key, contradicts, why in (
        ('zone', not 0 <= find(tree, 'zone', int) < len(zones), 'no such zone in dcs'),
        ('rank', not 0 <= find(tree, 'rank', int) < find(tree, 'balancers', int), 'not under balancers'),
        ('fees.crossZone', len(zones) == 1 and find(tree, 'fees.crossZone', REAL) > 0, 'dcs has one zone'),
        ('fees.probe', not probing and find(tree, 'fees.probe', REAL) > 0, 'limits.probing is false'),
        ('stats.how', not probing and how == 'on_probe', 'limits.probing is false'),
        ('stats.fields', how == 'off' and find(tree, 'stats.fields', list) != [], 'stats.how is off'),
        ('fees.peer', not peers and find(tree, 'fees.peer', REAL) > 0, 'limits.peers is false'),
    ):
        if contradicts:
            raise InvalidValueError('settings mix two shapes: %s: %s' % (key, why))
    return {zone: number for number, zone in enumerate(zones)}


class NodeConfig:
    """Configuration of one node. Addresses are pairs of a literal IP address and a port."""

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
        'stop_sending_timeout',
        'memory',
        'operator',
        'zones',
        'installation',
    )

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given[name])


def address(text):
    """Parse a literal IP address and a port; host names are not resolved."""
    host, _, port = text.rpartition(':')
    host = host.strip('[]')
    try:
        ip_address(host)
        number = int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        raise InvalidValueError('no literal address: %r' % text) from None
    if not 0 < number < 65_536:
        raise InvalidValueError('no port: %r' % text)
    return host, number


def place(text):
    """Parse a node's configuration page."""
    tree = _parse_json(text, 'the config is')
    settings = find(tree, 'settings', dict)
    terms, rank, origin = decode_tree(settings)
    timeout = down(find(tree, 'settings.limits.connectTimeoutS', REAL))
    terms.tick += timeout  # a retry may wait this long for its connection before it is sent
    kinds = find(tree, 'settings.kinds', list)
    seed = find(tree, 'seed', str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise InvalidValueError('config: seed is out of form: %r' % seed) from None
    if origin >= len(kinds):
        raise InvalidValueError('settings: familyInfo.originKind is no kind: %d' % origin)
    return NodeConfig(
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
        connect_within=timeout,
        stop_sending_timeout=down(find(tree, 'settings.safety.stopSendingWithinS', REAL)),
        memory=find(tree, 'limits.memory_mb', int) << 20,
        operator=address(find(tree, 'operator', str)) if 'operator' in tree else None,
        zones=validated_zones(settings),
        installation=find(tree, 'installation', str) if 'installation' in tree else None,
    )


def page(path):
    """Read a node's configuration page from a file; raise InvalidValueError if that fails."""
    try:
        with open(path, encoding='utf-8') as file:
            return place(file.read())
    except (OSError, UnicodeDecodeError) as err:
        raise InvalidValueError(err) from None
