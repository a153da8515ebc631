"""Frames between forwarders and planners: length-prefixed MessagePack, versioned and strictly validated.

Owns the wire format. A frame is a length of four bytes (big-endian, MAX_FRAME_BYTES at most), then a
MessagePack array [major, minor, kind, fields]. Unknown fields and kinds, of a newer minor version, are
skipped. Another major version is rejected. Must never accept malformed input, buffer more than one frame, or
touch a socket.
"""

import msgpack

from ..framing import LENGTH, FrameReader
from .active_verdicts import BINS, KINDS
from .leases import VERBS

MAJOR, MINOR = 1, 2
MAX_FRAME_BYTES = 1 << 20  # size of one frame
MAX_AMOUNT = 1 << 40  # exclusive upper bound of amounts, versions and spans
MAX_NAME_CHARS = 200  # in a key or a life
MAX_ROWS = 1_024  # of evidence, or of verdicts, in one frame


class BadFrameError(Exception):
    """Raised for a malformed frame, with a reason in one line. The link has to be closed."""


class UnsupportedVersionError(BadFrameError):
    """Raised for a frame of another major version."""


def whole_number(value):
    """Validate an integer in the range of amounts, versions and spans."""
    if type(value) is not int or not 0 <= value < MAX_AMOUNT:
        raise BadFrameError('not an integer in range: %.60r' % (value,))
    return value


def name(value):
    """Validate a non-empty string."""
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_CHARS:
        raise BadFrameError('not a valid name: %.60r' % (value,))
    return value


def optional(read):
    """Return a validator that also accepts None."""
    return lambda value: None if value is None else read(value)


def amounts(value):
    """Validate a table of grains by key."""
    if type(value) is not dict:
        raise BadFrameError('not a table: %.60r' % (value,))
    return {name(key): whole_number(amount) for key, amount in value.items()}


def number(value):
    """Validate a non-negative integer or float."""
    if type(value) not in (int, float) or not 0 <= value < MAX_AMOUNT:
        raise BadFrameError('not a number in range: %.60r' % (value,))
    return value


def boolean(value):
    if type(value) is not bool:
        raise BadFrameError('not a boolean: %.60r' % (value,))
    return value


def one_of(*choices):
    """Return a validator for one of several strings."""

    def read(value):
        if value not in choices:
            raise BadFrameError('not one of %s: %.60r' % (', '.join(choices), value))
        return value

    return read


def counts(value):
    """Validate a list of at most BINS counts."""
    if type(value) is not list or len(value) > BINS:
        raise BadFrameError('not a list of counts: %.60r' % (value,))
    return [whole_number(count) for count in value]


def rows(*readers):
    """Return a validator for rows with one field per reader. Further fields, of a newer minor version, are
    skipped."""

    def read(value):
        if type(value) is not list or len(value) > MAX_ROWS:
            raise BadFrameError('not a list of rows: %.60r' % (value,))
        result = []
        for row in value:
            if type(row) is not list or len(row) < len(readers):
                raise BadFrameError('not a row: %.60r' % (row,))
            result.append([reader(field) for reader, field in zip(readers, row)])
        return result

    return read


# Required fields of each kind, with their validators.
DIGEST, PLAN, ASK, STATUS, SEEK, VOTE, FREE = 'digest', 'plan', 'ask', 'told', 'seek', 'vote', 'free'
EVIDENCE_ROWS = rows(
    name,
    whole_number,
    whole_number,
    whole_number,
    whole_number,
    whole_number,
    whole_number,
    counts,
    optional(whole_number),
    optional(whole_number),
    optional(whole_number),
    whole_number,
)  # server, start time; active_verdicts.FIELDS; histogram of times; ages; run
VERDICT_ROWS = rows(
    name,
    whole_number,
    one_of(*KINDS),
    number,
    whole_number,
    whole_number,
    whole_number,
    whole_number,
    number,
    boolean,
)  # verdicts.Verdict.plain
WITNESS_ROWS = rows(whole_number, name, name, whole_number)  # seat, site, life, servers seen
FIELDS = {
    DIGEST: {
        'forwarder': name,
        'seq': whole_number,
        'holds': whole_number,
        'life': optional(name),
        'stamp': optional(whole_number),
        'held': whole_number,
        'gifts': amounts,
        'wants': amounts,
    },
    PLAN: {
        'forwarder': name,
        'seq': whole_number,
        'life': name,
        'version': whole_number,
        'stamp': whole_number,
        'leases': amounts,
        'forwarders': whole_number,
    },
    SEEK: {'task': name, 'life': name, 'seq': whole_number, 'verb': one_of(*VERBS), 'number': whole_number},
    VOTE: {
        'task': name,
        'life': name,
        'seq': whole_number,
        'voter': name,
        'yes': boolean,
        'number': whole_number,
    },
    FREE: {'task': name},
    ASK: {},
    STATUS: {
        'verdicts': rows(
            name,
            whole_number,
            one_of(*KINDS),
            number,
            whole_number,
            whole_number,
            whole_number,
            whole_number,
            number,
            optional(name),
        ),
        'witnesses': WITNESS_ROWS,
    },
}
# Fields added by a later minor version, with their validators and defaults.
OPTIONAL_FIELDS = {
    DIGEST: {
        'edition': (whole_number, 0),
        'mosts': (amounts, {}),
        'heard': (amounts, {}),
        'seat': (optional(whole_number), None),
        'site': (optional(name), None),
        'seen': (EVIDENCE_ROWS, []),
        'doubts': (rows(name, whole_number), []),
    },
    PLAN: {'edition': (whole_number, 0), 'mosts': (amounts, {}), 'verdicts': (VERDICT_ROWS, [])},
    ASK: {},
    SEEK: {},
    VOTE: {},
    FREE: {},
    STATUS: {
        'tasks': (rows(name, name, optional(whole_number), whole_number), []),
        'votes': (boolean, False),
    },
}


def pack(kind, fields):
    """Return the bytes of a frame."""
    body = msgpack.packb([MAJOR, MINOR, kind, fields])
    if len(body) > MAX_FRAME_BYTES:
        raise BadFrameError('%s too large: %d bytes' % (kind, len(body)))
    return LENGTH.pack(len(body)) + body


def unpack(body):
    """Return (kind, fields) of a frame's body. The fields of an unknown kind are None."""
    try:
        message = msgpack.unpackb(body, strict_map_key=True)
    except Exception as err:  # the library raises exceptions of many types for malformed input
        raise BadFrameError('not MessagePack: %s' % ' '.join(str(err).split())[:100]) from None
    if type(message) is not list or len(message) < 4:
        raise BadFrameError('not a frame: %.60r' % (message,))
    major, _, kind, fields = whole_number(message[0]), whole_number(message[1]), name(message[2]), message[3]
    if major != MAJOR:
        raise UnsupportedVersionError('version %d.%d, and this is %d.%d' % (major, message[1], MAJOR, MINOR))
    if kind not in FIELDS:
        return kind, None
    if type(fields) is not dict:
        raise BadFrameError('%s without fields' % kind)
    missing = [field for field in FIELDS[kind] if field not in fields]
    if missing:
        raise BadFrameError('%s without %s' % (kind, missing[0]))
    values = {field: read(fields[field]) for field, read in FIELDS[kind].items()}
    for field, (read, default) in OPTIONAL_FIELDS[kind].items():
        values[field] = read(fields[field]) if field in fields else default
    return kind, values


class Frames(FrameReader):
    """Extracts frames from a stream of bytes."""

    __slots__ = ()

    def __init__(self):
        super().__init__(MAX_FRAME_BYTES, BadFrameError)

    def feed(self, data):
        """Return all complete frames as (kind, fields). Raise BadFrameError for a malformed one."""
        return [unpack(body) for body in super().feed(data)]
