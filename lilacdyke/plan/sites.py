"""The loss of sites, worked out before the day: where load goes, how full the rest and the origin are, what
is refused first. Pure.

Owns the arithmetic and the form of its part of the fleet file. Must never do I/O, or say that something is
borne that is not.

What it takes for given: keys go to servers by weighted rendezvous, so that a lost server's keys spread over
all that remain by what these bear, and keys that stay do not move. Rates are a second; work is in requests of
mean work, as `bears` is.
"""

from itertools import combinations
from typing import Annotated

import msgspec
from msgspec import Meta

from ..values import BadLine

Name = Annotated[str, Meta(min_length=1, max_length=60, pattern=r'^[A-Za-z0-9._-]+$')]
Rate = Annotated[float, Meta(ge=0, le=1e7)]
Positive = Annotated[float, Meta(gt=0, le=1e7)]
Share = Annotated[float, Meta(ge=0, le=1)]
SITES = 12  # that are looked at two by two


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What all tables have in common: an unknown key is an error."""


class Site(Part):
    """One site's servers: how many, and how much each bears a second."""

    name: Name
    servers: Annotated[int, Meta(ge=1, le=10_000)]
    bears: Positive
    part: Share = 1.0  # of the fleet's clients that come in here, beside others' parts


class Class(Part):
    """One class of requests. hit: of its reads, how many a warm server has; floor: the part that is refused
    only when nothing else is left to refuse."""

    name: Name
    rate: Rate
    worth: Rate
    work: Positive = 1.0
    hit: Share = 0.0  # 0: writes, or what is never kept
    keys: Rate = 0.0  # different ones that it asks for, which make up its hits
    floor: Share = 0.0


class Origin(Part):
    """The origin: what it bears a second, and the site that it is in, if in one."""

    bears: Positive
    site: Name | None = None


class Expect(Part):
    """What staff expect of a loss; what is not so fails `--check`."""

    lost: list[Name]
    refused: dict[str, Share] = {}  # by class, the most
    origin: Share | None = None  # how full it may be, at the most
    fullest: Positive | None = None  # how full a site may be
    borne: bool | None = None


class Loss(Part):
    """All of it."""

    site: Annotated[list[Site], Meta(min_length=1)]
    classes: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(name='class')
    origin: Origin
    expect: list[Expect] = []
    cold_from: Share = 0.2  # of what it bears that a cold server does at once
    warm_s: Positive = 20.0  # until it does all


class Row(Part):
    """One class under one loss: what is asked, refused, how much worth that is, and in which place of the
    order it is refused."""

    name: str
    asked: float
    refused: float
    worth: float
    place: int


class Outcome(Part):
    """What comes of a loss: shares of all keys and fullness by site, the origin's fullness at first and once
    moved keys are kept, what is refused, and how long the return takes (seconds)."""

    lost: list[str]
    keys: dict[str, float]
    full: dict[str, float]
    moved: float
    origin_first: float
    origin_later: float
    classes: list[Row]
    worth_lost: float
    borne: bool
    return_s: float


def check(loss):
    """What types cannot tell."""
    names = [site.name for site in loss.site]
    if len(set(names)) < len(names):
        raise BadLine('loss: site: a name twice')
    if len({row.name for row in loss.classes}) < len(loss.classes):
        raise BadLine('loss: class: a name twice')
    if loss.origin.site is not None and loss.origin.site not in names:
        raise BadLine('loss: origin: no site %s' % loss.origin.site)
    for row in loss.expect:
        unknown = [name for name in row.lost if name not in names] + [
            name for name in row.refused if name not in {made.name for made in loss.classes}
        ]
        if unknown:
            raise BadLine('loss: expect: no %s' % unknown[0])
    return loss


def order(loss):
    """Classes as they are refused, the first first: by what is earned for the work that it takes, its
    origin's part counted; by name where that is the same."""
    return sorted(loss.classes, key=lambda row: (row.worth / (row.work * (2 - row.hit)), row.name))


def outcome(loss, lost=()):
    """What comes of losing these sites; none: the usual day."""
    left = [site for site in loss.site if site.name not in lost]
    bears = {site.name: site.servers * site.bears for site in loss.site}
    total, rest = sum(bears.values()), sum(bears[site.name] for site in left)
    moved = 1 - rest / total
    origin = 0.0 if loss.origin.site in lost else loss.origin.bears
    asked = {row.name: row.rate for row in loss.classes}
    # At first what has moved is kept nowhere; hits come back as it is fetched.
    served = refuse(loss, asked, rest, origin, moved)
    through = {row.name: served[row.name] for row in loss.classes}
    load = sum(through[row.name] * row.work for row in loss.classes)
    full = load / rest if rest else 0.0 if not load else float('inf')
    rows = [
        Row(
            name=row.name,
            asked=row.rate,
            refused=row.rate - through[row.name],
            worth=(row.rate - through[row.name]) * row.worth,
            place=place,
        )
        for place, row in enumerate(order(loss), 1)
    ]
    borne = all(row.refused <= 1e-9 * max(1.0, row.asked) for row in rows)
    return Outcome(
        lost=sorted(lost),
        keys={site.name: bears[site.name] / rest for site in left},
        full={site.name: full for site in left},
        moved=moved,
        origin_first=fullness(at_origin(loss, through, moved), origin),
        origin_later=fullness(at_origin(loss, through, 0.0), origin),
        classes=rows,
        worth_lost=sum(row.worth for row in rows),
        borne=borne,
        return_s=returning(loss, lost),
    )


def fullness(load, bears):
    return load / bears if bears else (float('inf') if load else 0.0)


def at_origin(loss, through, moved):
    """What the origin gets, while so much of all keys is kept nowhere."""
    return sum(through[row.name] * (1 - row.hit * (1 - moved)) for row in loss.classes)


def refuse(loss, asked, rest, origin, moved):
    """By class what is served: whole classes give way in order, down to their floors, until servers and
    origin bear the rest; then floors in the same order."""
    served = dict(asked)

    def over():
        """How much work is too much at servers, and at the origin."""
        return (
            sum(served[row.name] * row.work for row in loss.classes) - rest,
            at_origin(loss, served, moved) - origin,
        )

    for floors in (True, False):
        for row in order(loss):
            at_servers, there = over()
            if at_servers <= 1e-9 and there <= 1e-9:
                return served
            each = 1 - row.hit * (1 - moved)
            needed = max(at_servers / row.work, there / each if each else 0.0)
            least = asked[row.name] * row.floor if floors else 0.0
            served[row.name] = max(least, served[row.name] - max(0.0, needed))
    return served


def returning(loss, lost):
    """Seconds until the sites have their keys again: as long as their servers warm up, and as the origin's
    room lets what they lack be fetched."""
    if not lost:
        return 0.0
    bears = sum(site.servers * site.bears for site in loss.site)
    share = sum(site.servers * site.bears for site in loss.site if site.name in lost) / bears
    usual = at_origin(loss, {row.name: row.rate for row in loss.classes}, 0.0)
    room = loss.origin.bears - usual
    fetched = share * sum(row.keys for row in loss.classes)
    if fetched and room <= 0:
        return float('inf')
    return max(loss.warm_s, fetched / room if fetched else 0.0)


def losses(loss):
    """The usual day, each site alone, and each two where there are three or more."""
    names = [site.name for site in loss.site]
    found = [()] + [(name,) for name in names if len(names) > 1]
    if 2 < len(names) <= SITES:
        found += list(combinations(names, 2))
    return found


def spare(loss):
    """Whether any one site may be lost with nothing refused: N+1."""
    return len(loss.site) > 1 and all(outcome(loss, (site.name,)).borne for site in loss.site)


def failing(loss):
    """Expectations that are not so: [(expectation, what is)]."""
    found = []
    for row in loss.expect:
        told = outcome(loss, tuple(row.lost))
        name = 'loss of %s' % (', '.join(row.lost) or 'nothing')
        for made in told.classes:
            part = made.refused / made.asked if made.asked else 0.0
            if made.name in row.refused and part > row.refused[made.name] + 1e-9:
                found.append(
                    (
                        '%s: %s refused at most %.1f%%' % (name, made.name, 100 * row.refused[made.name]),
                        '%.1f%%' % (100 * part),
                    )
                )
        worst = max([*told.full.values(), 0.0])
        for what, most, value in (
            ('origin', row.origin, told.origin_first),
            ('fullest site', row.fullest, worst),
        ):
            if most is not None and value > most + 1e-9:
                found.append(('%s: %s under %.0f%%' % (name, what, 100 * most), '%.0f%%' % (100 * value)))
        if row.borne is not None and told.borne is not row.borne:
            found.append(
                (
                    '%s: %s' % (name, 'borne' if row.borne else 'not borne'),
                    'borne' if told.borne else 'not borne',
                )
            )
    return found
