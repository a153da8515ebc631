"""The fleet file, and how it divides each limit among seats and planners.

Owns the schema of that file and the arithmetic of parts: the floor of each limit is divided evenly among the
seats, and the rest evenly among the planners. The parts never add up to more than the limit. Must never do
I/O beyond reading that file.

Amounts are in grains: GRAINS_PER_UNIT grains are one request per second, one open request or one connection.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..decode import parse_address as decode_address
from ..values import InvalidValueError, to_ticks_floor
from .ledger import Budgets, max_elapsed
from .sites import Loss, Name, Part
from .sites import check as check_loss

GRAINS_PER_UNIT = 1_000
Amount = Annotated[float, Meta(gt=0, le=1e7)]
CONCURRENT = ('open', 'links')  # limits on a number at a time, not on a rate
PER_SERVER = ('cold', 'links', 'tries')  # limits that apply to each server separately
VERDICT_SPAN_LEASES = 3  # default duration of a verdict, in leases
FORWARDERS_PER_SEAT = 3  # concurrent links: of a process, its successor, and one that was stopped


class PlannerRow(Part):
    """A planner: its name, and the literal address at which this process reaches it."""

    name: Name
    address: str


class Limit(Part):
    """A limit that applies to the fleet as a whole.

    what: `requests` (of one class, or of all), `fetches` (hops to the origin), `cold` (hops to each cold
    server) and `tries` (hops to each server that the fleet considers down) are per second; `open` (requests
    of one class, or of all) and `links` (connections to each server) are at a time.
    """

    name: Name
    what: Literal['requests', 'fetches', 'cold', 'tries', 'open', 'links']
    most: Amount
    floor: Annotated[float, Meta(ge=0, le=1e7)] | None = (
        None  # owned by the seats; half of the limit by default
    )
    profile: Annotated[str, Meta(min_length=1)] | None = msgspec.field(default=None, name='class')
    answer: Literal[429, 503] = 429

    @property
    def concurrent(self):
        return self.what in CONCURRENT

    def in_grains(self):
        """Return (the limit, the part of it that the seats own)."""
        most = to_ticks_floor(self.most) * GRAINS_PER_UNIT // to_ticks_floor(1)
        floor = (
            most // 2
            if self.floor is None
            else to_ticks_floor(self.floor) * GRAINS_PER_UNIT // to_ticks_floor(1)
        )
        return (
            (most // GRAINS_PER_UNIT * GRAINS_PER_UNIT, floor // GRAINS_PER_UNIT * GRAINS_PER_UNIT)
            if self.concurrent
            else (most, floor)
        )


class Verdicts(Part):
    """Settings of verdicts on servers; the table enables them. span_s: how long a verdict applies after its
    newest evidence, three leases by default."""

    span_s: Annotated[float, Meta(ge=0.3, le=300)] | None = None


class Tasks(Part):
    """Settings of task leases; the table enables them. lease_s: duration of a lease; voters: names of
    planners, all by default; folder: where a voter keeps its file."""

    folder: Annotated[str, Meta(min_length=1)]
    lease_s: Annotated[float, Meta(ge=0.2, le=300)] = 5.0
    voters: Annotated[list[Name], Meta(min_length=1, max_length=9)] | None = None


class Fleet(Part):
    """The fleet file."""

    enabled: bool
    installation: Name
    seats: Annotated[int, Meta(ge=1, le=4_096)]
    planner: Annotated[list[PlannerRow], Meta(min_length=1, max_length=9)]
    limit: list[Limit] = []
    verdicts: Verdicts | None = None
    tasks: Tasks | None = None
    loss: Loss | None = None  # input of `lilacdyke site plan` only
    edition: Annotated[int, Meta(ge=1, le=1 << 31)] = 1
    lease_s: Annotated[float, Meta(ge=0.2, le=60)] = 2.0
    longest_s: Annotated[float, Meta(gt=0, le=60)] = 3.0  # the longest time for which a request is open

    @property
    def lease(self):
        return to_ticks_floor(self.lease_s)

    @property
    def deposit_term(self):
        """Return the duration of a deposit, which has to outlast leases made from it by any clock."""
        return 2 * max_elapsed(self.lease)

    @property
    def span(self):
        """Return the duration of a verdict in ticks, or None without verdicts."""
        if self.verdicts is None:
            return None
        return (
            to_ticks_floor(self.verdicts.span_s)
            if self.verdicts.span_s is not None
            else VERDICT_SPAN_LEASES * self.lease
        )

    @property
    def task_lease(self):
        return to_ticks_floor(self.tasks.lease_s)

    @property
    def voters(self):
        """Return the names of the planners that vote."""
        return self.tasks.voters or [row.name for row in self.planner]

    def lease_tails(self):
        """Return how long what began under a lease may stay open beyond it: the longest duration of a
        request, plus half a lease until surplus connections are closed."""
        return Budgets(
            {
                limit.name: to_ticks_floor(self.longest_s) + self.lease // 2
                for limit in self.limit
                if limit.concurrent
            }
        )

    def mosts(self):
        """Return the limits in grains by name. Operators may change them at runtime."""
        return {limit.name: limit.in_grains()[0] for limit in self.limit}

    def units(self):
        """Return the granularity of amounts, by name of limit."""
        return Budgets({limit.name: GRAINS_PER_UNIT for limit in self.limit if limit.concurrent})

    def seat_parts(self, seat):
        """Return the part of each limit that a seat owns; none for a seat that is None or out of range."""
        if seat is None or not 0 <= seat < self.seats:
            return Budgets()
        return Budgets(
            {
                limit.name: even_share(limit.in_grains()[1], self.seats, seat, limit.concurrent)
                for limit in self.limit
            }
        )

    def heir_part(self, parts):
        """Return the part of a seat's budget that a process passes to its successor while both run. The rest
        covers all deposits."""
        return Budgets(
            {key: amount // 2 - amount // 2 % (self.units()[key] or 1) for key, amount in parts.items()}
        )

    def planner_budget(self, index, mosts):
        """Return the part of each limit that a planner owns, for the given limits."""
        return Budgets(
            {
                limit.name: even_share(
                    max(0, mosts[limit.name] - limit.in_grains()[1]),
                    len(self.planner),
                    index,
                    limit.concurrent,
                )
                for limit in self.limit
            }
        )

    def accepts_limits(self, mosts):
        """Return whether these limits may be adopted: the same names, none of them below the part that the
        seats own."""
        return mosts.keys() == self.mosts().keys() and all(
            mosts[limit.name] >= limit.in_grains()[1]
            and not (limit.concurrent and mosts[limit.name] % GRAINS_PER_UNIT)
            for limit in self.limit
        )


def even_share(amount, holders, index, whole_units):
    """Return one of `holders` equal parts. In whole units, the first parts get the remainder."""
    if not whole_units:
        return amount // holders
    units = amount // GRAINS_PER_UNIT
    return (units // holders + (index < units % holders)) * GRAINS_PER_UNIT


def address(text):
    """Parse a literal address and a port. Return them as a pair."""
    try:
        return decode_address(text)
    except InvalidValueError as err:
        raise InvalidValueError('planner: %s' % err) from None


def check(fleet):
    """Check what the types do not express. Return the fleet, or raise InvalidValueError."""
    for what, names in (
        ('limit', [limit.name for limit in fleet.limit]),
        ('planner', [row.name for row in fleet.planner]),
    ):
        if len(set(names)) < len(names):
            raise InvalidValueError('%s: duplicate name' % what)
    for limit in fleet.limit:
        most, floor = limit.in_grains()
        if not 0 <= floor <= most:
            raise InvalidValueError('limit %s: floor: greater than most' % limit.name)
        if limit.profile is not None and limit.what not in ('requests', 'open'):
            raise InvalidValueError('limit %s: class: not allowed with what = %s' % (limit.name, limit.what))
        if limit.concurrent and most < GRAINS_PER_UNIT:
            raise InvalidValueError('limit %s: most: less than one' % limit.name)
        if limit.what == 'tries' and fleet.verdicts is None:
            raise InvalidValueError('limit %s: tries: requires the table verdicts' % limit.name)
    for row in fleet.planner:
        address(row.address)
    if fleet.loss is not None:
        check_loss(fleet.loss)
    if fleet.tasks is not None:
        names = [row.name for row in fleet.planner]
        if len(set(fleet.voters)) < len(fleet.voters) or set(fleet.voters) - set(names):
            raise InvalidValueError('tasks: voters: must be distinct names of planners')
    if fleet.span is not None and fleet.span < 2 * fleet.lease:
        raise InvalidValueError('verdicts: span_s: less than two leases')
    return fleet


def read(path):
    """Read the fleet file at this path. Raise InvalidValueError, which names the key, if it is invalid."""
    try:
        with open(path, 'rb') as file:
            return check(msgspec.toml.decode(file.read(), type=Fleet))
    except (msgspec.MsgspecError, OSError, ValueError, RecursionError) as err:
        raise InvalidValueError(' '.join(str(err).split())) from None


def require_enabled(fleet, installation):
    """Return the fleet. Raise InvalidValueError unless it is enabled and names this installation."""
    if not fleet.enabled:
        raise InvalidValueError('enabled: is false')
    if installation != fleet.installation:
        raise InvalidValueError(
            'installation: %s here, %s in the page' % (fleet.installation, installation or 'none')
        )
    return fleet
