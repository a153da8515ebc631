"""The command `lilacdyke fleet`: operators' queries to planners.

Owns its command line, its output and its exit codes: 0 answered, 1 no planner answered, 2 invalid arguments.
Must never change anything at a planner, or wait for longer than its timeout.
"""

import socket
import sys
import time

import click

from ..values import SECOND, InvalidValueError
from . import limits
from .active_verdicts import RECOVERED_SHARE, REMAINING_SHARE, SLOW, WELL
from .frames import ASK, STATUS, BadFrameError, Frames, pack

TIMEOUT = 2.0  # seconds to wait for the answer of a planner


def fleet_file(path, *tables):
    """Read the fleet file at this path. If it is invalid, or lacks one of these tables, print one line and
    exit with 2."""
    try:
        settings = limits.read(path)
        for name in tables:
            if getattr(settings, name) is None:
                raise InvalidValueError('%s: no such table' % name)
        return settings
    except InvalidValueError as err:
        exit_invalid(path, err)


def exit_invalid(path, why):
    """Print one line to stderr, and exit with 2."""
    click.echo('lilacdyke: %s: %s' % (path, why), err=True)
    sys.exit(2)


def ask(address, timeout=TIMEOUT):
    """Return the fields of a planner's answer. Raise OSError or BadFrameError if there is none in time."""
    deadline, frames = time.monotonic() + timeout, Frames()
    with socket.create_connection(address, timeout) as link:
        link.sendall(pack(ASK, {}))
        while (remaining := deadline - time.monotonic()) > 0:
            link.settimeout(remaining)
            data = link.recv(65_536)
            if not data:
                raise OSError('connection closed by the planner')
            for kind, fields in frames.feed(data):
                if kind == STATUS:
                    return fields
    raise OSError('no answer in %g s' % timeout)


def query_planner(row):
    """Query a planner of the fleet file. Return its answer, or print one line and return None."""
    try:
        return ask(limits.address(row.address))
    except (OSError, BadFrameError) as err:
        click.echo('lilacdyke: %s at %s: %s' % (row.name, row.address, ' '.join(str(err).split())), err=True)
        return None


def effect_text(kind, factor, weight):
    """Describe the effect of a verdict at a forwarder that applies it."""
    if kind == WELL:
        return 'at least %.0f%% of its turns, where a forwarder doubts it' % (100 * RECOVERED_SHARE * weight)
    share = 1 / factor if kind == SLOW else REMAINING_SHARE[kind]
    return 'keeps %.0f%% of its turns%s' % (
        100 * share**weight,
        ', its wait is expected' if kind == SLOW else '',
    )


def format_status(name, status):
    """Return the status of one planner as lines of a table."""
    reporters = len(status['witnesses'])
    lines = ['%s: %d forwarders have reported on servers' % (name, reporters)]
    row_format = '%-20s %-8s %-10s %-22s %8s %7s  %s'
    lines.append(row_format % ('server', 'held', 'for', 'by', 'age', 'weight', 'what it changes'))
    for server, _, kind, factor, response_time, witnesses, sites, age, weight, site in sorted(
        status['verdicts'], key=lambda row: (row[2] == WELL, row[0])
    ):
        verdict_text = kind if kind != SLOW else 'slow x%g' % factor
        lines.append(
            row_format
            % (
                server,
                verdict_text,
                site or 'all',
                '%d forwarders, %d sites' % (witnesses, sites),
                '%.1f s' % (age / SECOND),
                '%.2f' % weight,
                effect_text(kind, factor, weight),
            )
        )
    return lines


@click.group()
def fleet():
    """Ask the planners of a fleet."""


@fleet.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--planner', 'name', help='Which planner; by default the first that answers.')
@click.option('--watch', is_flag=True, help='Ask again each second, until Ctrl-C.')
@click.option('--json', 'as_json', is_flag=True, help='One line of JSON.')
def servers(path, name, watch, as_json):
    """Show the verdict on each server, its evidence, age, weight and effect."""
    rows = [row for row in fleet_file(path).planner if name in (None, row.name)]
    if not rows:
        exit_invalid(path, 'planner: no %s' % name)
    while True:
        code = query_once(rows, as_json, watch)
        if not watch:
            sys.exit(code)
        try:
            time.sleep(1.0)
        except KeyboardInterrupt:
            sys.exit(0)


def query_once(rows, as_json, clear):
    """Query planners until one answers, print its status, and return the exit code."""
    for row in rows:
        status = query_planner(row)
        if status is None:
            continue
        if as_json:
            import json

            click.echo(json.dumps(dict(status, planner=row.name)))
            return 0
        if clear:
            click.clear()
        click.echo('\n'.join(format_status(row.name, status)))
        return 0
    return 1
