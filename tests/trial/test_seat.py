"""Two processes share one seat during an upgrade without planners; either process may be stopped or
killed."""

import http.client
import json
import os
import signal
import subprocess
import sys
import time
import unittest

from ..helpers import SETTINGS, entry, page
from ..test_upgrade import Processes, free

MOST, LEASE = 40.0, 0.4
FILE = """enabled = true
installation = "here-%d"
seats = 1
lease_s = %g
longest_s = 2.0
[[planner]]
name = "p0"
address = "127.0.0.1:%d"
[[limit]]
name = "all"
what = "requests"
most = %g
floor = %g
"""


class SeatLimit(Processes):
    def begin(self, ready=True, **faults):
        """Start a node of a fleet whose planners are all unreachable; return (process, operator port)."""
        operator_port, path, file = (
            free(),
            os.path.join(self.folder.name, 'page.json'),
            os.path.join(self.folder.name, 'fleet.toml'),
        )
        known = [
            entry(name, 'origin' if name == 'o' else 'std', hostPort='127.0.0.1:%d' % server.server_port)
            for name, server in self.servers.items()
        ]
        with open(path, 'w', encoding='utf-8') as out:
            out.write(
                page(
                    listen='127.0.0.1:%d' % self.listen,
                    operator='127.0.0.1:%d' % operator_port,
                    discovery='127.0.0.1:%d' % free(),
                    settings=SETTINGS,
                    installation='here-%d' % self.listen,
                    known={'generation': 4, 'reset': True, 'instances': known},
                )
            )
        with open(file, 'w', encoding='utf-8') as out:
            out.write(FILE % (self.listen, LEASE, free(), MOST, MOST))
        program = ['lilacdyke.trial.launch', json.dumps(faults)] if faults else ['lilacdyke']
        process = subprocess.Popen(
            [sys.executable, '-m', *program, 'serve', '--config', path, '--fleet', file],
            stderr=subprocess.DEVNULL,
            env=dict(os.environ, TMPDIR=self.folder.name),
        )
        self.running.append(process)
        for _ in range(500 if ready else 0):
            if self.call(operator_port, 'GET', '/v1/readyz') == 200:
                break
            time.sleep(0.02)
        return process, operator_port

    def ask(self, seconds):
        """Send sequential requests on separate connections; return the numbers of [200, 429, other]
        answers."""
        found, end = [0, 0, 0], time.monotonic() + seconds
        while time.monotonic() < end:
            link = http.client.HTTPConnection('127.0.0.1', self.listen, timeout=2)
            try:
                link.request('GET', '/read/k', headers={'Req-Id': 's%f' % time.monotonic()})
                found[{200: 0, 429: 1}.get(link.getresponse().status, 2)] += 1
            except OSError:
                found[2] += 1
            finally:
                link.close()
        return found

    def max_rate(self, since):
        """Return the maximum number of requests that servers received within one second."""
        times = sorted(at for server in self.servers.values() for at, _ in server.seen if at >= since)
        return max((sum(1 for other in times if at <= other < at + 1) for at in times), default=0)

    def test_upgrade_keeps_the_seat_limit_and_serves_without_a_break(self):
        time.sleep(3 * LEASE)  # leases of an earlier process have expired
        begun = time.monotonic()
        before = self.ask(1.0)
        new, _ = self.begin()
        during = self.ask(1.0)  # each process has half of the seat, and the new one gets all new connections
        self.first.send_signal(signal.SIGTERM)
        self.assertEqual(self.first.wait(5), 0)
        time.sleep(3 * LEASE)
        after = self.ask(1.0)
        self.assertLessEqual(self.max_rate(begun), MOST * 1.1 + 3)
        self.assertTrue(before[0] > 0.8 * MOST and after[0] > 0.8 * MOST, (before, during, after))
        self.assertTrue(0.3 * MOST < during[0] < 0.6 * MOST, during)

    def test_stopped_old_process_keeps_its_half_and_stays_within_the_limit_when_resumed(self):
        time.sleep(3 * LEASE)
        begun = time.monotonic()
        self.begin()
        self.first.send_signal(signal.SIGSTOP)
        while_stopped = self.ask(4 * LEASE)
        self.first.send_signal(signal.SIGCONT)
        self.ask(1.0)
        self.assertLessEqual(self.max_rate(begun), MOST * 1.1 + 3)
        self.assertLess(while_stopped[0], 0.7 * MOST * 4 * LEASE)

    def test_killed_new_process_returns_its_half(self):
        time.sleep(3 * LEASE)
        new, _ = self.begin()
        time.sleep(2 * LEASE)
        new.kill()
        new.wait()
        time.sleep(2 * LEASE)
        self.assertGreater(self.ask(1.0)[0], 0.8 * MOST)


if __name__ == '__main__':
    unittest.main()
