"""Length-prefixed framing of a byte stream: a 32-bit big-endian length, then the body.

A reader buffers at max_size one incomplete frame besides the latest data.
"""

from struct import Struct

LENGTH = Struct('>I')


class FrameReader:
    """Splits a stream into frames. max_size: of a body, in bytes; error: raised for a longer frame."""

    __slots__ = ('buffer', 'max_size', 'error')

    def __init__(self, max_size, error):
        self.buffer, self.max_size, self.error = bytearray(), max_size, error

    def feed(self, data):
        """Add received data and return the bodies of all frames that are complete."""
        self.buffer += data
        bodies = []
        while len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if size > self.max_size:
                raise self.error('a frame of %d bytes' % size)
            if len(self.buffer) < LENGTH.size + size:
                break
            bodies.append(bytes(memoryview(self.buffer)[LENGTH.size : LENGTH.size + size]))
            del self.buffer[: LENGTH.size + size]
        return bodies
