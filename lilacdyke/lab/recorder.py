"""The recorded events (rows) of a run, which are the only input of the checks.

Defines the kinds of rows and their fields, the record file of JSON lines, and its hash. Times are whole
microseconds since the start of the run. Nothing comes from inside a node but the counters at its exit and the
rows 'seen' and 'word' (observations.py).
"""

import hashlib
import json

# The fields of each kind of row, after its kind and its time.
ROWS = {
    # clients
    # A request whose last byte was written; begun: the time of its first byte; wait: time until the client
    # gives up.
    'ask': ('id', 'tx', 'node', 'profile', 'tenant', 'key', 'mark', 'begun', 'wait', 'attempt', 'fresh'),
    'again': ('id',),  # sent again, since the node had closed the idle connection
    'answer': ('id', 'status', 'digest', 'after'),  # after: Retry-After, seconds
    'begun': ('id', 'at'),  # of the large answer that follows: the time of its first bytes
    'left': ('id',),  # the client disconnected before its answer
    'cut': ('id',),  # the connection ended without a complete answer
    'stray': ('node', 'why'),  # unsolicited bytes
    'over': ('tx', 'outcome', 'latency'),  # a transaction, over all attempts
    'rude': ('kind', 'node', 'outcome', 'took'),
    # cache servers and the origin
    'link': ('server', 'node'),  # a connection was opened
    'hop': ('hop', 'server', 'id', 'mark', 'node', 'begun', 'work', 'key'),  # its last byte arrived
    'refused': ('hop',),
    'effect': ('hop', 'id', 'mark'),  # it ran; reads count as well
    'repeat': ('hop', 'id', 'mark'),  # a duplicate by its idempotency key, not run
    'made': ('hop', 'id', 'digest'),
    'giving': ('hop', 'id'),  # a large answer starts
    'broke': ('hop', 'id'),  # the server itself broke off the large answer
    'dropped': ('hop', 'ran'),  # not run any further, since nobody waits for it
    'missed': ('hop', 'cold'),
    'worked': ('hop', 'took'),
    # environment
    'server': ('server', 'what', 'kind', 'zone', 'cores', 'speed', 'started', 'origin'),
    'told': ('node', 'server', 'state'),
    'due': ('node', 'server', 'state'),  # discovery had this to announce
    'node': ('node', 'what'),
    'fault': ('kind', 'what', 'until'),
    'counters': ('node', 'counts'),
    # operators: out, back (requested) and returned, with a server; away and active; ready and open, with a
    # status; kept, with a count
    'hand': ('node', 'what', 'about'),
    'planner': ('planner', 'what'),
    'limit': ('name', 'most'),  # in force from now on
    'seats': ('server', 'count'),  # connections there, after one more was opened
    # forwarders with verdicts (observations.py): the result of a hop; a verdict on a server that takes
    # effect; left: for how long
    'seen': ('node', 'server', 'how', 'lasted', 'quick'),
    'word': ('node', 'server', 'least', 'most', 'wait', 'left', 'kind'),
    'error': ('node', 'text'),
}


class Recorder:
    """Collects the rows of a run."""

    def __init__(self, clock):
        self.clock, self.rows = clock, []  # clock: microseconds

    def record_event(self, kind, *fields):
        """Append a row with the current time."""
        self.rows.append((kind, self.clock(), *fields))


def lines(rows):
    """Yield the rows as JSON arrays, one per line."""
    for row in rows:
        yield json.dumps(row, separators=(',', ':'))


def digest(rows):
    """Return a hash of the whole record."""
    total = hashlib.sha256()
    for line in lines(rows):
        total.update(line.encode() + b'\n')
    return total.hexdigest()


def save(path, head, rows):
    """Write a record; its first line, the head, says what was played."""
    with open(path, 'w', encoding='utf-8') as file:
        file.write(json.dumps(head, separators=(',', ':')) + '\n')
        for line in lines(rows):
            file.write(line + '\n')


def load(path):
    """Return (head, rows) of a record; a truncated last line is ignored. Raise ValueError for a bad line."""
    rows = []
    with open(path, encoding='utf-8') as file:
        head = json.loads(file.readline())
        for number, line in enumerate(file, 2):
            try:
                row = tuple(json.loads(line))
            except ValueError:
                if line.endswith('\n'):
                    raise ValueError('line %d is not JSON' % number) from None
                break  # a truncated last line
            if not row or row[0] not in ROWS or len(row) != len(ROWS[row[0]]) + 2:
                raise ValueError('line %d is no row' % number)
            rows.append(row)
    return head, rows
