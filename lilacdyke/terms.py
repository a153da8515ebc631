"""Types of the terms that an operator sets for a site before its routers start.

Times are integers in units of 0.1 ms (1 s is 10,000), as in the whole package.
"""

IDEMPOTENT = 'idempotent'
JOURNALLED = 'journalled'
NON_IDEMPOTENT = 'non-idempotent'


class Profile:
    """Profile of a kind of transaction: its effect, goal and limits."""

    __slots__ = ('name', 'effect', 'group', 'window', 'goal', 'late_revenue', 'hard_limit')

    def __init__(self, name, effect, group, window, goal, late_revenue, hard_limit=0):
        self.name = name
        self.effect = effect
        self.group = group  # 'all', 'zone' or 'cell': the servers among which journalled repeats are dropped
        self.window = window  # time after the first hop during which they are dropped
        self.goal = goal
        self.late_revenue = late_revenue
        self.hard_limit = hard_limit  # hard limit of a client's total wait


class Tenant:
    """A tenant of the fleet, and its quota in transactions per second over all nodes."""

    __slots__ = ('name', 'quota')

    def __init__(self, name, quota):
        self.name = name
        self.quota = quota


class SiteTerms:
    """Terms of a site for its nodes: profiles, tenants, permissions, limits and prices.

    cross_zone_fee is charged per transaction with one hop across zones, waste_fee per transaction whose work
    is wasted once.
    """

    __slots__ = (
        'profiles',
        'tenants',
        'nodes',
        'zone',
        'cache_aside',
        'list_on_request',
        'may_hedge',
        'may_cancel',
        'max_hops',
        'max_retry_after',
        'list_request_within',
        'fall_multiple',
        'overload_window',
        'cold_from',
        'warm_up_time',
        'tick',
        'cross_zone_fee',
        'waste_fee',
    )

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given[name])
