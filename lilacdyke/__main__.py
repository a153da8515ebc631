"""The command line: serve, plan, fleet, site, task, change, check, version, lab, scale, trial.

Owns the words on the command line and the exit codes. Must never do what a sub-command's own module does.
"""

import os
import signal
import sys

import click

from . import __version__
from .decode import address, page
from .values import BadLine


def read(path):
    """The node's page at this path; what is wrong with it ends the program with one line."""
    if not path:
        click.echo('lilacdyke: no config: give --config or EDGE_CONFIG', err=True)
        sys.exit(2)
    try:
        return page(path)
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def with_operator(place):
    """The page, with the operators' address that the environment names if the page names none."""
    try:
        if not place.operator and os.environ.get('EDGE_OPERATOR'):
            place.operator = address(os.environ['EDGE_OPERATOR'])
    except BadLine as err:
        click.echo('lilacdyke: EDGE_OPERATOR: %s' % err, err=True)
        sys.exit(2)
    return place


def fleet_file(path):
    """What the fleet file at this path says; what is wrong with it ends the program with one line. Loaded
    only where one is named."""
    from .plan import limits

    try:
        return limits.read(path)
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def changes_file(place, path):
    """What the changes file at this path says, for the page's installation; what is wrong with it ends the
    program with one line. Loaded only where one is named."""
    from .changes import settings

    try:
        return settings.enabled(settings.read(path), place.installation)
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def in_fleet(place, path):
    """The fleet file that a node is to go by; the page must name the same installation and no longer
    requests."""
    from .plan import limits

    fleet = fleet_file(path)
    try:
        limits.enabled(fleet, place.installation)
        slowest = max(profile.hard for profile in place.terms.profiles)
        if slowest > fleet.longest_s * 10_000:
            raise BadLine(
                'longest_s: %g, but the page has requests of %g s' % (fleet.longest_s, slowest / 10_000)
            )
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)
    return fleet


log_level = click.option(
    '--log-level',
    default='info',
    type=click.Choice(['info', 'warning', 'error']),
    help='The least that is written.',
)
config = click.option(
    '--config',
    envvar='EDGE_CONFIG',
    type=click.Path(),
    help="The node's JSON page; by default what EDGE_CONFIG names.",
)


@click.group()
def main():
    """A router for fleets of cache servers."""


@main.command()
@config
@click.option(
    '--fleet', type=click.Path(), help='The fleet file, where this node is one of a fleet with planners.'
)
@click.option('--changes', type=click.Path(), help='The changes file, where changes are passed to this node.')
@click.option(
    '--log-requests',
    'lines_per_second',
    envvar='EDGE_LOG_REQUESTS',
    type=click.IntRange(0),
    default=0,
    help='Log single requests, attempts and connections with their ids, at most so many lines a second.',
)
@log_level
def serve(config, fleet, changes, lines_per_second, log_level):
    """Run one node until SIGTERM has drained it."""
    from .net import logs, node

    logs.begin(log_level)
    early = []  # SIGHUP that comes from before the page is read until the node listens for it
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))
    place = with_operator(read(config))
    fleet = in_fleet(place, fleet) if fleet else None
    changes = changes_file(place, changes) if changes else None
    sys.exit(node.serve(place, config, fleet, early, changes, lines_per_second))


@main.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--name', required=True, help='Which of its planners this is.')
@log_level
def plan(path, name, log_level):
    """Run one planner until SIGTERM."""
    from .net import logs

    logs.begin(log_level)
    fleet = fleet_file(path)
    names = [row.name for row in fleet.planner]
    if name not in names or not fleet.enabled:
        click.echo(
            'lilacdyke: %s: %s'
            % (path, 'enabled: is false' if not fleet.enabled else 'planner: no %s' % name),
            err=True,
        )
        sys.exit(2)
    from .plan import process

    sys.exit(process.plan(fleet, names.index(name), path))


@main.command()
@config
def check(config):
    """Read a node's page and say what is wrong with it."""
    told = read(config)
    click.echo('%s: in order, %d profiles' % (told.name, len(told.terms.profiles)))


@main.command()
def version():
    """Print the version."""
    click.echo('lilacdyke %s' % __version__)


class Lazy(click.Group):
    """A group whose commands are imported only when one of them is asked for: a node never loads the lab.
    module: where the group of this name is."""

    def __init__(self, name, module, help):
        super().__init__(name, help=help)
        self.module = module

    def inner(self):
        from importlib import import_module

        return getattr(import_module(self.module, __package__), self.name)

    def list_commands(self, ctx):
        return self.inner().list_commands(ctx)

    def get_command(self, ctx, name):
        return self.inner().get_command(ctx, name)


main.add_command(
    Lazy('lab', '.lab.cli', 'Fleets of nodes against stand-ins, in simulated time or on loopback.')
)
main.add_command(Lazy('fleet', '.plan.staff', 'Ask the planners of a fleet.'))
main.add_command(Lazy('site', '.plan.site_cli', 'The loss of a whole site, worked out before the day.'))
main.add_command(Lazy('task', '.plan.tasks', 'Tasks that one process does for the whole fleet.'))
main.add_command(Lazy('change', '.changes.cli', 'Changes of configuration, and purges, for all nodes.'))
main.add_command(Lazy('scale', '.scale.cli', 'What each role costs by the size of the installation.'))
main.add_command(Lazy('trial', '.trial.cli', 'Real processes of the program with faults between them.'))


if __name__ == '__main__':
    main(prog_name='lilacdyke')
