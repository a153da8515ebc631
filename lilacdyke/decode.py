"""Parsing of the settings and of a node's configuration page, for nodes and for the simulator's adapter.

A missing or malformed key is named in the error and is never filled in with a default.
"""

import json
from ipaddress import ip_address

from .terms import IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, Profile, SiteTerms, Tenant
from .values import InvalidValueError, to_ticks_ceil, to_ticks_floor

REAL = (int, float)
EFFECTS = {'free': IDEMPOTENT, 'guarded': JOURNALLED, 'single_shot': NON_IDEMPOTENT}


def get_setting(tree, path, kind):
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
    word = get_setting(tree, path, str)
    if word not in known:
        raise InvalidValueError('unknown: %s: %.200r' % (path, word))
    return word


def _profile(row):
    effect = EFFECTS[_choice(row, 'effect', EFFECTS)]
    journalled = effect == JOURNALLED
    return Profile(
        get_setting(row, 'name', str),
        effect,
        _choice(row, 'group', ('all', 'zone', 'cell')) if journalled else 'all',
        to_ticks_floor(get_setting(row, 'repeatWindowS', REAL)) if journalled else 0,
        to_ticks_floor(get_setting(row, 'serviceGoalS', REAL)),
        get_setting(row, 'lateRevenue', REAL),
        to_ticks_floor(get_setting(row, 'hardLimitS', REAL)),
    )


def _rows(tree, path, build):
    rows = get_setting(tree, path, list)
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
    may_suggest = get_setting(tree, 'limits.retryAfter', bool)
    terms = SiteTerms(
        profiles=_rows(tree, 'profiles', _profile),
        tenants=_rows(
            tree,
            'tenants',
            lambda row: Tenant(get_setting(row, 'name', str), get_setting(row, 'quotaPerS', REAL)),
        ),
        nodes=get_setting(tree, 'balancers', int),
        zone=get_setting(tree, 'zone', int),
        cache_aside=get_setting(tree, 'kindOfService', str) == 'cache'
        and _choice(tree, 'familyInfo.mode', ('through', 'aside')) == 'aside',
        list_on_request=_choice(tree, 'membershipMode', ('pushed', 'on_request')) == 'on_request',
        may_hedge=get_setting(tree, 'limits.mayDuplicate', bool),
        may_cancel=get_setting(tree, 'limits.cancel', bool),
        max_hops=get_setting(tree, 'limits.maxHops', int),
        max_retry_after=to_ticks_floor(get_setting(tree, 'limits.maxRetryAfterS', REAL))
        if may_suggest
        else 0,
        list_request_within=to_ticks_floor(get_setting(tree, 'safety.askWithinS', REAL)),
        fall_multiple=get_setting(tree, 'safety.fallMultiple', REAL),
        overload_window=to_ticks_ceil(get_setting(tree, 'safety.overloadForS', REAL)),
        cold_from=get_setting(tree, 'safety.coldFrom', REAL),
        warm_up_time=to_ticks_ceil(get_setting(tree, 'safety.warmUpS', REAL)),
        tick=to_ticks_ceil(get_setting(tree, 'tickS', REAL)),
        cross_zone_fee=get_setting(tree, 'fees.crossZone', REAL),
        waste_fee=get_setting(tree, 'fees.waste', REAL),
    )
    if not terms.profiles or min(profile.goal for profile in terms.profiles) <= 0 or terms.nodes < 1:
        raise InvalidValueError('settings: no profile, a goal of nothing, or no node')
    origin_kind = get_setting(tree, 'familyInfo.originKind', int) if terms.cache_aside else -1
    return terms, get_setting(tree, 'rank', int), origin_kind


def validated_zones(tree):
    """Return the numbers of the zones by name; raise InvalidValueError if keys of the settings contradict
    each other, such as a fee for a feature that another key turns off."""
    zones = get_setting(tree, 'dcs', list)
    if not zones or not all(isinstance(zone, str) for zone in zones) or len(set(zones)) < len(zones):
        raise InvalidValueError('out of form: dcs: %.200r' % zones)
    probing, peers = get_setting(tree, 'limits.probing', bool), get_setting(tree, 'limits.peers', bool)
    how = _choice(tree, 'stats.how', ('inline', 'on_probe', 'off'))
    for key, contradicts, why in (
        ('zone', not 0 <= get_setting(tree, 'zone', int) < len(zones), 'no such zone in dcs'),
        (
            'rank',
            not 0 <= get_setting(tree, 'rank', int) < get_setting(tree, 'balancers', int),
            'not under balancers',
        ),
        (
            'fees.crossZone',
            len(zones) == 1 and get_setting(tree, 'fees.crossZone', REAL) > 0,
            'dcs has one zone',
        ),
        ('fees.probe', not probing and get_setting(tree, 'fees.probe', REAL) > 0, 'limits.probing is false'),
        ('stats.how', not probing and how == 'on_probe', 'limits.probing is false'),
        ('stats.fields', how == 'off' and get_setting(tree, 'stats.fields', list) != [], 'stats.how is off'),
        ('fees.peer', not peers and get_setting(tree, 'fees.peer', REAL) > 0, 'limits.peers is false'),
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


def parse_address(text):
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


def parse_config(text):
    """Parse a node's configuration page."""
    tree = _parse_json(text, 'the config is')
    settings = get_setting(tree, 'settings', dict)
    terms, rank, origin = decode_tree(settings)
    timeout = to_ticks_floor(get_setting(tree, 'settings.limits.connectTimeoutS', REAL))
    terms.tick += timeout  # a retry may wait this long for its connection before it is sent
    kinds = get_setting(tree, 'settings.kinds', list)
    seed = get_setting(tree, 'seed', str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise InvalidValueError('config: seed is out of form: %r' % seed) from None
    if origin >= len(kinds):
        raise InvalidValueError('settings: familyInfo.originKind is no kind: %d' % origin)
    return NodeConfig(
        name=get_setting(tree, 'name', str),
        listen=parse_address(get_setting(tree, 'listen', str)),
        discovery=parse_address(get_setting(tree, 'discovery', str)),
        seed=seed,
        sockets=get_setting(tree, 'limits.sockets', int),
        known=get_setting(tree, 'known', dict),
        terms=terms,
        rank=rank,
        origin_kind=kinds[origin] if origin >= 0 else None,
        idle=to_ticks_floor(get_setting(tree, 'settings.limits.connIdleS', REAL)),
        connect_within=timeout,
        stop_sending_timeout=to_ticks_floor(get_setting(tree, 'settings.safety.stopSendingWithinS', REAL)),
        memory=get_setting(tree, 'limits.memory_mb', int) << 20,
        operator=parse_address(get_setting(tree, 'operator', str)) if 'operator' in tree else None,
        zones=validated_zones(settings),
        installation=get_setting(tree, 'installation', str) if 'installation' in tree else None,
    )


def read_config(path):
    """Read a node's configuration page from a file; raise InvalidValueError if that fails."""
    try:
        with open(path, encoding='utf-8') as file:
            return parse_config(file.read())
    except (OSError, UnicodeDecodeError) as err:
        raise InvalidValueError(err) from None
