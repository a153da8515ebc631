"""Servers that write a long answer slowly, or read a large request slowly."""

import socket
import time
from threading import Thread

from .stand import ANSWER_SLACK, Stand, receive_answer

WAIT = 0.75  # seconds that clients wait
LONG_ANSWERS = ((3, 54_000), (4, 20_000))  # pieces, bytes of each


class SlowServers(Stand):
    lines_per_second = 1_000

    def ask(self, path, method='GET', body=b''):
        """Send a request; return (connection, time of its last byte)."""
        line = socket.create_connection(('127.0.0.1', self.port))
        self.addCleanup(line.close)
        line.sendall(
            b'%s %s HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nReq-Deadline: %g\r\nConnection: close\r\n'
            b'Content-Length: %d\r\n\r\n' % (method.encode(), path.encode(), line.fileno(), WAIT, len(body))
        )
        line.sendall(body)
        return line, time.monotonic()

    def receive_all(self, path, received):
        """Send a read, and record its status, the time of its first byte and all of its answer."""
        line, asked = self.ask(path)
        line.settimeout(10)
        data = line.recv(65_536)
        first = time.monotonic() - asked
        try:
            while more := line.recv(65_536):
                data += more
        except ConnectionError:
            data += b'reset'
        received[path] = data[9:12], first, data.count(b'x'), data.endswith(b'reset')

    # Guards against cutting off a long answer of unknown length that its server goes on writing, because a
    # pause between two pieces falls on the request's limit (incident dda08d, picture c).
    def test_answer_in_lumps_apart_is_whole(self):
        received, threads = {}, []
        paths = [
            '/read/%s-%d-%d-%g' % (framing, count, size, gap)
            for framing in ('lumps', 'close')
            for count, size in LONG_ANSWERS
            for gap in (0.25, 0.7, 0.86, 1.0, 1.8)
        ]
        with self.running():
            for path in paths:
                threads.append(Thread(target=self.receive_all, args=(path, received)))
                threads[-1].start()
            for thread in threads:
                thread.join()
            log = self.log()
        for path in paths:
            with self.subTest(path=path):
                status, first, length, was_reset = received[path]
                _, count, size, _ = path.split('-')
                self.assertEqual((status, length, was_reset), (b'200', int(count) * int(size), False), log)
                self.assertLess(first, WAIT + 0.05)

    # Guards against a final answer seconds after its time, as the time of a large request that the client
    # has written whole starts anew whenever its server accepts some more of it.
    def test_large_request_read_slowly_is_answered_in_time(self):
        for size in (1_000_000, 4_000_000, 6_000_000):
            with self.subTest(size=size), self.running():
                line, written = self.ask('/once/slow-4', 'PUT', b'x' * size)
                status = receive_answer(line, written + 8)
                self.assertIsNotNone(status)
                self.assertLess(time.monotonic() - written, WAIT + ANSWER_SLACK)
