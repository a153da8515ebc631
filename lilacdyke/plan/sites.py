"""Capacity planning for the loss of whole sites: where load moves, how utilized the remaining sites and the
origin are, and what is refused first. Free of I/O.

Defines the tables under `loss` in the fleet file. The result is never more favourable than the model allows.

The model assumes that keys are assigned to servers by weighted rendezvous hashing: a lost server's keys
spread over the remaining servers in proportion to their capacity (`bears`), and no other key moves. Rates are
per second; work and `bears` are in requests of mean work.
"""

from itertools import combinations
from typing import Annotated

import msgspec
from msgspec import Meta

from ..values import InvalidValueError

Name = Annotated[str, Meta(min_length=1, max_length=60, pattern=r'^[A-Za-z0-9._-]+$')]
Rate = Annotated[float, Meta(ge=0, le=1e7)]
Positive = Annotated[float, Meta(gt=0, le=1e7)]
Share = Annotated[float, Meta(ge=0, le=1)]
MAX_SITES_IN_PAIRS = 12  # up to this many sites, each pair is evaluated as well


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all tables; an unknown key is an error."""


class Site(Part):
    """One site's servers: their number, and the capacity of each per second."""

    name: Name
    servers: Annotated[int, Meta(ge=1, le=10_000)]
    bears: Positive
    part: Share = 1.0  # of the fleet's clients that connect here, relative to other sites


class Class(Part):
    """One class of requests. hit: the hit ratio of a warm server; floor: the share of requests that is
    refused only if nothing else is left to refuse."""

    name: Name
    rate: Rate
    worth: Rate
    work: Positive = 1.0
    hit: Share = 0.0  # 0: writes, or reads that are never cached
    keys: Rate = 0.0  # distinct cached keys
    floor: Share = 0.0


class Origin(Part):
    """The origin: its capacity per second, and the site that it is located in, if any."""

    bears: Positive
    site: Name | None = None


class Expect(Part):
    """An expectation about a loss; `--check` fails if it is not met."""

    lost: list[Name]
    refused: dict[str, Share] = {}  # by class, the greatest share
    origin: Share | None = None  # its highest utilization
    fullest: Positive | None = None  # the highest utilization of a site
    borne: bool | None = None


class Loss(Part):
    """The model's whole input."""

    site: Annotated[list[Site], Meta(min_length=1)]
    classes: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(name='class')
    origin: Origin
    expect: list[Expect] = []
    cold_from: Share = 0.2  # share of its capacity that a cold server has at once
    warm_s: Positive = 20.0  # until a cold server has its full capacity


class ClassOutcome(Part):
    """One class under one loss: rates requested and refused, the worth refused, and its place in the order of
    refusal."""

    name: str
    asked: float
    refused: float
    worth: float
    place: int


class Outcome(Part):
    """The effects of a loss: share of keys and utilization by site, the origin's utilization at first and
    once moved keys are cached, what is refused, and how long the recovery takes (seconds)."""

    lost: list[str]
    keys: dict[str, float]
    full: dict[str, float]
    moved: float
    origin_first: float
    origin_later: float
    classes: list[ClassOutcome]
    worth_lost: float
    borne: bool
    return_s: float


def check(loss):
    """Return the input if it passes the checks that types cannot express; otherwise raise
    InvalidValueError."""
    names = [site.name for site in loss.site]
    if len(set(names)) < len(names):
        raise InvalidValueError('loss: site: duplicate name')
    if len({row.name for row in loss.classes}) < len(loss.classes):
        raise InvalidValueError('loss: class: duplicate name')
    if loss.origin.site is not None and loss.origin.site not in names:
        raise InvalidValueError('loss: origin: no site %s' % loss.origin.site)
    for row in loss.expect:
        unknown = [name for name in row.lost if name not in names] + [
            name for name in row.refused if name not in {class_row.name for class_row in loss.classes}
        ]
        if unknown:
            raise InvalidValueError('loss: expect: no %s' % unknown[0])
    return loss


def refusal_order(loss):
    """Return the classes in the order in which they are refused: by worth per work, including the work at the
    origin, lowest first; equal ones by name."""
    return sorted(loss.classes, key=lambda row: (row.worth / (row.work * (2 - row.hit)), row.name))


def outcome(loss, lost=()):
    """Return the effects of losing these sites; of normal operation if there are none."""
    left = [site for site in loss.site if site.name not in lost]
    bears = {site.name: site.servers * site.bears for site in loss.site}
    total, remaining = sum(bears.values()), sum(bears[site.name] for site in left)
    moved = 1 - remaining / total
    origin = 0.0 if loss.origin.site in lost else loss.origin.bears
    asked = {row.name: row.rate for row in loss.classes}
    # At first moved keys are not cached anywhere; the hit ratio recovers as they are fetched.
    served = served_rates(loss, asked, remaining, origin, moved)
    admitted = {row.name: served[row.name] for row in loss.classes}
    load = sum(admitted[row.name] * row.work for row in loss.classes)
    full = load / remaining if remaining else 0.0 if not load else float('inf')
    rows = [
        ClassOutcome(
            name=row.name,
            asked=row.rate,
            refused=row.rate - admitted[row.name],
            worth=(row.rate - admitted[row.name]) * row.worth,
            place=place,
        )
        for place, row in enumerate(refusal_order(loss), 1)
    ]
    borne = all(row.refused <= 1e-9 * max(1.0, row.asked) for row in rows)
    return Outcome(
        lost=sorted(lost),
        keys={site.name: bears[site.name] / remaining for site in left},
        full={site.name: full for site in left},
        moved=moved,
        origin_first=utilization(origin_load(loss, admitted, moved), origin),
        origin_later=utilization(origin_load(loss, admitted, 0.0), origin),
        classes=rows,
        worth_lost=sum(row.worth for row in rows),
        borne=borne,
        return_s=recovery_time(loss, lost),
    )


def utilization(load, bears):
    return load / bears if bears else (float('inf') if load else 0.0)


def origin_load(loss, admitted, moved):
    """Return the load on the origin while this share of all keys is not cached anywhere."""
    return sum(admitted[row.name] * (1 - row.hit * (1 - moved)) for row in loss.classes)


def served_rates(loss, asked, remaining, origin, moved):
    """Return the rates served by class. Classes are refused in order, down to their floors, until servers and
    origin can serve the rest; then the floors in the same order."""
    served = dict(asked)

    def overload():
        """Return the excess load on the servers, and on the origin."""
        return (
            sum(served[row.name] * row.work for row in loss.classes) - remaining,
            origin_load(loss, served, moved) - origin,
        )

    for floors in (True, False):
        for row in refusal_order(loss):
            server_excess, origin_excess = overload()
            if server_excess <= 1e-9 and origin_excess <= 1e-9:
                return served
            origin_share = 1 - row.hit * (1 - moved)
            needed = max(server_excess / row.work, origin_excess / origin_share if origin_share else 0.0)
            minimum = asked[row.name] * row.floor if floors else 0.0
            served[row.name] = max(minimum, served[row.name] - max(0.0, needed))
    return served


def recovery_time(loss, lost):
    """Return the seconds until returned sites have their keys again: the servers' warm-up time, or the time
    to fetch the missing keys with the origin's spare capacity if that is longer."""
    if not lost:
        return 0.0
    bears = sum(site.servers * site.bears for site in loss.site)
    share = sum(site.servers * site.bears for site in loss.site if site.name in lost) / bears
    usual = origin_load(loss, {row.name: row.rate for row in loss.classes}, 0.0)
    room = loss.origin.bears - usual
    fetched = share * sum(row.keys for row in loss.classes)
    if fetched and room <= 0:
        return float('inf')
    return max(loss.warm_s, fetched / room if fetched else 0.0)


def loss_cases(loss):
    """Return normal operation, the loss of each site, and of each pair if there are three or more sites."""
    names = [site.name for site in loss.site]
    found = [()] + [(name,) for name in names if len(names) > 1]
    if 2 < len(names) <= MAX_SITES_IN_PAIRS:
        found += list(combinations(names, 2))
    return found


def survives_any_single_loss(loss):
    """Return whether any single site may be lost with nothing refused (N+1)."""
    return len(loss.site) > 1 and all(outcome(loss, (site.name,)).borne for site in loss.site)


def failed_expectations(loss):
    """Return the expectations that are not met as [(expectation, actual value)]."""
    found = []
    for row in loss.expect:
        result = outcome(loss, tuple(row.lost))
        name = 'loss of %s' % (', '.join(row.lost) or 'nothing')
        for class_row in result.classes:
            part = class_row.refused / class_row.asked if class_row.asked else 0.0
            if class_row.name in row.refused and part > row.refused[class_row.name] + 1e-9:
                found.append(
                    (
                        '%s: %s refused at most %.1f%%'
                        % (name, class_row.name, 100 * row.refused[class_row.name]),
                        '%.1f%%' % (100 * part),
                    )
                )
        worst = max([*result.full.values(), 0.0])
        for what, most, value in (
            ('origin', row.origin, result.origin_first),
            ('fullest site', row.fullest, worst),
        ):
            if most is not None and value > most + 1e-9:
                found.append(('%s: %s under %.0f%%' % (name, what, 100 * most), '%.0f%%' % (100 * value)))
        if row.borne is not None and result.borne is not row.borne:
            found.append(
                (
                    '%s: %s' % (name, 'borne' if row.borne else 'not borne'),
                    'borne' if result.borne else 'not borne',
                )
            )
    return found
