"""Ids of requests whose effect must not happen twice and which may have run, for some time after they ended.

A client that left may send such a request again, here or at another process of the node. Holds digests, as
clients choose the length of their ids.
"""

from hashlib import blake2b

from ..values import SECOND, InvalidValueError

RETENTION = 60 * SECOND  # ticks
MAX_IDS = 8_192  # beyond it, the oldest are forgotten
DIGEST_BYTES = 12


def digest(name):
    """Return the digest of a request's id as text."""
    return blake2b(name, digest_size=DIGEST_BYTES).hexdigest()


def valid_digests(values):
    """Return digests received from another process. Raise InvalidValueError if they are malformed."""
    if not isinstance(values, list) or not all(
        isinstance(text, str) and len(text) == 2 * DIGEST_BYTES for text in values
    ):
        raise InvalidValueError('malformed digests of ids')
    return values


class RecentIds:
    """Digests of ids, in order of their expiry."""

    __slots__ = ('clock', 'expiries')

    def __init__(self, clock):
        self.clock, self.expiries = clock, {}

    def __contains__(self, name):
        return self.expiries.get(digest(name), 0) > self.clock()

    def add(self, digests):
        """Add digests, and drop those that have expired."""
        now = self.clock()
        for text in digests:
            self.expiries.pop(text, None)
            self.expiries[text] = now + RETENTION
        while self.expiries:
            oldest = next(iter(self.expiries))
            if self.expiries[oldest] > now and len(self.expiries) <= MAX_IDS:
                break
            del self.expiries[oldest]

    def discard(self, name):
        """Forget the id of a request that is known not to have run."""
        self.expiries.pop(digest(name), None)

    def export(self):
        """Return the digests for another process of this node."""
        return list(self.expiries)
