"""`lilacdyke fleet`: what staff ask of planners.

Owns the words on its command line, what it prints and its exit codes: 0 told, 1 no planner answered, 2 wrong
words. Must never change anything at a planner, nor wait for longer than it says.
"""

import socket
import sys
import time

import click

from ..values import SECOND, BadLine
from . import limits
from .belief import BACK, LEFT, SLOW, WELL
from .frames import ASK, STATUS, BadFrameError, Frames, pack

PATIENCE = 2.0  # seconds for one planner's answer


def fleet_file(path, *tables):
    """What the fleet file at this path says; if it cannot be read, or lacks one of these tables, that is one
    line and exit 2."""
    try:
        told = limits.read(path)
        for name in tables:
            if getattr(told, name) is None:
                raise BadLine('%s: there is no such table' % name)
        return told
    except BadLine as err:
        wrong(path, err)


def wrong(path, why):
    """One line, and exit 2."""
    click.echo('lilacdyke: %s: %s' % (path, why), err=True)
    sys.exit(2)


def ask(address, patience=PATIENCE):
    """What a planner holds: the fields of its answer. OSError or BadFrame if it gives none in time."""
    until, frames = time.monotonic() + patience, Frames()
    with socket.create_connection(address, patience) as link:
        link.sendall(pack(ASK, {}))
        while (left := until - time.monotonic()) > 0:
            link.settimeout(left)
            data = link.recv(65_536)
            if not data:
                raise OSError('it closed the link')
            for kind, fields in frames.feed(data):
                if kind == STATUS:
                    return fields
    raise OSError('no answer in %g s' % patience)


def asked_of(row):
    """The same by a row of the fleet file; None, and one line, if it gives no answer."""
    try:
        return ask(limits.address(row.address))
    except (OSError, BadFrameError) as err:
        click.echo('lilacdyke: %s at %s: %s' % (row.name, row.address, ' '.join(str(err).split())), err=True)
        return None


def changes(kind, factor, weight):
    """What a verdict changes at a forwarder that acts on it, in words."""
    if kind == WELL:
        return 'at least %.0f%% of its turns, where a forwarder doubts it' % (100 * BACK * weight)
    left = 1 / factor if kind == SLOW else LEFT[kind]
    return 'keeps %.0f%% of its turns%s' % (
        100 * left**weight,
        ', its wait is expected' if kind == SLOW else '',
    )


def table(name, told):
    """What one planner holds, as lines."""
    seats = len(told['witnesses'])
    lines = ['%s: %d forwarders have told it of servers' % (name, seats)]
    form = '%-20s %-8s %-10s %-22s %8s %7s  %s'
    lines.append(form % ('server', 'held', 'for', 'by', 'age', 'weight', 'what it changes'))
    for server, _, kind, factor, took, witnesses, sites, age, weight, site in sorted(
        told['verdicts'], key=lambda row: (row[2] == WELL, row[0])
    ):
        held = kind if kind != SLOW else 'slow x%g' % factor
        lines.append(
            form
            % (
                server,
                held,
                site or 'all',
                '%d forwarders, %d sites' % (witnesses, sites),
                '%.1f s' % (age / SECOND),
                '%.2f' % weight,
                changes(kind, factor, weight),
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
    """What is held on each server, by whose evidence, how old, how sure, and what it changes."""
    rows = [row for row in fleet_file(path).planner if name in (None, row.name)]
    if not rows:
        wrong(path, 'planner: no %s' % name)
    while True:
        code = once(rows, as_json, watch)
        if not watch:
            sys.exit(code)
        try:
            time.sleep(1.0)
        except KeyboardInterrupt:
            sys.exit(0)


def once(rows, as_json, clear):
    """Ask until one answers, and print it; the exit code."""
    for row in rows:
        found = asked_of(row)
        if found is None:
            continue
        if as_json:
            import json

            click.echo(json.dumps(dict(found, planner=row.name)))
            return 0
        if clear:
            click.clear()
        click.echo('\n'.join(table(row.name, found)))
        return 0
    return 1
