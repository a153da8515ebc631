"""The command `lilacdyke change`: run a writer or a relay, put, take back, list, status.

Owns staff's words and exit codes: 0 done, 1 refused or not reached, 2 wrong words or a bad file.
"""

import socket
import sys

import click

from ..decode import address
from ..values import BadLine
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

ANSWER_TIMEOUT_S = 3.0  # for an answer
KINDS = ('config', 'purge')

file_option = click.option('--file', 'path', type=click.Path(), required=True, help='The changes file.')


def load_settings(path):
    """The file's settings; what is wrong with it ends the command with one line."""
    try:
        settings = settings_file.read(path)
        return settings_file.enabled(settings, settings.installation)
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


def find_process(settings, path, name, role=None):
    """A process by its name; by default the first of a role."""
    try:
        if name is not None:
            return settings.named(name)
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)
    return next(process for process in settings.process if role in (None, process.role))


def read_frame(connection):
    """The body of the next frame."""
    data = b''
    while len(data) < LENGTH.size or len(data) < LENGTH.size + min(
        MAX_FRAME_BYTES, LENGTH.unpack_from(data)[0]
    ):
        chunk = connection.recv(65_536)
        if not chunk:
            raise BadFrameError('the connection ended')
        data += chunk
    (size,) = LENGTH.unpack_from(data)
    return data[LENGTH.size : LENGTH.size + size]


def send_request(process, request, kind):
    """A process's answer to a request; what keeps it from that ends the command with one line."""
    try:
        with socket.create_connection(address(process.address), ANSWER_TIMEOUT_S) as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(pack(request))
            return unpack(read_frame(connection), kind)
    except (OSError, BadFrameError) as err:
        click.echo('lilacdyke: %s at %s: %s' % (process.name, process.address, err), err=True)
        sys.exit(1)


def print_answer(answer):
    """Tell where a change stands, or why it was refused."""
    if answer.position is None:
        click.echo('lilacdyke: refused: %s' % answer.refused, err=True)
        sys.exit(1)
    click.echo('epoch %d, sequence %d' % (answer.position.epoch, answer.position.sequence))


@click.group()
def change():
    """Changes of configuration, and purges, for all nodes."""


@change.command()
@file_option
@click.option('--name', required=True, help='Which process of the file this is.')
@click.option('--log-level', default='info', type=click.Choice(['info', 'warning', 'error']))
def run(path, name, log_level):
    """Run a writer or a relay until SIGTERM."""
    from ..net import logs
    from . import process

    logs.begin(log_level)
    settings = load_settings(path)
    find_process(settings, path, name)
    try:
        sys.exit(process.run(settings, name))
    except BadLine as err:
        click.echo('lilacdyke: %s: %s' % (path, err), err=True)
        sys.exit(2)


@change.command()
@file_option
@click.option('--name', help='The writer; the first of the file by default.')
@click.argument('kind', type=click.Choice(KINDS))
@click.argument('items', nargs=-1, required=True, metavar='KEY=VALUE... or KEY...')
def put(path, name, kind, items):
    """Put a change: keys with values for config, which all take effect together, keys for purge."""
    settings = load_settings(path)
    pairs = [item.partition('=') for item in items]
    if any(bool(equals) != (kind == 'config') for _, equals, _ in pairs):
        click.echo(
            'lilacdyke: %s: %s' % (kind, 'KEY=VALUE' if kind == 'config' else 'a KEY without value'), err=True
        )
        sys.exit(2)
    request = PutRequest(kind, [Item(key, value) for key, _, value in pairs])
    print_answer(send_request(find_process(settings, path, name, 'writer'), request, PutAnswer))


@change.command('take-back')
@file_option
@click.option('--name', help='The writer; the first of the file by default.')
@click.argument('sequence', type=click.IntRange(1))
def take_back(path, name, sequence):
    """Put what a change of the configuration replaced, as a new change."""
    settings = load_settings(path)
    print_answer(
        send_request(find_process(settings, path, name, 'writer'), TakeBackRequest(sequence), PutAnswer)
    )


@change.command('list')
@file_option
@click.option('--name', help='Whom to ask; the first writer by default.')
def list_(path, name):
    """The configuration in force at a process."""
    settings = load_settings(path)
    status = send_request(find_process(settings, path, name, 'writer'), StatusRequest(), Status)
    for key, value in sorted(status.configuration.items()):
        if value:
            click.echo('%s=%s' % (key, value))


@change.command()
@file_option
@click.option('--name', help='Whom to ask; all processes of the file by default.')
def status(path, name):
    """How far processes are, and who below them is behind."""
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
