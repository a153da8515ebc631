"""Turns the bench's JSON settings into the package's terms; names what is missing or out of form."""

import json

from ..terms import IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, Profile, SiteTerms, Tenant
from .values import BadLine, down, up

EFFECTS = {'free': IDEMPOTENT, 'guarded': JOURNALLED, 'single_shot': NON_IDEMPOTENT}


def _find(tree, path, kind):
    """The value at a dotted path, checked to be of a kind; a missing one is named."""
    value = tree
    for name in path.split('.'):
        if not isinstance(value, dict) or name not in value:
            raise BadLine('settings lack %s' % path)
        value = value[name]
    if isinstance(value, bool) is not (kind is bool) or not isinstance(value, kind):
        raise BadLine('settings: %s is out of form: %r' % (path, value))
    return value


def _choice(tree, path, known):
    """The value at a path, which must be one of the known words."""
    word = _find(tree, path, str)
    if word not in known:
        raise BadLine('settings: %s is unknown: %r' % (path, word))
    return word


def _profile(row):
    effect = EFFECTS[_choice(row, 'effect', EFFECTS)]
    kept = effect == JOURNALLED
    return Profile(_find(row, 'name', str), effect,
                   _choice(row, 'group', ('all', 'zone', 'cell')) if kept else 'all',
                   down(_find(row, 'repeatWindowS', (int, float))) if kept else 0,
                   down(_find(row, 'serviceGoalS', (int, float))),
                   _find(row, 'lateRevenue', (int, float)))


def _rows(tree, path, build):
    rows = _find(tree, path, list)
    return [build(row) for row in rows]


def decode(text):
    """The site's terms, this node's number, and the kind that marks the origin in lists."""
    try:
        tree = json.loads(text)
    except ValueError as err:
        raise BadLine('settings are not JSON: %s' % err) from None
    real = (int, float)
    may_return = _find(tree, 'limits.retryAfter', bool)
    terms = SiteTerms(
        profiles=_rows(tree, 'profiles', _profile),
        tenants=_rows(tree, 'tenants', lambda row: Tenant(_find(row, 'name', str),
                                                          _find(row, 'quotaPerS', real))),
        nodes=_find(tree, 'balancers', int),
        zone=_find(tree, 'zone', int),
        aside=_find(tree, 'kindOfService', str) == 'cache'
        and _choice(tree, 'familyInfo.mode', ('through', 'aside')) == 'aside',
        watched=_choice(tree, 'membershipMode', ('pushed', 'on_request')) == 'on_request',
        may_copy=_find(tree, 'limits.mayDuplicate', bool),
        may_cancel=_find(tree, 'limits.cancel', bool),
        max_hops=_find(tree, 'limits.maxHops', int),
        max_return=down(_find(tree, 'limits.maxRetryAfterS', real)) if may_return else 0,
        ask_within=down(_find(tree, 'safety.askWithinS', real)),
        fall_multiple=_find(tree, 'safety.fallMultiple', real),
        fall_window=up(_find(tree, 'safety.overloadForS', real)),
        cold_from=_find(tree, 'safety.coldFrom', real),
        warm_up=up(_find(tree, 'safety.warmUpS', real)),
        tick=up(_find(tree, 'tickS', real)),
        open_price=_find(tree, 'fees.handshake', real),
        keep_price=_find(tree, 'fees.connection', real))
    origin_kind = _find(tree, 'familyInfo.originKind', int) if terms.aside else -1
    return terms, _find(tree, 'rank', int), origin_kind
