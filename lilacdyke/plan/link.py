"""Links between forwarders and planners, as Twisted protocols.

Owns framing, and cleanup when a link closes. Must never queue more than one frame for a peer that does not
read, or let malformed bytes affect anything but the link that they came on. The decisions are in forwarder.py
and planner.py.
"""

from twisted.internet.protocol import Factory, Protocol

from ..net.logs import LOG, log_warning
from ..net.sockets import Outgoing, no_delay, waiting
from .frames import (
    ASK,
    DIGEST,
    FREE,
    PLAN,
    SEEK,
    STATUS,
    VOTE,
    BadFrameError,
    Frames,
    UnsupportedVersionError,
    pack,
)

# Bytes, so that the frames of one link take a short part of a turn of the event loop.
READ_SIZE = 8_192


class FrameProtocol(Protocol):
    """One end of a link. handlers: maps each kind of frame accepted here to the name of the method that
    handles its fields."""

    handlers = {}

    def __init__(self):
        self.frames, self.ended = Frames(), False

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.bufferSize = READ_SIZE

    def dataReceived(self, data):
        if self.ended:
            return
        try:
            for kind, fields in self.frames.feed(data):
                if kind in self.handlers and not self.ended:
                    getattr(self, self.handlers[kind])(fields)
        except UnsupportedVersionError as err:
            self.protocol_error('link refused', err)
        except BadFrameError as err:
            self.protocol_error('frame not read', err)
        except Exception:
            LOG.exception('fault')
            self.end()

    def protocol_error(self, event, err):
        """Log and count a malformed frame, and close this link."""
        self.count_bad_frame()
        log_warning(
            event, peer='%s:%d' % (self.transport.getPeer().host, self.transport.getPeer().port), reason=err
        )
        self.end()

    def say(self, kind, fields):
        """Send a frame unless earlier data is still buffered. Return whether it was sent."""
        if self.ended or waiting(self.transport):
            return False
        self.transport.write(pack(kind, fields))
        return True

    def end(self):
        """Abort the connection and ignore whatever arrives later."""
        if not self.ended:
            self.ended = True
            if self.transport:
                self.transport.abortConnection()


class ToPlanner(FrameProtocol, Outgoing):
    """A forwarder's end of a link."""

    handlers = {PLAN: 'plan_received'}

    def __init__(self, fleet_member, name):
        super().__init__()
        self.fleet_member, self.name = fleet_member, name

    def plan_received(self, plan):
        self.fleet_member.on_plan(self.name, plan)

    def count_bad_frame(self):
        self.fleet_member.node.count('bad_frames')

    def send_digest(self, fields):
        """Send a digest unless earlier data is still buffered; the next digest supersedes it.

        Return whether it was sent."""
        return self.say(DIGEST, fields)

    def connectionLost(self, reason=None):
        self.ended = True
        self.fleet_member.link_lost(self)


class ToForwarder(FrameProtocol):
    """A planner's end of a link."""

    handlers = {DIGEST: 'digest_received', ASK: 'status_requested', SEEK: 'vote_requested'}

    def __init__(self, factory):
        super().__init__()
        self.factory = factory

    def connectionMade(self):
        super().connectionMade()
        self.factory.link_opened(self)

    def digest_received(self, digest):
        plan = self.factory.digest_received(digest)
        if plan is not None:
            self.say(PLAN, plan)

    def vote_requested(self, message):
        """Answer a request for a vote."""
        answer = self.factory.vote_requested(self, message)
        if answer is not None:
            self.say(VOTE, answer)

    def task_free(self, task):
        """Notify the peer that a task it waits for is free."""
        self.say(FREE, {'task': task})

    def status_requested(self, fields):
        """Answer an operator's status request."""
        self.say(STATUS, self.factory.status())

    def count_bad_frame(self):
        self.factory.counts['bad_frames'] += 1

    def connectionLost(self, reason=None):
        self.ended = True
        self.factory.link_closed(self)


class PlannerFactory(Factory):
    """A planner's listening side. max_links: concurrent links; a new link beyond that replaces the oldest."""

    noisy = False

    def __init__(self, counts, max_links, on_digest, status=dict, vote=lambda message: (None, [])):
        self.counts, self.max_links, self.on_digest, self.status, self.vote = (
            counts,
            max_links,
            on_digest,
            status,
            vote,
        )
        self.seekers = {}  # by life: the link on which it last requested a vote
        self.links = {}  # in order of arrival

    def buildProtocol(self, addr):
        return ToForwarder(self)

    def link_opened(self, link):
        """Track a new link. Dropping the oldest at the limit keeps idle peers, and links that were never
        closed, from using up all of them."""
        if len(self.links) >= self.max_links:
            oldest = next(iter(self.links))
            del self.links[oldest]
            self.counts['crowded_out'] += 1
            oldest.end()
        self.links[link] = None

    def link_closed(self, link):
        self.links.pop(link, None)
        self.seekers = {life: other for life, other in self.seekers.items() if other is not link}

    def vote_requested(self, link, message):
        """Return the voter's answer, or None. Notify those that wait for a task that became free."""
        answer, waiting_lives = self.vote(message)
        self.seekers[message['life']] = link
        if len(self.seekers) > self.max_links:
            del self.seekers[next(iter(self.seekers))]
        for life in waiting_lives:
            if life in self.seekers:
                self.seekers[life].task_free(message['task'])
        return answer

    def digest_received(self, digest):
        self.counts['digests'] += 1
        return self.on_digest(digest)
