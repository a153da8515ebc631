"""Frames in a stream: four bytes of length (big-endian), then so many bytes.

Owns where one frame ends and the next begins. Must never hold more than one frame's bytes beyond what came
last.
"""

from struct import Struct

LENGTH = Struct('>I')


class FrameReader:
    """Frames out of a stream, however it was cut. most: bytes of one; error: raised for a longer one."""

    __slots__ = ('buffer', 'most', 'error')

    def __init__(self, most, error):
        self.buffer, self.most, self.error = bytearray(), most, error

    def feed(self, data):
        """The bodies of all frames that are whole by now."""
        self.buffer += data
        found = []
        while len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if size > self.most:
                raise self.error('a frame of %d bytes' % size)
            if len(self.buffer) < LENGTH.size + size:
                break
            found.append(bytes(memoryview(self.buffer)[LENGTH.size : LENGTH.size + size]))
            del self.buffer[: LENGTH.size + size]
        return found
