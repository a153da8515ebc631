"""Frames between forwarders and planners: MessagePack in a length, versioned, read strictly.

Owns the form on the wire. A frame is four bytes of length (big-endian, MOST at most), then a MessagePack
array [major, minor, kind, fields]. A newer minor version may bring fields that this one does not know: they
are skipped. A newer major is refused. Must never guess at what is out of form, hold more than one frame's
bytes, or touch a socket.
"""

import msgpack

from ..framing import LENGTH, FrameReader
from .belief import BINS, KINDS
from .leases import VERBS

MAJOR, MINOR = 1, 2
MOST = 1 << 20  # bytes of one frame
AMOUNT = 1 << 40  # no grains, versions or spans beyond that
NAME = 200  # characters of a key or a life
ROWS = 1_024  # of evidence, or verdicts, in one frame


class BadFrame(Exception):
    """Bytes that are no frame: the link ends. Says why, in one line."""


class OtherMajor(BadFrame):
    """The other side speaks a version that this one does not."""


def whole(value):
    """A number that may be an amount, a version or a span."""
    if type(value) is not int or not 0 <= value < AMOUNT:
        raise BadFrame('no whole number in range: %.60r' % (value,))
    return value


def name(value):
    """A word."""
    if type(value) is not str or not 0 < len(value) <= NAME:
        raise BadFrame('no name: %.60r' % (value,))
    return value


def maybe(read):
    """What may be nil."""
    return lambda value: None if value is None else read(value)


def amounts(value):
    """Grains by key."""
    if type(value) is not dict:
        raise BadFrame('no table: %.60r' % (value,))
    return {name(key): whole(amount) for key, amount in value.items()}


def part(value):
    """A number from 0 up that need not be whole."""
    if type(value) not in (int, float) or not 0 <= value < AMOUNT:
        raise BadFrame('no number in range: %.60r' % (value,))
    return value


def truth(value):
    if type(value) is not bool:
        raise BadFrame('neither true nor false: %.60r' % (value,))
    return value


def word(*words):
    """One of these."""

    def read(value):
        if value not in words:
            raise BadFrame('none of %s: %.60r' % (', '.join(words), value))
        return value

    return read


def counts(value):
    """A short row of counts."""
    if type(value) is not list or len(value) > BINS:
        raise BadFrame('no counts: %.60r' % (value,))
    return [whole(count) for count in value]


def rows(*reads):
    """Rows with a field for each of these; more fields, of a later minor version, are skipped."""

    def read(value):
        if type(value) is not list or len(value) > ROWS:
            raise BadFrame('no rows: %.60r' % (value,))
        found = []
        for row in value:
            if type(row) is not list or len(row) < len(reads):
                raise BadFrame('no row: %.60r' % (row,))
            found.append([each(field) for each, field in zip(reads, row)])
        return found

    return read


# The fields of each kind, all of which must be there.
DIGEST, PLAN, ASK, TOLD, SEEK, VOTE, FREE = 'digest', 'plan', 'ask', 'told', 'seek', 'vote', 'free'
SEEN = rows(
    name, whole, whole, whole, whole, whole, whole, counts, maybe(whole), maybe(whole), maybe(whole), whole
)  # a server, its start; belief.FIELDS; times; ages; run
VERDICTS = rows(
    name, whole, word(*KINDS), part, whole, whole, whole, whole, part, truth
)  # verdicts.Verdict.plain
WITNESSES = rows(whole, name, name, whole)  # seat, site, life, servers seen
FIELDS = {
    DIGEST: {
        'forwarder': name,
        'seq': whole,
        'holds': whole,
        'life': maybe(name),
        'stamp': maybe(whole),
        'held': whole,
        'gifts': amounts,
        'wants': amounts,
    },
    PLAN: {
        'forwarder': name,
        'seq': whole,
        'life': name,
        'version': whole,
        'stamp': whole,
        'leases': amounts,
        'forwarders': whole,
    },
    SEEK: {'task': name, 'life': name, 'seq': whole, 'verb': word(*VERBS), 'number': whole},
    VOTE: {'task': name, 'life': name, 'seq': whole, 'voter': name, 'yes': truth, 'number': whole},
    FREE: {'task': name},
    ASK: {},
    TOLD: {
        'verdicts': rows(name, whole, word(*KINDS), part, whole, whole, whole, whole, part, maybe(name)),
        'witnesses': WITNESSES,
    },
}
# Fields that came with a later minor version, with what holds where they are not there.
LATER = {
    DIGEST: {
        'edition': (whole, 0),
        'mosts': (amounts, {}),
        'heard': (amounts, {}),
        'seat': (maybe(whole), None),
        'site': (maybe(name), None),
        'seen': (SEEN, []),
        'doubts': (rows(name, whole), []),
    },
    PLAN: {'edition': (whole, 0), 'mosts': (amounts, {}), 'verdicts': (VERDICTS, [])},
    ASK: {},
    SEEK: {},
    VOTE: {},
    FREE: {},
    TOLD: {'tasks': (rows(name, name, maybe(whole), whole), []), 'votes': (truth, False)},
}


def pack(kind, fields):
    """One frame's bytes."""
    body = msgpack.packb([MAJOR, MINOR, kind, fields])
    if len(body) > MOST:
        raise BadFrame('a %s of %d bytes' % (kind, len(body)))
    return LENGTH.pack(len(body)) + body


def unpack(body):
    """(kind, fields) of a frame's body; a kind that this version does not know gives None for its fields."""
    try:
        tree = msgpack.unpackb(body, strict_map_key=True)
    except Exception as err:  # the library raises many kinds, all of which mean the same
        raise BadFrame('not MessagePack: %s' % ' '.join(str(err).split())[:100]) from None
    if type(tree) is not list or len(tree) < 4:
        raise BadFrame('no frame: %.60r' % (tree,))
    major, _, kind, fields = whole(tree[0]), whole(tree[1]), name(tree[2]), tree[3]
    if major != MAJOR:
        raise OtherMajor('version %d.%d, and this is %d.%d' % (major, tree[1], MAJOR, MINOR))
    if kind not in FIELDS:
        return kind, None
    if type(fields) is not dict:
        raise BadFrame('%s without fields' % kind)
    missing = [field for field in FIELDS[kind] if field not in fields]
    if missing:
        raise BadFrame('%s without %s' % (kind, missing[0]))
    told = {field: read(fields[field]) for field, read in FIELDS[kind].items()}
    for field, (read, usual) in LATER[kind].items():
        told[field] = read(fields[field]) if field in fields else usual
    return kind, told


class Frames(FrameReader):
    """Frames out of a stream, however it was cut."""

    __slots__ = ()

    def __init__(self):
        super().__init__(MOST, BadFrame)

    def feed(self, data):
        """All that is whole by now, as (kind, fields). A BadFrame ends the stream."""
        return [unpack(body) for body in super().feed(data)]
