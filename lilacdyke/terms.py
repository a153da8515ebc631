"""What an operator fixes for a site before a router starts there: types only, no decisions.

Times are whole tenths of a millisecond (1 s is 10,000), as everywhere in the package.
"""

IDEMPOTENT = 'idempotent'
JOURNALLED = 'journalled'
NON_IDEMPOTENT = 'non-idempotent'


class Profile:
    """One row of the table of profiles: what the router must know of a kind of transaction."""

    __slots__ = ('name', 'effect', 'group', 'window', 'goal', 'late_revenue', 'hard')

    def __init__(self, name, effect, group, window, goal, late_revenue, hard=0):
        self.name = name
        self.effect = effect
        self.group = group  # 'all', 'zone' or 'cell': who drops a journalled repeat
        self.window = window  # and for how long after the first send
        self.goal = goal
        self.late_revenue = late_revenue
        self.hard = hard  # the hard limit: the most that a client waits in all


class Tenant:
    """One who shares the fleet, and the transactions a second, over all nodes, within its share."""

    __slots__ = ('name', 'quota')

    def __init__(self, name, quota):
        self.name = name
        self.quota = quota


class SiteTerms:
    """The terms a site gives its nodes: who asks, what is allowed, what must be kept.

    cross_price is due for one hop a transaction that crosses zones, waste_price for as much work wasted as
    asked for.
    """

    __slots__ = (
        'profiles',
        'tenants',
        'nodes',
        'zone',
        'aside',
        'watched',
        'may_copy',
        'may_cancel',
        'max_hops',
        'max_return',
        'ask_within',
        'fall_multiple',
        'fall_window',
        'cold_from',
        'warm_up',
        'tick',
        'cross_price',
        'waste_price',
    )

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given[name])
