"""`lilacdyke site plan`: print the effects of losing sites as a table, as JSON, or as a plot.

Exit codes: 0 on success, 1 if an expectation is not met (with --check), 2 for invalid arguments.
"""

import sys

import click
import msgspec

from . import sites
from .status_cli import exit_invalid, fleet_file


@click.group()
def site():
    """Capacity planning for the loss of a whole site."""


def percent(value):
    return 'over all' if value == float('inf') else '%.0f%%' % (100 * value)


def format_outcome(result):
    """Yield the lines of one outcome."""
    yield 'lost: %s' % (', '.join(result.lost) or 'nothing')
    yield '  keys that move: %s; %s' % (
        percent(result.moved),
        '; '.join(
            '%s has %s of all, %s full' % (name, percent(share), percent(result.full[name]))
            for name, share in result.keys.items()
        )
        or 'nothing is left',
    )
    yield '  origin: %s full at first, %s once moved keys are kept' % (
        percent(result.origin_first),
        percent(result.origin_later),
    )
    for row in sorted(result.classes, key=lambda row: row.place):
        yield '  %d. %-24s asked %8.1f, refused %8.1f a second (%s), worth lost %8.1f a second' % (
            row.place,
            row.name,
            row.asked,
            row.refused,
            percent(row.refused / row.asked if row.asked else 0.0),
            row.worth,
        )
    yield '  %s; worth lost %.1f a second; the return takes %s' % (
        'all is borne' if result.borne else 'not all is borne',
        result.worth_lost,
        'for ever: the origin has no room' if result.return_s == float('inf') else '%.0f s' % result.return_s,
    )


@site.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option(
    '--lost',
    multiple=True,
    help='A lost site; may be repeated. Default: each site, and each pair of sites.',
)
@click.option('--json', 'as_json', is_flag=True)
@click.option(
    '--check', 'checked', is_flag=True, help='Exit with 1 if an expectation of the file is not met.'
)
@click.option(
    '--plot',
    type=click.Path(dir_okay=False),
    help='PNG file for a plot of the utilization of sites and origin.',
)
def plan(path, lost, as_json, checked, plot):
    """Print where load moves, what is refused first, and how long the recovery takes."""
    loss = fleet_file(path, 'loss').loss
    unknown = set(lost) - {row.name for row in loss.site}
    if unknown:
        exit_invalid(path, 'loss: no site %s' % sorted(unknown)[0])
    found = (
        [sites.outcome(loss, tuple(lost))]
        if lost
        else [sites.outcome(loss, some) for some in sites.loss_cases(loss)]
    )
    if as_json:
        click.echo(
            msgspec.json.encode(
                [
                    {
                        key: None if value == float('inf') else value
                        for key, value in msgspec.to_builtins(result).items()
                    }
                    for result in found
                ]
            ).decode()
        )
    else:
        for result in found:
            click.echo('\n'.join(format_outcome(result)))
        click.echo(
            'any one site may be lost with nothing refused: %s'
            % ('yes' if sites.survives_any_single_loss(loss) else 'no')
        )
    if plot:
        plot_outcomes(found, plot)
    failing = sites.failed_expectations(loss) if checked else []
    for expected, actual in failing:
        click.echo('not so: %s (it is %s)' % (expected, actual), err=as_json)
    sys.exit(1 if failing else 0)


def plot_outcomes(found, path):
    """Plot the utilization of each site and the origin for each loss."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    names = sorted({name for result in found for name in result.full}) + ['origin']
    figure, axes = pyplot.subplots(figsize=(2 + 1.2 * len(found), 4))
    for index, name in enumerate(names):
        values = [
            min(result.origin_first if name == 'origin' else result.full.get(name, 0.0), 2.0)
            for result in found
        ]
        axes.bar(
            [place + index * 0.8 / len(names) for place in range(len(found))],
            values,
            0.8 / len(names),
            label=name,
        )
    axes.set_xticks(
        [place + 0.4 for place in range(len(found))],
        ['+'.join(result.lost) or 'usual' for result in found],
        rotation=30,
        ha='right',
    )
    axes.axhline(1.0, color='black', linewidth=0.8)
    axes.set_ylabel('full')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
