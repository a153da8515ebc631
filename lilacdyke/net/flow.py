"""A body on its way from one connection to another, passed on as it comes.

Owns the framing towards the sink and the back-pressure: while the sink takes no more, the source is not read.
Must never hold bytes beyond what the sink's transport already has, or end a body that is not whole as if it
were.
"""

PIECE = 32_768  # bytes read at a time, and held in a transport before the source pauses
STALL_TIMEOUT = 20_000  # ticks of silence after which a source is taken to give no more


class Flow:
    """One body under way. Its sink has a transport; its source is told pause() and go_on()."""

    __slots__ = ('source', 'transport', 'chunked', 'progressed', 'paused', 'finished')

    def __init__(self, source, transport, chunked, progressed):
        self.source, self.transport, self.chunked = source, transport, chunked
        self.progressed = progressed  # called when the sink takes more again
        self.paused = self.finished = False
        transport.bufferSize = PIECE
        transport.registerProducer(self, True)

    def framed(self, data):
        """A piece as the sink is to read it."""
        return b'%x\r\n%s\r\n' % (len(data), data) if self.chunked and data else data

    def pass_on(self, data):
        """A piece has come."""
        if data and not self.finished:
            self.transport.write(self.framed(data))

    def end(self):
        """All of it has come: what still has to be written, which its sink does."""
        self.stop()
        return b'0\r\n\r\n' if self.chunked else b''

    def stop(self):
        """Nothing more is passed on."""
        if not self.finished:
            self.finished = True
            self.transport.unregisterProducer()

    # --- as the sink's producer ---------------------------------------------------------------------------

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
        """The sink's connection has ended: its protocol is told by its own connectionLost."""
        self.finished = True
