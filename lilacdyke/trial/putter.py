"""Sends changes to a writer, one after another, and records each result: kept, refused or nothing.

    python -m lilacdyke.trial.putter FILE OUT SECONDS

Each result is a JSON line in OUT with the keys value and told. Must never send a value twice.
"""

import json
import socket
import sys
import time

from ..changes import cli, settings
from ..changes.messages import Item, PutAnswer, PutRequest, pack, unpack
from ..decode import parse_address

PAUSE_S, TIMEOUT_S = 0.1, 2.0


def put_value(where, value):
    """Send a change and return 'kept', 'refused', or 'nothing' if the result is unknown."""
    try:
        with socket.create_connection(where, TIMEOUT_S) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.sendall(pack(PutRequest('config', [Item('limit', str(value))])))
            answer = unpack(cli.read_frame(connection), PutAnswer)
    except (OSError, cli.BadFrameError):
        return 'nothing'
    if answer.position is not None:
        return 'kept'
    return 'nothing' if 'may come back' in answer.refused else 'refused'


def main(path, out, seconds):
    """Send changes for so many seconds."""
    where, value = parse_address(settings.read(path).named('w0').address), 0
    end = time.monotonic() + float(seconds)
    with open(out, 'w', encoding='utf-8') as file:
        while time.monotonic() < end:
            value += 1
            file.write(json.dumps({'value': value, 'told': put_value(where, value)}) + '\n')
            file.flush()
            time.sleep(PAUSE_S)


if __name__ == '__main__':
    main(*sys.argv[1:])
