"""`lilacdyke site plan`: what the loss of a site would mean, as a table, as JSON, or as a plot.

Owns what is printed and the exit codes: 0 all as expected, 1 an expectation fails (with --check), 2 wrong
words.
"""

import sys

import click
import msgspec

from . import sites
from .staff import fleet_file, wrong


@click.group()
def site():
    """The loss of a whole site, worked out before the day."""


def percent(value):
    return 'over all' if value == float('inf') else '%.0f%%' % (100 * value)


def lines(told):
    """One outcome, as lines."""
    yield 'lost: %s' % (', '.join(told.lost) or 'nothing')
    yield '  keys that move: %s; %s' % (
        percent(told.moved),
        '; '.join(
            '%s has %s of all, %s full' % (name, percent(share), percent(told.full[name]))
            for name, share in told.keys.items()
        )
        or 'nothing is left',
    )
    yield '  origin: %s full at first, %s once moved keys are kept' % (
        percent(told.origin_first),
        percent(told.origin_later),
    )
    for row in sorted(told.classes, key=lambda row: row.place):
        yield '  %d. %-24s asked %8.1f, refused %8.1f a second (%s), worth lost %8.1f a second' % (
            row.place,
            row.name,
            row.asked,
            row.refused,
            percent(row.refused / row.asked if row.asked else 0.0),
            row.worth,
        )
    yield '  %s; worth lost %.1f a second; the return takes %s' % (
        'all is borne' if told.borne else 'not all is borne',
        told.worth_lost,
        'for ever: the origin has no room' if told.return_s == float('inf') else '%.0f s' % told.return_s,
    )


@site.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option(
    '--lost',
    multiple=True,
    help='A site that is lost; more than one may be. By default all of one, and all of two.',
)
@click.option('--json', 'as_json', is_flag=True)
@click.option('--check', 'checked', is_flag=True, help='Exit 1 if an expectation of the file fails.')
@click.option('--plot', type=click.Path(dir_okay=False), help='A PNG of how full sites and the origin are.')
def plan(path, lost, as_json, checked, plot):
    """Where load goes, what is refused first, and how long the return takes."""
    loss = fleet_file(path, 'loss').loss
    unknown = set(lost) - {row.name for row in loss.site}
    if unknown:
        wrong(path, 'loss: no site %s' % sorted(unknown)[0])
    found = (
        [sites.outcome(loss, tuple(lost))]
        if lost
        else [sites.outcome(loss, some) for some in sites.losses(loss)]
    )
    if as_json:
        click.echo(
            msgspec.json.encode(
                [
                    {
                        key: None if value == float('inf') else value
                        for key, value in msgspec.to_builtins(told).items()
                    }
                    for told in found
                ]
            ).decode()
        )
    else:
        for told in found:
            click.echo('\n'.join(lines(told)))
        click.echo(
            'any one site may be lost with nothing refused: %s' % ('yes' if sites.spare(loss) else 'no')
        )
    if plot:
        draw(found, plot)
    failing = sites.failing(loss) if checked else []
    for expected, so in failing:
        click.echo('not so: %s (it is %s)' % (expected, so), err=as_json)
    sys.exit(1 if failing else 0)


def draw(found, path):
    """How full each site and the origin are, loss by loss."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    names = sorted({name for told in found for name in told.full}) + ['origin']
    figure, axes = pyplot.subplots(figsize=(2 + 1.2 * len(found), 4))
    for index, name in enumerate(names):
        values = [
            min(told.origin_first if name == 'origin' else told.full.get(name, 0.0), 2.0) for told in found
        ]
        axes.bar(
            [place + index * 0.8 / len(names) for place in range(len(found))],
            values,
            0.8 / len(names),
            label=name,
        )
    axes.set_xticks(
        [place + 0.4 for place in range(len(found))],
        ['+'.join(told.lost) or 'usual' for told in found],
        rotation=30,
        ha='right',
    )
    axes.axhline(1.0, color='black', linewidth=0.8)
    axes.set_ylabel('full')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
