"""The regular log line: a node's counters, what its connections hold, what the busiest of them did."""

from ..values import SECOND
from .logs import log_event, log_warning

INTERVAL = 10 * SECOND  # ticks
BUSY_REQUESTS, BUSY_REFUSALS = 1_000, 4  # of one connection, from which its end is logged


class Figures:
    """Writes the line for a node."""

    def __init__(self, node):
        self.node = node
        self.most_requests = self.most_refusals = 0  # of one connection that ended since the last line

    def begin(self):
        """Schedule the first line."""
        self.node.deadlines.at(self.node.clock() + INTERVAL, self.write, 0)

    def connection_ended(self, client):
        """Record what a client's connection did, and log the end of a busy one."""
        self.most_requests = max(self.most_requests, client.requests)
        self.most_refusals = max(self.most_refusals, client.refusals)
        if client.requests >= BUSY_REQUESTS or client.refusals >= BUSY_REFUSALS:
            log_warning(
                'busy client closed',
                requests=client.requests,
                refusals=client.refusals,
                held=client.charged,
                why=client.closed_for or 'other side',
            )

    def write(self, _):
        """Write the line and schedule the next one."""
        node = self.node
        log_event(
            'figures',
            open=len(node.active_requests),
            clients=len(node.listener.table),
            links=node.caches.open,
            memory_kb=node.system.memory_kb(),
            resident_kb=node.system.resident_kb(),
            **self.held(),
            **self.busiest(),
            longest_turn_ms=self.longest_turn_ms(),
            **node.counts,
        )
        node.deadlines.at(node.clock() + INTERVAL, self.write, 0)

    def held(self):
        """Return the bytes that connections hold, by purpose, and what they held at most."""
        clients = [client.holdings() for client in self.node.listener.table]
        links = [link.holdings() for link in self.node.caches.table]
        return {
            'held_input': sum(row[0] for row in clients),
            'held_requests': sum(row[1] for row in clients),
            'held_answers': sum(row[0] + row[1] for row in links),
            'held_output': sum(row[2] for row in clients + links),
            'held_most': self.node.memory.peak,
        }

    def busiest(self):
        """Return the most requests and refusals of one connection since the last line."""
        clients = list(self.node.listener.table)
        most = {
            'most_requests': max([self.most_requests, *(client.requests for client in clients)]),
            'most_refusals': max([self.most_refusals, *(client.refusals for client in clients)]),
        }
        self.most_requests = self.most_refusals = 0
        return most

    def longest_turn_ms(self):
        """Return the longest turn of the event loop since the last line, in milliseconds."""
        reactor = self.node.reactor
        longest, reactor.longest_turn = getattr(reactor, 'longest_turn', 0), 0
        return int(longest * 1_000)
