"""Clients that load a node at full speed, in a process of their own.

Run as a module: kind of flood (a class of this module), the node's port, seconds, options as JSON. It ends by
itself and prints the counts of requests sent and of answers.
"""

import contextlib
import itertools
import json
import selectors
import socket
import sys
import threading
import time

BATCH = 64  # requests a write
ID_STEP = 10_000_000  # between the first request numbers of two clients
COMERS_A_TURN = 20
FILLER = b'x' * 200_000
SHORT_FIELD = b'%03x:1\r\n'
SHORT_FIELDS = b''.join(SHORT_FIELD % number for number in range(2_048))


class Request:
    """How the requests of a flood look. `#` in the path stands for the request's number."""

    def __init__(self, path='/read/k', method='GET', short_fields=0, identity=True, body=0):
        self.first = b'%s %s HTTP/1.1\r\nHost: x\r\n' % (method.encode(), path.encode())
        self.rest = SHORT_FIELDS[: short_fields * len(SHORT_FIELD % 0)]
        self.rest += b'Content-Length: %d\r\n\r\n' % body if body else b'\r\n'
        self.identity = identity

    def text(self, number):
        """Return the head of one request."""
        name = b'Req-Id: flood-%d\r\n' % number if self.identity else b''
        return self.first.replace(b'#', b'%d' % number) + name + self.rest


class Flood:
    """Clients in threads, each with numbers of its own."""

    def __init__(self, port, seconds, connections=1, **options):
        self.port, self.until, self.connections = port, time.monotonic() + seconds, connections
        self.request, self.sent, self.answers = Request(**options), 0, 0

    def run(self):
        threads = [
            threading.Thread(target=self.repeat, args=(itertools.count(number * ID_STEP),))
            for number in range(self.connections)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def repeat(self, numbers):
        """Connect again and again until the time is over."""
        while time.monotonic() < self.until:
            with contextlib.suppress(OSError), socket.create_connection(('127.0.0.1', self.port), 5) as line:
                self.load(line, numbers)

    def load(self, line, numbers):
        """Use one connection."""
        raise NotImplementedError


class Pipeline(Flood):
    """Pipeline requests on each connection at full speed, and close at the end."""

    def __init__(self, port, seconds, reads=True, **options):
        super().__init__(port, seconds, **options)
        self.reads = reads

    def load(self, line, numbers):
        if self.reads:
            threading.Thread(target=self.read, args=(line,), daemon=True).start()
        line.settimeout(1)
        while time.monotonic() < self.until:
            data = b''.join(self.request.text(number) for number in itertools.islice(numbers, BATCH))
            while data and time.monotonic() < self.until:
                with contextlib.suppress(TimeoutError):
                    data = data[line.send(data) :]
            self.sent += BATCH

    def read(self, line):
        """Read until the connection ends."""
        with contextlib.suppress(OSError):
            while data := line.recv(262_144):
                self.answers += data.count(b'HTTP/1.1 ')


class TinyChunks(Flood):
    """Send a body in chunks of one byte on each connection, at full speed."""

    def load(self, line, numbers):
        head = b'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: tiny-%d\r\nTransfer-Encoding: chunked\r\n\r\n'
        line.sendall(head % next(numbers))
        line.settimeout(1)
        while time.monotonic() < self.until:
            line.sendall(b'1\r\nx\r\n' * 1_000)
            self.sent += 1


class Singles(Flood):
    """Send each request on a connection of its own."""

    def load(self, line, numbers):
        line.sendall(self.request.text(next(numbers)))
        self.sent += 1
        self.answers += bool(line.recv(4_096))


class Crowd(Flood):
    """Many clients that send a head and half of a body, or half of a head, and stay.

    again: whether others come for those that are closed.
    rate: bytes that each reads each second; None: all at once; 0: none.
    """

    def __init__(self, port, seconds, clients=200, half_head=False, rate=None, again=True, **options):
        super().__init__(port, seconds, **options)
        self.clients, self.half_head, self.rate, self.again = clients, half_head, rate, again
        self.body = options.get('body', 0)
        self.unsent, self.selector, self.numbers = {}, selectors.DefaultSelector(), itertools.count()

    def run(self):
        while time.monotonic() < self.until:
            missing = self.clients - len(self.unsent) if self.again else self.clients - self.sent
            for _ in range(min(COMERS_A_TURN, missing)):
                self.come()
            for key, events in self.selector.select(0.05):
                self.serve(key.fileobj, events)
            if self.rate:
                time.sleep(0.05)

    def come(self):
        """Connect one more client."""
        line = socket.socket()
        if self.rate is not None:
            line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        line.settimeout(1)
        try:
            line.connect(('127.0.0.1', self.port))
        except OSError:
            line.close()
            return
        line.setblocking(False)
        head = self.request.text(next(self.numbers))
        self.unsent[line] = head[: len(head) // 2] if self.half_head else head + FILLER[: self.body // 2]
        self.selector.register(line, selectors.EVENT_READ | selectors.EVENT_WRITE)
        self.sent += 1

    def serve(self, line, events):
        """Write and read on one connection; forget it when it ends."""
        try:
            if events & selectors.EVENT_WRITE:
                self.write(line)
            if events & selectors.EVENT_READ and not line.recv(self.rate // 20 if self.rate else 65_536):
                raise ConnectionError
        except BlockingIOError:
            pass
        except OSError:
            with contextlib.suppress(KeyError):
                self.selector.unregister(line)
            del self.unsent[line]
            line.close()

    def write(self, line):
        self.unsent[line] = self.unsent[line][line.send(self.unsent[line]) :]
        if self.unsent[line]:
            return
        if self.rate == 0:
            self.selector.unregister(line)
        else:
            self.selector.modify(line, selectors.EVENT_READ)


if __name__ == '__main__':
    kind, port, seconds, options = sys.argv[1:]
    flood = globals()[kind](int(port), float(seconds), **json.loads(options))
    flood.run()
    print('sent', flood.sent, 'answers', flood.answers, flush=True)
