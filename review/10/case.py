"""A node is killed and comes back while discovery is down; what reaches it must be answered in time."""

import os
import random
import signal
import socket
import threading
import time

from nodes_2 import Agent, Server, entry, field, head_of, ready, start_node, write_page
from stand_2 import TROUBLE, main

# Classes and deadlines of the check-in fleet (BRIEF, "Work"); a try is given up after 50 to 80% of the limit.
PROFILES = [
    {
        **{'name': 'booking-read', 'effect': 'free', 'group': 'all', 'repeatWindowS': 5.0},
        **{'hardLimitS': 2.0, 'serviceGoalS': 0.5, 'lateRevenue': 0.2, 'revenue': 1.0, 'stream': False},
    },
    {
        **{'name': 'seat-change', 'effect': 'guarded', 'group': 'all', 'repeatWindowS': 0.4},
        **{'hardLimitS': 0.6, 'serviceGoalS': 0.25, 'lateRevenue': 0.2, 'revenue': 1.0, 'stream': False},
    },
]
TRY_SHARE = 0.5, 0.8
LATE = 0.5 + 0.05  # what an answer may be late, with the protocol page's 50 ms
BACK_AFTER = 1.0  # nodes come back after 1 to 7.2 s
NOTICED_AFTER = 2.6  # the front goes on sending to a dead node for 1.7 to 3.5 s
OUTAGE = 8.0  # seconds that discovery is down
INTERVAL = 0.025


def serve(connection, head, rest):
    """Answer one request of a cache or the origin."""
    length = int(field(head, b'content-length') or 0)
    while len(rest) < length:
        rest += connection.recv(65_536)
    time.sleep(0.03)
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue')
    return rest[length:]


class Client:
    """One request on a connection of its own, as the front deals them out."""

    def __init__(self, case, port, number, rng):
        self.name, self.wait = 'r%d' % number, 0.6 * rng.uniform(*TRY_SHARE)
        self.case, self.port = case, port
        self.asked = self.outcome = None  # when its last byte was written; what came of it
        self.late = 0

    def run(self):
        try:
            made = socket.create_connection(('127.0.0.1', self.port), 1)
        except OSError:
            self.outcome = 'unreachable'
            return
        with made:
            made.settimeout(4)
            try:
                made.sendall(
                    b'PUT /seat-change/booking-%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\n'
                    b'Idempotency-Key: %s\r\nReq-Deadline: %.3f\r\nContent-Length: 3\r\n\r\n12A'
                    % (self.name.encode(), self.name.encode(), self.name.encode(), self.wait)
                )
                self.asked = time.monotonic()
                head, _ = head_of(made)
                self.outcome = head.split(b' ')[1].decode() if head else 'an end with no answer'
            except OSError as err:
                self.outcome = 'no answer: %s' % err
        self.late = time.monotonic() - self.asked - self.wait if self.asked else 0

    def lost(self, since):
        """Return whether it was sent to the process that came back, and not answered in time."""
        if not self.asked or self.asked < since:
            return False  # what a killed node held is the client's to retry
        return not self.outcome.isdigit() or self.late > LATE


def play(case):
    rng = random.Random(1)
    entries = [entry('cache-%d' % number, Server(serve).port) for number in range(4)]
    entries.append(entry('core', Server(serve).port, kind='origin'))
    agent = Agent(entries)
    path, port = write_page(case, agent, entries, PROFILES)
    node = start_node(case, path, 'node')
    case.until(lambda: ready(port), 20, 'the node is ready')
    agent.up = not TROUBLE
    down_at = time.monotonic()
    case.note('discovery is %s' % ('down' if TROUBLE else 'up'))
    clients, died, back = [], None, None
    while not died or time.monotonic() < died + NOTICED_AFTER:
        client = Client(case, port, len(clients), rng)
        clients.append(client)
        threading.Thread(target=client.run, daemon=True).start()
        time.sleep(INTERVAL)
        now = time.monotonic()
        if not died and now > down_at + 2:
            os.kill(node.pid, signal.SIGKILL)
            node.wait()
            died = now
            case.note('killed the node')
        if died and not back and now > died + BACK_AFTER:
            start_node(case, path, 'node-again')
            back = now
    case.note('the front has noticed the death, and asks whether the node is ready')
    time.sleep(max(0, down_at + OUTAGE - time.monotonic()))
    agent.up = True
    case.note('discovery is up')
    case.until(lambda: ready(port), 10, 'the node is ready again')
    lost = [client for client in clients if client.lost(back)]
    for client in clients:
        if client.asked and client.asked > back - 0.2 or client in lost:
            case.note(
                '%s waits for %.3f: %s, %.3f s after its time%s'
                % (client.name, client.wait, client.outcome, client.late, ' (lost)' * (client in lost)),
                client.asked,
            )
    case.note('%d requests, %d lost' % (len(clients), len(lost)))
    return bool(lost)


main(__file__, play)
