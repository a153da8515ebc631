"""The command `lilacdyke change`: run a writer or relay, put and take back changes, list, status.

Exit codes: 0 on success, 1 if the request was refused or the process is unreachable, 2 on a usage error or a
bad changes file.
"""

import socket
import sys

import click

from ..decode import parse_address
from ..values import InvalidValueError
from . import settings as settings_file
from .messages import (
    LENGTH,
    MAX_FRAME_BYTES,
    BadFrameError,
    Item,
    PutAnswer,
    PutRequest,
    Status,
    StatusRequest,
    TakeBackRequest,
    pack,
    unpack,
)

ANSWER_TIMEOUT_S = 3.0
KINDS = ('config', 'purge')

file_option = click.option('--file', 'path', type=click.Path(), required=True, help='The changes file.')


def load_settings(path):
    """Return the settings in this file, or exit with code 2 if it is invalid."""
    try:
        settings = settings_file.read(path)
        return settings_file.require_enabled(settings, settings.installation)
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def find_process(settings, path, name, role=None):
    """Return the process with this name, or by default the first with this role."""
    try:
        if name is not None:
            return settings.named(name)
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)
    return next(process for process in settings.process if role in (None, process.role))


def read_frame(connection):
    """Return the body of the next frame. Raise BadFrameError if the connection ends before it."""
    data = b''
    while len(data) < LENGTH.size or len(data) < LENGTH.size + min(
        MAX_FRAME_BYTES, LENGTH.unpack_from(data)[0]
    ):
        chunk = connection.recv(65_536)
        if not chunk:
            raise BadFrameError('connection closed before the answer')
        data += chunk
    (size,) = LENGTH.unpack_from(data)
    return data[LENGTH.size : LENGTH.size + size]


def send_request(process, request, kind):
    """Send a request to a process and return its answer, or exit with code 1 if there is none."""
    try:
        with socket.create_connection(parse_address(process.address), ANSWER_TIMEOUT_S) as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(pack(request))
            return unpack(read_frame(connection), kind)
    except (OSError, BadFrameError) as err:
        click.echo('lilacdyke: %s at %s: %s' % (process.name, process.address, err), err=True)
        sys.exit(1)


def print_answer(answer):
    """Print the position of a change, or exit with code 1 if it was refused."""
    if answer.position is None:
        click.echo('lilacdyke: refused: %s' % answer.refused, err=True)
        sys.exit(1)
    click.echo('epoch %d, sequence %d' % (answer.position.epoch, answer.position.sequence))


@click.group()
def change():
    """Distribute configuration changes and purges to all nodes."""


@change.command()
@file_option
@click.option('--name', required=True, help='The process of the file to run.')
@click.option('--log-level', default='info', type=click.Choice(['info', 'warning', 'error']))
def run(path, name, log_level):
    """Run a writer or a relay until SIGTERM."""
    from ..net import logs
    from . import process

    logs.configure(log_level)
    settings = load_settings(path)
    find_process(settings, path, name)
    try:
        sys.exit(process.run(settings, name))
    except InvalidValueError as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


@change.command()
@file_option
@click.option('--name', help='The writer; the first of the file by default.')
@click.argument('kind', type=click.Choice(KINDS))
@click.argument('items', nargs=-1, required=True, metavar='KEY=VALUE... or KEY...')
def put(path, name, kind, items):
    """Put a change: KEY=VALUE pairs for config, which take effect together, or KEYs for purge."""
    settings = load_settings(path)
    pairs = [item.partition('=') for item in items]
    if any(bool(equals) != (kind == 'config') for _, equals, _ in pairs):
        click.echo(
            'lilacdyke: %s: %s'
            % (kind, 'expected KEY=VALUE' if kind == 'config' else 'expected KEY without a value'),
            err=True,
        )
        sys.exit(2)
    request = PutRequest(kind, [Item(key, value) for key, _, value in pairs])
    print_answer(send_request(find_process(settings, path, name, 'writer'), request, PutAnswer))


@change.command('take-back')
@file_option
@click.option('--name', help='The writer; the first of the file by default.')
@click.argument('sequence', type=click.IntRange(1))
def take_back(path, name, sequence):
    """Restore the values that a configuration change replaced, as a new change."""
    settings = load_settings(path)
    print_answer(
        send_request(find_process(settings, path, name, 'writer'), TakeBackRequest(sequence), PutAnswer)
    )


@change.command('list')
@file_option
@click.option('--name', help='The process to ask; the first writer by default.')
def list_(path, name):
    """Print the configuration in force at a process."""
    settings = load_settings(path)
    status = send_request(find_process(settings, path, name, 'writer'), StatusRequest(), Status)
    for key, value in sorted(status.configuration.items()):
        if value:
            click.echo('%s=%s' % (key, value))


@change.command()
@file_option
@click.option('--name', help='The process to ask; all processes of the file by default.')
def status(path, name):
    """Print the position of each process and which processes below it lag behind."""
    settings = load_settings(path)
    processes = [find_process(settings, path, name)] if name else settings.process
    for process in processes:
        reply = send_request(process, StatusRequest(), Status)
        for origin, position in sorted(reply.positions.items()):
            complete, age = reply.complete[origin], reply.ages.get(origin)
            click.echo(
                '%s: %s at %d.%d, %s old, complete below to %d.%d, %d below, behind: %s'
                % (
                    reply.name,
                    origin,
                    position.epoch,
                    position.sequence,
                    'of unknown age' if age is None else '%d ms' % (age // 10),
                    complete.epoch,
                    complete.sequence,
                    reply.below,
                    ', '.join(reply.behind) or 'nobody',
                )
            )
