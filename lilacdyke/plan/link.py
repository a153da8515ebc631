"""Links between forwarders and planners, as Twisted protocols.

Owns the bytes: frames in, frames out, and what a link that ends leaves. Must never queue more than one frame
for a peer that does not read, let bad bytes past the link that they came on, or decide: that is
forwarder.py's and planner.py's.
"""

from twisted.internet.protocol import Factory, Protocol

from ..net.logs import LOG, warn
from ..net.sockets import Outgoing, no_delay, waiting
from .frames import ASK, DIGEST, FREE, PLAN, SEEK, TOLD, VOTE, BadFrame, Frames, OtherMajor, pack


class Speaker(Protocol):
    """One end of a link. heard: the kinds that are expected here, each with the method that takes its
    fields."""

    heard = {}

    def __init__(self):
        self.frames, self.ended = Frames(), False

    def connectionMade(self):
        no_delay(self.transport)

    def dataReceived(self, data):
        if self.ended:
            return
        try:
            for kind, fields in self.frames.feed(data):
                if kind in self.heard and not self.ended:
                    getattr(self, self.heard[kind])(fields)
        except OtherMajor as err:
            self.bad('link refused', err)
        except BadFrame as err:
            self.bad('frame not read', err)
        except Exception:
            LOG.exception('fault')
            self.end()

    def bad(self, event, err):
        """Guards against bytes that are no frame: they end this link and nothing else."""
        self.count_bad()
        warn(event, peer='%s:%d' % (self.transport.getPeer().host, self.transport.getPeer().port), reason=err)
        self.end()

    def say(self, kind, fields):
        """Send a frame, if all that was sent before has gone to the system; whether it was sent."""
        if self.ended or waiting(self.transport):
            return False
        self.transport.write(pack(kind, fields))
        return True

    def end(self):
        """Nothing more is said or heard."""
        if not self.ended:
            self.ended = True
            if self.transport:
                self.transport.abortConnection()


class ToPlanner(Speaker, Outgoing):
    """A forwarder's end."""

    heard = {PLAN: 'told'}

    def __init__(self, share, name):
        super().__init__()
        self.share, self.name = share, name

    def told(self, plan):
        self.share.planned(self.name, plan)

    def count_bad(self):
        self.share.node.count('bad_frames')

    def digest(self, fields):
        """Whether it was sent: one that finds the last one still unsent is not; the next says more."""
        return self.say(DIGEST, fields)

    def connectionLost(self, reason=None):
        self.ended = True
        self.share.lost(self)


class ToForwarder(Speaker):
    """A planner's end."""

    heard = {DIGEST: 'told', ASK: 'asked', SEEK: 'sought'}

    def __init__(self, desk):
        super().__init__()
        self.desk = desk

    def connectionMade(self):
        super().connectionMade()
        self.desk.opened(self)

    def told(self, digest):
        plan = self.desk.told(digest)
        if plan is not None:
            self.say(PLAN, plan)

    def sought(self, message):
        """A seeker asks for a vote."""
        answer = self.desk.sought(self, message)
        if answer is not None:
            self.say(VOTE, answer)

    def free(self, task):
        """A task that it waits for is free."""
        self.say(FREE, {'task': task})

    def asked(self, fields):
        """Staff ask what is held."""
        self.say(TOLD, self.desk.held())

    def count_bad(self):
        self.desk.counts['bad_frames'] += 1

    def connectionLost(self, reason=None):
        self.ended = True
        self.desk.closed(self)


class Desk(Factory):
    """A planner's listening side. most: links at once; beyond that the one that said nothing for the longest
    makes way."""

    noisy = False

    def __init__(self, counts, most, tell, held=dict, vote=lambda message: (None, [])):
        self.counts, self.most, self.tell, self.held, self.vote = counts, most, tell, held, vote
        self.seekers = {}  # by life: the link on which it last sought something
        self.links = {}  # the longest silent first

    def buildProtocol(self, addr):
        return ToForwarder(self)

    def opened(self, link):
        """Guards against peers that connect and say nothing, and against a forwarder whose old links were
        never ended."""
        if len(self.links) >= self.most:
            first = next(iter(self.links))
            del self.links[first]
            self.counts['crowded_out'] += 1
            first.end()
        self.links[link] = None

    def closed(self, link):
        self.links.pop(link, None)
        self.seekers = {life: other for life, other in self.seekers.items() if other is not link}

    def sought(self, link, message):
        """A voter's answer or None; who waits for what became free is told."""
        answer, free = self.vote(message)
        self.seekers[message['life']] = link
        if len(self.seekers) > self.most:
            del self.seekers[next(iter(self.seekers))]
        for life in free:
            if life in self.seekers:
                self.seekers[life].free(message['task'])
        return answer

    def told(self, digest):
        self.counts['digests'] += 1
        return self.tell(digest)
