"""Messages between replicas of change logs, and their frames.

A frame is a four-byte big-endian length (at most MAX_FRAME_BYTES), then MessagePack of
[major, minor, message]. Fields that a newer minor version adds are skipped; another major version is refused.
Times and durations are in ticks (10,000 per second).
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from ..framing import LENGTH, FrameReader

MAJOR, MINOR = 1, 0
MAX_FRAME_BYTES = 1 << 20
MAX_ORIGINS = 64  # logs in one message
MAX_BEHIND_NAMES = 32

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Text = Annotated[str, Meta(max_length=65_536)]
Count = Annotated[int, Meta(ge=0, lt=1 << 53)]


class BadFrameError(Exception):
    """A frame or message is malformed or not expected; its link is closed."""


class UnsupportedVersionError(BadFrameError):
    """The peer uses an unsupported major version of the protocol."""


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A position in a log. Each start of a writer begins an epoch; positions compare by epoch first."""

    epoch: Count = 0
    sequence: Count = 0


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key and the value that a change sets. A purge has no value."""

    key: Name
    value: Text = ''


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change, whose items take effect together."""

    sequence: Count
    kind: Name
    items: Annotated[list[Item], Meta(min_length=1, max_length=1_024)]
    at: Count = 0  # Unix time in milliseconds by the writer's clock


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive changes of one epoch, from the sequence after `after` on."""

    epoch: Count
    after: Count
    changes: Annotated[list[Change], Meta(max_length=65_536)]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The accumulated state of a log at a position.

    Purges are not listed: the receiver has to treat everything that it had before `purged_before` (Unix time
    in milliseconds) as purged.
    """

    position: Position
    configuration: dict[Name, Text]
    purged_before: Count
    history: Span | None = None  # for a relay: the latest changes up to the position


class Sync(msgspec.Struct, frozen=True, tag='sync'):
    """The regular message of a replica to a neighbour: its state, and changes that the neighbour lacks."""

    name: Name
    stamp: Count  # the sender's clock when it sent this
    echo: Count | None = None  # newest stamp that the sender has received from this neighbour
    positions: dict[Name, Position] = {}
    # By origin: the sender's log lacks nothing older than this. Absent if unknown.
    ages: dict[Name, Count] = {}
    spans: dict[Name, Span] = {}
    snapshots: dict[Name, Snapshot] = {}
    complete: dict[Name, Position] = {}  # lowest position of the sender and its descendants
    behind: Annotated[
        list[Name], Meta(max_length=MAX_BEHIND_NAMES)
    ] = []  # names of descendants that lag behind
    below: Count = 0  # number of descendants


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """The first message on a link, sent by the dialling end."""

    name: Name
    installation: Name


class StatusRequest(msgspec.Struct, frozen=True, tag='status'):
    """An operator's request for the status of a replica."""


class Status(msgspec.Struct, frozen=True, tag='status-is'):
    """The status of a replica and its descendants."""

    name: Name
    positions: dict[Name, Position]
    complete: dict[Name, Position]
    ages: dict[Name, Count]
    behind: list[Name]
    below: Count
    configuration: dict[Name, Text]


class PutRequest(msgspec.Struct, frozen=True, tag='put'):
    """A request to put a change."""

    kind: Name
    items: Annotated[list[Item], Meta(min_length=1, max_length=1_024)]


class TakeBackRequest(msgspec.Struct, frozen=True, tag='take-back'):
    """A request to take a configuration change back."""

    sequence: Count


class PutAnswer(msgspec.Struct, frozen=True, tag='put-is'):
    """The position of a change that was put, or the reason why it was refused."""

    position: Position | None = None
    refused: Text = ''


Message = Hello | Sync | StatusRequest | Status | PutRequest | TakeBackRequest | PutAnswer


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A version and a message, which is decoded only if the major version is supported."""

    major: Count
    minor: Count
    message: msgspec.Raw


def pack(message):
    """Return the frame of a message. Raise BadFrameError if it is too long."""
    body = msgspec.msgpack.encode((MAJOR, MINOR, message))
    if len(body) > MAX_FRAME_BYTES:
        raise BadFrameError('a message of %d bytes' % len(body))
    return LENGTH.pack(len(body)) + body


def unpack(body, kind=Message):
    """Return the message in the body of a frame. Raise BadFrameError if it is malformed."""
    try:
        frame = msgspec.msgpack.decode(body, type=Frame)
        if frame.major != MAJOR:
            raise UnsupportedVersionError(
                'unsupported version %d.%d, this is %d.%d' % (frame.major, frame.minor, MAJOR, MINOR)
            )
        return msgspec.msgpack.decode(frame.message, type=kind)
    except msgspec.MsgspecError as err:
        raise BadFrameError(' '.join(str(err).split())[:200]) from None


def frame_reader():
    """Return a reader of this protocol's frames."""
    return FrameReader(MAX_FRAME_BYTES, BadFrameError)
