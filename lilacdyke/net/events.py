"""Optional log lines about single requests, attempts and connections, with a rate limit.

They are off unless the command line asks for them. Logging an event never raises into the node.
"""

from ..values import SECOND
from .logs import log_event

BURST_SECONDS = 1  # size of the token bucket, in seconds at the full rate


class EventLog:
    """Write at most `rate` lines a second (0: none), by the node's monotonic clock.

    Lines over the limit are dropped; the next line that is written carries their number as `omitted`.
    """

    __slots__ = ('clock', 'rate', 'tokens', 'refilled_at', 'omitted')

    def __init__(self, clock, rate=0):
        self.clock, self.rate = clock, rate
        self.tokens, self.refilled_at, self.omitted = rate * BURST_SECONDS, clock(), 0

    def say(self, event, request=None, **fields):
        """Write one line. request: the client's `Req-Id` as bytes, or None if there is none."""
        if not self.rate:
            return
        now = self.clock()
        refill = max(0, now - self.refilled_at) * self.rate / SECOND
        self.tokens, self.refilled_at = min(self.rate * BURST_SECONDS, self.tokens + refill), now
        if self.tokens < 1:
            self.omitted += 1
            return
        self.tokens -= 1
        if request is not None:
            fields = {'request': request.decode('latin-1'), **fields}
        if self.omitted:
            fields['omitted'], self.omitted = self.omitted, 0
        log_event(event, **fields)
