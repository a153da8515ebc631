"""Streaming of a body from one connection to another.

Frames the body for the sink and applies back-pressure: while the sink's transport is full, the source
is paused. Buffers nothing beyond what the sink's transport holds, and never terminates a truncated body
as if it were complete.
"""

from .memory import LARGE_PIECE

PIECE_SIZE = LARGE_PIECE  # bytes buffered in a transport before its source is paused
STALL_TIMEOUT = 20_000  # ticks without data after which a source counts as stalled


class Flow:
    """A body being streamed. Pauses and resumes its source with pause() and resume()."""

    __slots__ = ('source', 'transport', 'chunked', 'progressed', 'paused', 'finished')

    def __init__(self, source, transport, chunked, progressed, piece_size=PIECE_SIZE):
        self.source, self.transport, self.chunked = source, transport, chunked
        self.progressed = progressed  # called when the sink accepts data again
        self.paused = self.finished = False
        transport.bufferSize = piece_size
        transport.registerProducer(self, True)

    def framed(self, data):
        """Return the data framed for the sink."""
        return b'%x\r\n%s\r\n' % (len(data), data) if self.chunked and data else data

    def pass_on(self, data):
        """Write a piece of the body to the sink."""
        if data and not self.finished:
            self.transport.write(self.framed(data))

    def end(self):
        """Finish the body and return the final bytes, which the caller has to write."""
        self.stop()
        return b'0\r\n\r\n' if self.chunked else b''

    def stop(self):
        """Stop forwarding and unregister from the sink's transport."""
        if not self.finished:
            self.finished = True
            self.transport.unregisterProducer()

    # Producer interface for the sink's transport

    def pauseProducing(self):
        if not self.finished:
            self.paused = True
            self.source.pause()

    def resumeProducing(self):
        if not self.finished:
            self.paused = False
            self.progressed()
            self.source.resume()

    def stopProducing(self):
        """Called when the sink's connection ends; its protocol handles that in connectionLost."""
        self.finished = True
