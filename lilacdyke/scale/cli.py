"""The commands `lilacdyke scale slopes`, `lilacdyke scale run` and `lilacdyke scale page`."""

import sys

import click

from ..values import InvalidValueError
from . import page as pages
from . import rows as records
from . import slopes as measures

ROWS = 'docs/capacity/slopes.jsonl', 'docs/capacity/runs.jsonl'
PAGE = 'docs/CAPACITY.md'


def exit_with_error(path, err):
    """Print an error and exit with code 2."""
    click.echo('lilacdyke: %s: %s' % (path, err), err=True)
    sys.exit(2)


@click.group()
def scale():
    """Measure the cost of each role by installation size."""


@scale.command()
@click.argument('names', nargs=-1, type=click.Choice(list(measures.MEASURES)), metavar='[MEASURE]...')
@click.option('--repeats', type=click.IntRange(1, 50), default=5, show_default=True)
@click.option('--largest', type=click.IntRange(1), default=10_000, show_default=True, help='Maximum size.')
@click.option('--out', type=click.Path(dir_okay=False), help='File to write the rows to, as JSON lines.')
def slopes(names, repeats, largest, out):
    """Take measurements, all of them by default."""

    def print_row(row):
        click.echo(
            '%-24s %6d  %12.3f %s  (%.3f to %.3f)'
            % (row.measure, row.size, row.median, row.unit, min(row.values), max(row.values))
        )

    found = measures.run(names or list(measures.MEASURES), repeats, largest, print_row)
    if out:
        try:
            records.write(out, found)
        except OSError as err:
            exit_with_error(out, err)


@scale.command()
@click.option(
    '--nodes', type=click.IntRange(10, 20_000), default=500, show_default=True, help='Hollow nodes.'
)
@click.option(
    '--relays', type=click.IntRange(2, 40), default=4, show_default=True, help='Relays that nodes dial.'
)
@click.option(
    '--seconds', type=click.FloatRange(4, 300), default=20.0, show_default=True, help='Duration of the load.'
)
@click.option('--kill-relay', is_flag=True, help='Kill a relay half way, and restart it.')
@click.option('--out', type=click.Path(dir_okay=False), help='File to append the rows to, as JSON lines.')
def run(nodes, relays, seconds, kill_relay, out):
    """Distribute changes to thousands of hollow nodes through two levels of relays, on loopback."""
    from . import fleet_run

    found = fleet_run.run(fleet_run.RunOptions(nodes, relays, seconds, kill_relay))
    for row in found:
        click.echo('%-40s %12.3f %s' % (row.measure, row.median, row.unit))
    if out:
        try:
            records.write(out, found, append=True)
        except OSError as err:
            exit_with_error(out, err)


@scale.command()
@click.option('--rows', 'paths', type=click.Path(), multiple=True, default=ROWS, show_default=True)
@click.option('--page', 'page_path', type=click.Path(), default=PAGE, show_default=True)
@click.option('--check', is_flag=True, help='Write nothing; exit 1 if the tables do not match the rows.')
def page(paths, page_path, check):
    """Write the page's tables from recorded rows."""
    rows = []
    for path in paths:
        try:
            rows += records.read(path)
        except InvalidValueError as err:
            exit_with_error(path, err)
    try:
        with open(page_path, encoding='utf-8') as file:
            text = file.read()
        new_text = pages.fill(text, rows)
    except (OSError, InvalidValueError, ValueError) as err:
        exit_with_error(page_path, err)
    if check:
        if new_text != text:
            click.echo('lilacdyke: %s: its tables do not match %s' % (page_path, ', '.join(paths)), err=True)
            sys.exit(1)
        return
    with open(page_path, 'w', encoding='utf-8') as file:
        file.write(new_text)
