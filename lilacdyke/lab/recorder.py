"""What the stand-ins saw, row by row: the only thing that judges look at.

Owns the kinds of rows and their fields, the record as JSON lines, and its hash. Times are whole microseconds
since the run's start. Must never hold what only a node knows, save the counters that a node's process told at
its end.
"""

import hashlib
import json

# The fields of each kind of row, after its kind and its time.
ROWS = {
    # clients: a request whose last byte has been written; made: the first byte's time; wait: until it is
    # given up
    'ask': ('id', 'tx', 'node', 'profile', 'tenant', 'key', 'mark', 'begun', 'wait', 'attempt', 'fresh'),
    'again': ('id',),  # the same once more: the node had closed between requests
    'answer': ('id', 'status', 'digest', 'after'),  # after: Retry-After, seconds
    'begun': ('id', 'at'),  # of a large answer, which comes next: when its first bytes came
    'left': ('id',),  # the client went before its answer
    'cut': ('id',),  # the connection ended with no whole answer
    'stray': ('node', 'why'),  # bytes that nobody asked for
    'over': ('tx', 'outcome', 'latency'),  # a transaction, over all tries
    'rude': ('kind', 'node', 'outcome', 'took'),
    # cache servers and the origin
    'link': ('server', 'node'),  # a connection has come up
    'hop': ('hop', 'server', 'id', 'mark', 'node', 'begun', 'work', 'key'),  # its last byte is here
    'refused': ('hop',),
    'effect': ('hop', 'id', 'mark'),  # it ran, and changed something (or was one more run of a read)
    'repeat': ('hop', 'id', 'mark'),  # known by its mark, and dropped
    'made': ('hop', 'id', 'digest'),
    'giving': ('hop', 'id'),  # a large answer, from now on
    'broke': ('hop', 'id'),  # off the large answer, which the server itself did
    'dropped': ('hop', 'ran'),  # nobody waited any more
    'missed': ('hop', 'cold'),
    'worked': ('hop', 'took'),
    # the world
    'server': ('server', 'what', 'kind', 'zone', 'cores', 'speed', 'started', 'origin'),
    'told': ('node', 'server', 'state'),
    'due': ('node', 'server', 'state'),  # discovery had it to tell
    'node': ('node', 'what'),
    'fault': ('kind', 'what', 'until'),
    'counters': ('node', 'counts'),
    # staff: out, back (called), returned, with a server; away, active; ready, open with a status; kept with a
    # count
    'hand': ('node', 'what', 'about'),
    'planner': ('planner', 'what'),
    'limit': ('name', 'most'),  # in force from then on
    'seats': ('server', 'count'),  # connections there, one having come
    # forwarders, where there are verdicts (eyes.py): what a hop said of its server; a word that acts on one
    # from now on, left: for how long
    'seen': ('node', 'server', 'how', 'lasted', 'quick'),
    'word': ('node', 'server', 'least', 'most', 'wait', 'left', 'kind'),
    'error': ('node', 'text'),
}


class Recorder:
    """Collects rows."""

    def __init__(self, clock):
        self.clock, self.rows = clock, []  # clock: microseconds

    def record_event(self, kind, *fields):
        """One more row, now."""
        self.rows.append((kind, self.clock(), *fields))


def lines(rows):
    """The record: a JSON array a row."""
    for row in rows:
        yield json.dumps(row, separators=(',', ':'))


def digest(rows):
    """One hash over the whole record."""
    total = hashlib.sha256()
    for line in lines(rows):
        total.update(line.encode() + b'\n')
    return total.hexdigest()


def save(path, head, rows):
    """Write a record; its first line is what was played."""
    with open(path, 'w', encoding='utf-8') as file:
        file.write(json.dumps(head, separators=(',', ':')) + '\n')
        for line in lines(rows):
            file.write(line + '\n')


def load(path):
    """(head, rows) of a record; one that was cut short is read up to there. A ValueError names a bad line."""
    rows = []
    with open(path, encoding='utf-8') as file:
        head = json.loads(file.readline())
        for number, line in enumerate(file, 2):
            try:
                row = tuple(json.loads(line))
            except ValueError:
                if line.endswith('\n'):
                    raise ValueError('line %d is not JSON' % number) from None
                break  # the last one, half written
            if not row or row[0] not in ROWS or len(row) != len(ROWS[row[0]]) + 2:
                raise ValueError('line %d is no row' % number)
            rows.append(row)
    return head, rows
