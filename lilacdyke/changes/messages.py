"""What replicas of change logs tell each other, as typed messages, and their frames.

A frame is four bytes of length (big-endian, MOST_BYTES at most), then MessagePack of [major, minor, message].
Fields that a newer minor version adds are skipped; a newer major version is refused. Times and spans are
ticks (10,000 a second).
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from ..framing import LENGTH, FrameReader

MAJOR, MINOR = 1, 0
MAX_FRAME_BYTES = 1 << 20  # of one frame
MAX_ORIGINS = 64  # logs that one message tells of
MAX_BEHIND_NAMES = 32  # replicas named as behind

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Text = Annotated[str, Meta(max_length=65_536)]
Count = Annotated[int, Meta(ge=0, lt=1 << 53)]


class BadFrameError(Exception):
    """Bytes that are no frame of this protocol: the link ends."""


class UnsupportedVersionError(BadFrameError):
    """The peer speaks a major version that this one does not."""


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """How far a log has been taken in. An epoch is one writer's time; a later one outranks all of an earlier
    one."""

    epoch: Count = 0
    sequence: Count = 0


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One key that a change sets. For a purge the value says nothing."""

    key: Name
    value: Text = ''


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One change: all of its items take effect together, or none."""

    sequence: Count
    kind: Name
    items: Annotated[list[Item], Meta(min_length=1, max_length=1_024)]
    at: Count = 0  # Unix time in milliseconds, as its writer saw it


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one epoch, each the next after the one before; the first follows `after`."""

    epoch: Count
    after: Count
    changes: Annotated[list[Change], Meta(max_length=65_536)]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that a log comes to at a position. Purges are not listed: whoever takes a snapshot has to treat all
    that it had before `purged_before` (Unix time in milliseconds) as purged."""

    position: Position
    configuration: dict[Name, Text]
    purged_before: Count
    history: Span | None = None  # for a relay: the latest changes up to the position, to pass on one by one


class Sync(msgspec.Struct, frozen=True, tag='sync'):
    """What one replica tells its neighbour."""

    name: Name
    stamp: Count  # the teller's clock as it was sent
    echo: Count | None = None  # the newest stamp that the teller has heard of its neighbour
    positions: dict[Name, Position] = {}
    ages: dict[
        Name, Count
    ] = {}  # by origin: the teller's log lacks nothing that is older; not there: not known
    spans: dict[Name, Span] = {}
    snapshots: dict[Name, Snapshot] = {}
    complete: dict[Name, Position] = {}  # what the teller and all below it have at the least
    behind: Annotated[list[Name], Meta(max_length=MAX_BEHIND_NAMES)] = []  # who of them is not that far
    below: Count = 0  # how many replicas are below


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """The first message on a link, from who dialled it."""

    name: Name
    installation: Name


class StatusRequest(msgspec.Struct, frozen=True, tag='status'):
    """Staff ask how far a replica is."""


class Status(msgspec.Struct, frozen=True, tag='status-is'):
    """How far a replica is, and all below it."""

    name: Name
    positions: dict[Name, Position]
    complete: dict[Name, Position]
    ages: dict[Name, Count]
    behind: list[Name]
    below: Count
    configuration: dict[Name, Text]


class PutRequest(msgspec.Struct, frozen=True, tag='put'):
    """Staff, or a program, put a change."""

    kind: Name
    items: Annotated[list[Item], Meta(min_length=1, max_length=1_024)]


class TakeBackRequest(msgspec.Struct, frozen=True, tag='take-back'):
    """Staff take a change back."""

    sequence: Count


class PutAnswer(msgspec.Struct, frozen=True, tag='put-is'):
    """Where the change stands; or why it was refused."""

    position: Position | None = None
    refused: Text = ''


Message = Hello | Sync | StatusRequest | Status | PutRequest | TakeBackRequest | PutAnswer


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """The version, and a message that is read only if the major version fits."""

    major: Count
    minor: Count
    message: msgspec.Raw


def pack(message):
    """A message's frame."""
    body = msgspec.msgpack.encode((MAJOR, MINOR, message))
    if len(body) > MAX_FRAME_BYTES:
        raise BadFrameError('a message of %d bytes' % len(body))
    return LENGTH.pack(len(body)) + body


def unpack(body, kind=Message):
    """The message of a frame without its length."""
    try:
        frame = msgspec.msgpack.decode(body, type=Frame)
        if frame.major != MAJOR:
            raise UnsupportedVersionError(
                'version %d.%d, and this is %d.%d' % (frame.major, frame.minor, MAJOR, MINOR)
            )
        return msgspec.msgpack.decode(frame.message, type=kind)
    except msgspec.MsgspecError as err:
        raise BadFrameError(' '.join(str(err).split())[:200]) from None


def frame_reader():
    """A reader of this protocol's frames."""
    return FrameReader(MAX_FRAME_BYTES, BadFrameError)
