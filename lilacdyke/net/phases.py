"""Where clients' connections stand, and for how long each may stay there.

Owns the phases, their times, and the order in which connections make way when places are needed. Must never
end a connection that owes an answer, nor one that has a request unread.
"""

from .sockets import quiet, waiting

# Nothing has come on it yet; nothing is owed on it; part of a request is here; a request is being answered;
# it has had its last answer and may close; a large answer is on its way.
FRESH, IDLE, RECEIVING, ASKED, CLOSING, STREAMING = (
    'fresh',
    'resting',
    'half',
    'asked',
    'parting',
    'streaming',
)
# How long (ticks) it may stay there; while over half of the places are taken; and while nobody is accepted
# any more. In the order in which they make way.
STAYS = {
    FRESH: (15_000, 500, 500),
    CLOSING: (10_000, 1_000, 1_000),
    RECEIVING: (24_000, 24_000, 5_000),
    STREAMING: (100_000, 100_000, 100_000),
    IDLE: (25_000, 1_000, 1_000),
}
NORMAL, BUSY, FULL = range(3)  # which of the three times holds
TRAFFIC_TIMED = (
    RECEIVING,
    STREAMING,
)  # bytes that come or go give these time, so they are not in the order of their times
LOOK = 1_000  # ticks between two looks at who has stayed for too long
CHECK_INTERVAL_FULL = LOOK // 10  # the same while nobody is accepted
MAX_BODY_PAUSE = STAYS[RECEIVING][NORMAL]  # the longest pause between two pieces of a request
MAX_WRITE_STALL = STAYS[STREAMING][NORMAL]  # for one side of a connection to take more


class Phases:
    """The connections of all clients by their phase, the longest there first."""

    def __init__(self, clock):
        self.clock = clock
        self.by_phase = {phase: {} for phase in (*STAYS, ASKED)}

    def put(self, client, phase, since):
        """A connection stands there from this time on."""
        if client.phase != phase:
            if client.phase:
                del self.by_phase[client.phase][client.number]
            self.by_phase[phase][client.number] = client
            client.phase = phase
        client.since = since

    def remove(self, client):
        """A connection has ended."""
        del self.by_phase[client.phase][client.number]
        client.phase = None

    def count(self, phase):
        """How many connections stand there."""
        return len(self.by_phase[phase])

    def listed(self, phase):
        """The connections there, which may leave while the caller goes through them."""
        return list(self.by_phase[phase].values())

    def make_room(self, places, need):
        """End connections that have stayed for too long, but none that has a request unread; those that may
        ask again go last, until there are so many places. Guards against clients that say nothing, send half
        a request, or never close."""
        now, freed = self.clock(), 0
        for phase, stays in STAYS.items():
            for client in self.listed(phase):
                if now < client.since + stays[need] or phase == IDLE and freed >= places:
                    if phase in TRAFFIC_TIMED:
                        continue
                    break
                freed += self.overdue(client, now)

    def close_idle(self, fresh_since, resting_since):
        """End connections between requests that have been so since before these times."""
        for phase, latest in ((FRESH, fresh_since), (IDLE, resting_since)):
            for client in self.listed(phase):
                if client.since <= latest:
                    self.overdue(client, self.clock())

    def overdue(self, client, now):
        """A connection has stayed for too long. Whether it makes way."""
        return OVERDUE_HANDLERS[client.phase](client, now)


def closing_overdue(client, now):
    """It has had its last answer, and the client has not closed."""
    still_sending = (
        client.discards_body and now < client.since + MAX_BODY_PAUSE
    )  # and may read its answer only then
    still_flushing = waiting(client.transport) and now < client.since + MAX_WRITE_STALL
    if still_sending or still_flushing:
        return False
    client.finish_close()
    return True


def streaming_overdue(client, now):
    """A large answer has not moved. A silent server is the answer's own deadline's to see to."""
    download = client.download
    if download and download.until is not None and not download.flow.paused:
        return False
    client.listener.node.count('not_read')
    client.closed_for = 'answer not read'
    client.transport.abortConnection()
    return True


def receiving_overdue(client, now):
    """Part of a request is here and the rest does not come. More of it may lie unread: that is looked at once
    a request, as one that drips may always have something there."""
    upload = client.upload
    if upload and upload.reading_paused and now < client.since + MAX_WRITE_STALL:
        return False  # it is this side that does not read on
    spared, client.spared = client.spared, True
    if not spared and not quiet(client.transport):
        return False
    client.cancel_request()
    client.refuse(408, 'the request did not come')
    return True


def idle_overdue(client, now):
    """Nothing is owed on it."""
    if not quiet(client.transport):
        return False
    client.close_unused()
    return True


OVERDUE_HANDLERS = {
    FRESH: idle_overdue,
    IDLE: idle_overdue,
    CLOSING: closing_overdue,
    STREAMING: streaming_overdue,
    RECEIVING: receiving_overdue,
}
