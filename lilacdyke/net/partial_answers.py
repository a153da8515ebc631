"""Answers of unknown length of which a part has arrived: when they are streamed.

Such an answer is buffered at first, so that its request can still be retried or hedged if it breaks off. It
may turn out to be a large one, which has to be passed on as it arrives. What counts as arriving depends on
the alternative: to go on waiting, or to answer without it.
"""

from .links import MAX_PIECE_GAP
from .sockets import time_unread

RELAY_FRACTION = 4  # the last quarter of a request's time is kept for relaying a partial answer
PROGRESS_FRACTION = 16  # an answer still arrives if it made progress over 1/16 of its request's time
# Ticks since its first piece after which an answer that arrives at its request's limit is streamed. A small
# one that breaks off does so at once; time limits have 500 ticks of slack.
MIN_ANSWER_AGE = 250


class PartialAnswers:
    """Decides for a node's requests when a partial answer is streamed."""

    def __init__(self, node):
        self.node = node

    def piece_received(self, attempt):
        """Handle a piece of an answer of unknown length.

        A large answer that is buffered until the limit would be late, so streaming starts after three
        quarters of the request's time, less the time for which the data lay unread in this node.
        """
        now = self.node.clock()
        if attempt.relay_at is None:
            limit = attempt.active.tx.limit or attempt.exchange.until
            late = time_unread(attempt.exchange.link.transport)
            attempt.relay_at = limit - attempt.active.wait // RELAY_FRACTION - late
            self.node.deadlines.at(max(now, attempt.relay_at), self.relay_due, attempt.number)
        elif now >= attempt.relay_at:
            self.relay_due(attempt.number)

    def relay_due(self, number):
        """Stream a partial answer that makes progress and has been buffered for long enough."""
        attempt = self.node.attempts.get(number)
        if attempt is not None and self.node.is_open(attempt.active):
            self.stream_longest(self.progressing(attempt.active))

    def answer_at_limit(self, active):
        """Stream the answer that is still arriving as the request would be answered without it.

        Return whether there is one.
        """
        old_enough = self.node.clock() - MIN_ANSWER_AGE
        arriving = [link for link in self.arriving(active) if link.first_piece <= old_enough]
        return self.stream_longest(self.progressing(active) + arriving)

    def defer_limit(self, active):
        """Return whether the limit of a request was deferred, as an answer has begun just now.

        Whether it breaks off or goes on arriving shows within MIN_ANSWER_AGE. A limit is deferred once.
        """
        begun = [link.first_piece for link in self.arriving(active)]
        if active.limit_deferred or not begun:
            return False
        active.limit_deferred = True
        when = max(self.node.clock(), min(begun) + MIN_ANSWER_AGE)
        self.node.deadlines.at(when, self.node.limit_due, active.number)
        return True

    def extended_limit(self, attempt, limit):
        """Return until when an attempt may exceed its own limit because its answer is arriving, or None.

        limit: of its request, which is still open. Once that has passed, the request's own deadline decides
        first.
        """
        now, link, active = self.node.clock(), attempt.exchange.link, attempt.active
        if now >= limit:
            return now + MIN_ANSWER_AGE
        if link in self.progressing(active):
            return limit
        if link in self.arriving(active):
            return min(limit, now + MAX_PIECE_GAP)
        return None

    def progressing(self, active):
        """Return the connections on which an answer to this request has been arriving for some time, or of
        which a long part has arrived.

        A short answer that stalled after its first piece is more likely to fail than to be large, so it stays
        buffered for a retry or a refusal.
        """
        now, spread = self.node.clock(), active.wait // PROGRESS_FRACTION
        return [
            link
            for link in self.links(active)
            if link.still_receiving(now, spread) or link.holds_long_part(now, MIN_ANSWER_AGE)
        ]

    def arriving(self, active):
        """Return the connections on which an answer to this request arrives now."""
        now = self.node.clock()
        return [link for link in self.links(active) if link.is_arriving(now)]

    @staticmethod
    def links(active):
        """Return the connections that carry this request's attempts."""
        return [attempt.exchange.link for attempt in active.attempts if attempt.exchange.link]

    @staticmethod
    def stream_longest(links):
        """Start to stream the partial answer with the most data, and return whether there is one.

        This ends its attempt as committed, and so its request.
        """
        if links:
            max(links, key=lambda link: len(link.reader.message.body)).stream_partial_answer()
        return bool(links)
