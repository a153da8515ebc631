"""What the operators' fleet file says, and how each limit is cut: whose part is whose, before anybody lends.

Owns the form of that file and the arithmetic of parts: of each limit the seats own the floor, in even parts,
and the planners the rest, in even parts. All parts together are the limit, never more. Must never do I/O
beyond reading the one file.

A part is in grains, GRAIN of them one request a second, one open request or one connection.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..decode import address as literal
from ..values import BadLine, down
from .ledger import Parts, longer
from .sites import Loss, Name, Part
from .sites import check as check_loss

GRAIN = 1_000
Amount = Annotated[float, Meta(gt=0, le=1e7)]
OPEN = ('open', 'links')  # what is spent by being there, not by coming
SERVERS = ('cold', 'links', 'tries')  # one limit for each server
SPAN = 3  # leases that a verdict acts for, unless the file says otherwise
FORWARDERS_PER_SEAT = 3  # processes that may have a link at once: one, its heir, and what a stopped one left


class PlannerRow(Part):
    """One planner: its name, and the literal address at which this process reaches it."""

    name: Name
    address: str


class Limit(Part):
    """One limit of the whole fleet. what: requests (of a class, or of all), fetches (hops at the origin),
    cold (hops at each server that is cold) a second, tries (hops at each that the fleet holds to be out) a
    second; open (requests, of a class or of all), links (connections at each server) at once."""

    name: Name
    what: Literal['requests', 'fetches', 'cold', 'tries', 'open', 'links']
    most: Amount
    floor: Annotated[float, Meta(ge=0, le=1e7)] | None = None  # of it the seats' own; a half
    profile: Annotated[str, Meta(min_length=1)] | None = msgspec.field(default=None, name='class')
    answer: Literal[429, 503] = 429

    @property
    def at_once(self):
        return self.what in OPEN

    def grains(self):
        """(all of it, the seats' own)."""
        most = down(self.most) * GRAIN // down(1)
        floor = most // 2 if self.floor is None else down(self.floor) * GRAIN // down(1)
        return (most // GRAIN * GRAIN, floor // GRAIN * GRAIN) if self.at_once else (most, floor)


class Verdicts(Part):
    """Verdicts on servers, where this table is there. span_s: S, for how long one acts after its newest
    evidence; three leases."""

    span_s: Annotated[float, Meta(ge=0.3, le=300)] | None = None


class Tasks(Part):
    """Leases for tasks, where this table is there. lease_s: how long one is; voters: names of planners, all
    of them if it is not given; folder: where a voter keeps its file of numbers."""

    folder: Annotated[str, Meta(min_length=1)]
    lease_s: Annotated[float, Meta(ge=0.2, le=300)] = 5.0
    voters: Annotated[list[Name], Meta(min_length=1, max_length=9)] | None = None


class Fleet(Part):
    """The whole file."""

    enabled: bool
    installation: Name
    seats: Annotated[int, Meta(ge=1, le=4_096)]
    planner: Annotated[list[PlannerRow], Meta(min_length=1, max_length=9)]
    limit: list[Limit] = []
    verdicts: Verdicts | None = None
    tasks: Tasks | None = None
    loss: Loss | None = None  # what `lilacdyke site plan` works with; nothing that runs reads it
    edition: Annotated[int, Meta(ge=1, le=1 << 31)] = 1
    lease_s: Annotated[float, Meta(ge=0.2, le=60)] = 2.0
    longest_s: Annotated[float, Meta(gt=0, le=60)] = 3.0  # the longest that a request is open

    @property
    def lease(self):
        return down(self.lease_s)

    @property
    def gift(self):
        """How long what was given is not called back: what is lent from it has to run out, in anybody's
        clock."""
        return 2 * longer(self.lease)

    @property
    def span(self):
        """S; None where there are no verdicts."""
        if self.verdicts is None:
            return None
        return down(self.verdicts.span_s) if self.verdicts.span_s is not None else SPAN * self.lease

    @property
    def task_lease(self):
        return down(self.tasks.lease_s)

    @property
    def voters(self):
        """Names of those that vote."""
        return self.tasks.voters or [row.name for row in self.planner]

    def tails(self):
        """How long what began under a lease may stay open beyond it: a request for its longest, and a
        connection until it is looked at after that."""
        return Parts(
            {limit.name: down(self.longest_s) + self.lease // 2 for limit in self.limit if limit.at_once}
        )

    def mosts(self):
        """What operators may change while all runs: all of each limit, by its name."""
        return {limit.name: limit.grains()[0] for limit in self.limit}

    def units(self):
        """What an amount must be a multiple of."""
        return Parts({limit.name: GRAIN for limit in self.limit if limit.at_once})

    def seat_parts(self, seat):
        """What a seat owns; None, or one that the file does not have, owns nothing."""
        if seat is None or not 0 <= seat < self.seats:
            return Parts()
        return Parts(
            {limit.name: even(limit.grains()[1], self.seats, seat, limit.at_once) for limit in self.limit}
        )

    def half(self, parts):
        """Of a seat's parts those that a process leaves to its heir while both live; the rest answers for all
        gifts."""
        return Parts(
            {key: amount // 2 - amount // 2 % (self.units()[key] or 1) for key, amount in parts.items()}
        )

    def planner_parts(self, index, mosts):
        """What a planner owns of each limit, with these in force."""
        return Parts(
            {
                limit.name: even(
                    max(0, mosts[limit.name] - limit.grains()[1]), len(self.planner), index, limit.at_once
                )
                for limit in self.limit
            }
        )

    def fits(self, mosts):
        """Whether these can be in force: the limits' names, none under what the seats own without being
        told."""
        return mosts.keys() == self.mosts().keys() and all(
            mosts[limit.name] >= limit.grains()[1] and not (limit.at_once and mosts[limit.name] % GRAIN)
            for limit in self.limit
        )


def even(amount, holders, index, whole):
    """One of so many even parts; in whole units the first few have one more, and the sum is the amount."""
    if not whole:
        return amount // holders
    units = amount // GRAIN
    return (units // holders + (index < units % holders)) * GRAIN


def address(text):
    """A literal address and a port, as a pair."""
    try:
        return literal(text)
    except BadLine as err:
        raise BadLine('planner: %s' % err) from None


def check(fleet):
    """What types cannot tell."""
    for what, names in (
        ('limit', [limit.name for limit in fleet.limit]),
        ('planner', [row.name for row in fleet.planner]),
    ):
        if len(set(names)) < len(names):
            raise BadLine('%s: a name twice' % what)
    for limit in fleet.limit:
        most, floor = limit.grains()
        if not 0 <= floor <= most:
            raise BadLine('limit %s: floor: over most' % limit.name)
        if limit.profile is not None and limit.what not in ('requests', 'open'):
            raise BadLine('limit %s: class: %s have none' % (limit.name, limit.what))
        if limit.at_once and most < GRAIN:
            raise BadLine('limit %s: most: under one' % limit.name)
        if limit.what == 'tries' and fleet.verdicts is None:
            raise BadLine('limit %s: tries: there are no verdicts' % limit.name)
    for row in fleet.planner:
        address(row.address)
    if fleet.loss is not None:
        check_loss(fleet.loss)
    if fleet.tasks is not None:
        names = [row.name for row in fleet.planner]
        if len(set(fleet.voters)) < len(fleet.voters) or set(fleet.voters) - set(names):
            raise BadLine('tasks: voters: each the name of one planner')
    if fleet.span is not None and fleet.span < 2 * fleet.lease:
        raise BadLine('verdicts: span_s: under two leases')
    return fleet


def read(path):
    """The fleet file at this path; whatever is wrong with it is a BadLine that names the key."""
    try:
        with open(path, 'rb') as file:
            return check(msgspec.toml.decode(file.read(), type=Fleet))
    except (msgspec.MsgspecError, OSError, ValueError, RecursionError) as err:
        raise BadLine(' '.join(str(err).split())) from None


def enabled(fleet, installation):
    """Refuse what was not turned on, here and by name: nobody turns it on by accident."""
    if not fleet.enabled:
        raise BadLine('enabled: is false')
    if installation != fleet.installation:
        raise BadLine('installation: %s here, %s in the page' % (fleet.installation, installation or 'none'))
    return fleet
