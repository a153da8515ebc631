"""Puts changes at a writer, one after another, and notes what it was told of each: kept, refused, or nothing.

    python -m lilacdyke.trial.putter FILE OUT SECONDS

Owns the notes, a JSON line each: value, told. Must never put a value twice.
"""

import json
import socket
import sys
import time

from ..changes import cli, settings
from ..changes.messages import Item, PutAnswer, PutRequest, pack, unpack
from ..decode import parse_address

PAUSE_S, PATIENCE_S = 0.1, 2.0


def put(where, value):
    """What the writer said: 'kept', 'refused', or 'nothing'."""
    try:
        with socket.create_connection(where, PATIENCE_S) as connection:
            connection.settimeout(PATIENCE_S)
            connection.sendall(pack(PutRequest('config', [Item('limit', str(value))])))
            answer = unpack(cli.read_frame(connection), PutAnswer)
    except (OSError, cli.BadFrameError):
        return 'nothing'
    if answer.position is not None:
        return 'kept'
    return 'nothing' if 'may come back' in answer.refused else 'refused'


def main(path, out, seconds):
    """Put for so long."""
    where, value = parse_address(settings.read(path).named('w0').address), 0
    end = time.monotonic() + float(seconds)
    with open(out, 'w', encoding='utf-8') as file:
        while time.monotonic() < end:
            value += 1
            file.write(json.dumps({'value': value, 'told': put(where, value)}) + '\n')
            file.flush()
            time.sleep(PAUSE_S)


if __name__ == '__main__':
    main(*sys.argv[1:])
