"""A new server process that comes up at the address of one that has gone."""

import socket
import time
from collections import Counter

from .stand import Stand, receive_answer

REQUESTS = 200
FAIR_SHARE = 1 / 4  # of the reads that a warm cache gets


class Newcomers(Stand):
    def read_all(self, first):
        """Send reads of ever new keys, one after the other; return how many each server got."""
        before = len(self.requests_seen)
        with socket.create_connection(('127.0.0.1', self.port)) as line:
            for number in range(first, first + REQUESTS):
                line.sendall(
                    b'GET /read/key%d HTTP/1.1\r\nHost: x\r\nReq-Id: n%d\r\nReq-Deadline: 2\r\n\r\n'
                    % (number, number)
                )
                self.assertIsNotNone(receive_answer(line, time.monotonic() + 3))
        time.sleep(0.1)
        return Counter(server for _, server, _ in self.requests_seen[before:])

    # Guards against a newcomer that is taken for the server whose address it has, and gets the work of a warm
    # one as soon as it is up (incident dda08d, picture e).
    def test_newcomer_at_an_address_is_not_taken_for_the_one_before(self):
        with self.running():
            warm = self.read_all(0)
            self.assertGreater(warm['c0'], REQUESTS * FAIR_SHARE / 2)
            self.platform.stdin.write(b'replace\n')
            self.platform.stdin.flush()
            self.wait_until(lambda: self.log().count('event=list') > 1)
            cold = self.read_all(REQUESTS)
            self.assertLess(cold['new'], REQUESTS * FAIR_SHARE / 2, cold)
