"""The command line: serve, plan, fleet, site, task, change, check, version, lab, scale, trial.

Defines the commands, their options and exit codes; the work is done in the module of each command.
"""

import os
import signal
import sys

import click

from . import __version__
from .decode import parse_address, read_config
from .values import InvalidValueError


def read_page(path):
    """Return the node's configuration from its JSON page. Exit with one line and code 2 if it is invalid."""
    if not path:
        click.echo('lilacdyke: no config: give --config or EDGE_CONFIG', err=True)
        sys.exit(2)
    try:
        return read_config(path)
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def with_operator_address(node_config):
    """Return the configuration, with the operators' address from EDGE_OPERATOR if the page has none."""
    try:
        if not node_config.operator and os.environ.get('EDGE_OPERATOR'):
            node_config.operator = parse_address(os.environ['EDGE_OPERATOR'])
    except InvalidValueError as err:
        click.echo('lilacdyke: EDGE_OPERATOR: %s' % err, err=True)
        sys.exit(2)
    return node_config


def read_fleet(path):
    """Return the contents of a fleet file. Exit with one line and code 2 if it is invalid."""
    from .plan import limits

    try:
        return limits.read(path)
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def read_changes(node_config, path):
    """Return the contents of a changes file. Exit with one line and code 2 if it is invalid.

    It is also invalid if it is disabled or for another installation than the node's page.
    """
    from .changes import settings

    try:
        return settings.require_enabled(settings.read(path), node_config.installation)
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def read_fleet_for_node(node_config, path):
    """Return the contents of a node's fleet file. Exit with one line and code 2 if it is invalid.

    It is also invalid if it is for another installation than the node's page, or if the page allows longer
    requests.
    """
    from .plan import limits

    fleet = read_fleet(path)
    try:
        limits.require_enabled(fleet, node_config.installation)
        longest = max(profile.hard_limit for profile in node_config.terms.profiles)
        if longest > fleet.longest_s * 10_000:
            raise InvalidValueError(
                'longest_s: %g, but the page has requests of %g s' % (fleet.longest_s, longest / 10_000)
            )
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)
    return fleet


log_level = click.option(
    '--log-level',
    default='info',
    type=click.Choice(['info', 'warning', 'error']),
    help='The lowest level to log.',
)
config = click.option(
    '--config',
    envvar='EDGE_CONFIG',
    type=click.Path(),
    help="The node's JSON page; default: the path in EDGE_CONFIG.",
)


@click.group()
def main():
    """A router for fleets of cache servers."""


@main.command()
@config
@click.option(
    '--fleet', type=click.Path(), help='The fleet file, if this node belongs to a fleet with planners.'
)
@click.option(
    '--changes', type=click.Path(), help='The changes file, if changes are distributed to this node.'
)
@click.option(
    '--log-requests',
    'lines_per_second',
    envvar='EDGE_LOG_REQUESTS',
    type=click.IntRange(0),
    default=0,
    help='Log single requests, attempts and connections with their ids, at most this many lines per second.',
)
@log_level
def serve(config, fleet, changes, lines_per_second, log_level):
    """Run a node until SIGTERM has drained it."""
    from .net import logs, process

    logs.configure(log_level)
    early = []  # not empty if SIGHUP arrives before the node handles it
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))
    node_config = with_operator_address(read_page(config))
    fleet = read_fleet_for_node(node_config, fleet) if fleet else None
    changes = read_changes(node_config, changes) if changes else None
    sys.exit(process.serve(node_config, config, fleet, early, changes, lines_per_second))


@main.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--name', required=True, help='The name of this planner in the fleet file.')
@log_level
def plan(path, name, log_level):
    """Run a planner until SIGTERM."""
    from .net import logs

    logs.configure(log_level)
    fleet = read_fleet(path)
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
    """Validate a node's page."""
    node_config = read_page(config)
    click.echo('%s: in order, %d profiles' % (node_config.name, len(node_config.terms.profiles)))


@main.command()
def version():
    """Print the version."""
    click.echo('lilacdyke %s' % __version__)


class LazyGroup(click.Group):
    """A command group whose module is imported only on use, so that a node never loads the lab.

    module: the module that defines the group, under the group's name.
    """

    def __init__(self, name, module, help):
        super().__init__(name, help=help)
        self.module = module

    def load(self):
        from importlib import import_module

        return getattr(import_module(self.module, __package__), self.name)

    def list_commands(self, ctx):
        return self.load().list_commands(ctx)

    def get_command(self, ctx, name):
        return self.load().get_command(ctx, name)


main.add_command(
    LazyGroup('lab', '.lab.cli', 'Run fleets of nodes against stand-ins, in simulated time or on loopback.')
)
main.add_command(LazyGroup('fleet', '.plan.status_cli', 'Query the planners of a fleet.'))
main.add_command(LazyGroup('site', '.plan.site_cli', 'Plan for the loss of a whole site.'))
main.add_command(LazyGroup('task', '.plan.tasks', 'Run tasks that one process does for the whole fleet.'))
main.add_command(
    LazyGroup('change', '.changes.cli', 'Distribute configuration changes and purges to all nodes.')
)
main.add_command(
    LazyGroup('scale', '.scale.cli', 'Measure what each role costs by the size of the installation.')
)
main.add_command(LazyGroup('trial', '.trial.cli', 'Run real processes of the program with injected faults.'))


if __name__ == '__main__':
    main(prog_name='lilacdyke')
