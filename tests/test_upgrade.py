"""Hand-over between two processes of a node: state machine, link, and real processes on loopback."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from zlib import crc32

from lilacdyke.net.handover import PREFIX, Link
from lilacdyke.net.node import STOPPED
from lilacdyke.net.succession import Succession

from .helpers import SETTINGS, Wire, asked, entry, node, page, said, sent, starting, unstarted_node
from .test_net import READY, Quiet, status


class SuccessionStates(unittest.TestCase):
    def test_predecessor_accepts_until_successor_serves(self):
        predecessor = Succession(384, 32)
        seen = [predecessor.accepting]
        for step in (
            predecessor.successor_connected,
            predecessor.successor_serving,
            predecessor.successor_gone,
        ):
            step()
            seen.append(predecessor.accepting)
        self.assertEqual(seen, [True, True, False, True])

    def test_one_successor_at_a_time(self):
        predecessor = Succession(384, 32)
        self.assertEqual(
            [
                predecessor.successor_connected(),
                predecessor.successor_connected(),
                predecessor.successor_gone(),
                predecessor.successor_connected(),
            ],
            [True, False, None, True],
        )

    def state(self, predecessor):
        """Return whether it accepts, keeps to its reserved descriptors, has to keep its listening socket, and
        whether its successor listens."""
        return (
            predecessor.accepting,
            predecessor.handed,
            predecessor.keeps_listening,
            predecessor.successor_listens,
        )

    def test_exiting_predecessor_empties_the_queue_of_a_lost_successor(self):
        """Guards against connections that nobody takes; a next successor may still have the descriptors."""
        predecessor = Succession(384, 32)
        predecessor.successor_connected(), predecessor.successor_serving(), predecessor.end()
        before = self.state(predecessor)
        predecessor.successor_gone()
        self.assertEqual(
            (before, self.state(predecessor)), ((False, True, False, True), (True, True, False, False))
        )

    def test_predecessor_accepts_while_successor_drains(self):
        for ends in (False, True):
            with self.subTest(ends=ends):
                predecessor = Succession(384, 32)
                predecessor.successor_leaving()
                predecessor.successor_connected(), predecessor.successor_leaving()
                before = self.state(predecessor)  # it never served: nothing changes
                predecessor.successor_serving()
                if ends:
                    predecessor.end()
                predecessor.successor_leaving()
                during = self.state(predecessor)
                predecessor.successor_unresponsive(), predecessor.successor_serving()
                self.assertEqual(
                    (before, during, self.state(predecessor)),
                    ((True, False, True, False), (True, True, False, False), during),
                )
                predecessor.successor_gone()
                self.assertEqual(self.state(predecessor), (True, False, False, False))

    def test_exiting_predecessor_accepts_if_successor_never_served(self):
        predecessor = Succession(384, 32)
        predecessor.successor_connected(), predecessor.end(), predecessor.successor_gone()
        self.assertTrue(predecessor.accepting)

    def test_exiting_predecessor_accepts_while_successor_is_unresponsive(self):
        predecessor = Succession(384, 32)
        predecessor.successor_connected(), predecessor.successor_serving(), predecessor.end()
        seen = [(predecessor.accepting, predecessor.keeps_listening, predecessor.handed)]
        for step in (predecessor.successor_unresponsive, predecessor.successor_serving):
            step()
            seen.append((predecessor.accepting, predecessor.keeps_listening, predecessor.handed))
        self.assertEqual(seen, [(False, False, True), (True, True, True), (False, False, True)])

    def test_descriptors_of_both_stay_within_limit(self):
        successor = Succession(384, 32)
        successor.predecessor_reported(150)
        capacities = [successor.capacity]
        successor.predecessor_reported(60)
        capacities.append(successor.capacity)
        successor.predecessor_gone()
        self.assertEqual(capacities + [successor.capacity], [202, 292, 352])


class LinkToSuccessor(Quiet):
    """A node with a link to a simulated successor."""

    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.made = node(operator='127.0.0.1:9001')
        self.made.reactor.listenUNIX = self.made.reactor.connectUNIX = lambda *given, **named: None
        self.made.handover = handover = self.handover_of(self.made)
        self.wire, self.successor = Wire(), Link(handover, False)
        self.made.listener.port.fileno = lambda: 0
        self.wire.sendFileDescriptor = lambda fd: None
        self.successor.makeConnection(self.wire)

    def handover_of(self, made):
        from lilacdyke.net.handover import Handover

        return Handover(made, made.reactor, made.deadlines, made.clock, self.folder.name, 384, 32)

    def receive(self, **line):
        self.successor.dataReceived(json.dumps(line).encode() + b'\n')

    def test_successor_adopts_state(self):
        self.made.suspend('c0'), self.made.empty()
        received = json.loads(json.dumps(self.made.export_state()))
        successor = starting(operator='127.0.0.1:9002', known={})
        successor.discovery.version, successor.handover = None, self.handover_of(successor)
        successor.handover.announce_serving = lambda: None
        successor.begin(dict(received, v=1), None)
        self.assertEqual(
            (
                successor.phase,
                successor.ready(),
                successor.router.is_suspended('c0'),
                successor.servers['c0'].state,
                successor.servers['o'].state,
                successor.discovery.version,
            ),
            ('away', False, True, 'banned', 'ready', 4),
        )

    def test_unusable_state_means_start_without_it(self):
        for received in (
            {},
            {'list': 3, 'away': True},
            {'list': self.made.export_state()['list'], 'hand': {'c0': 7}, 'away': False},
        ):
            with self.subTest(received=received):
                successor = starting(operator='127.0.0.1:9002')
                successor.handover = self.handover_of(successor)
                successor.handover.announce_serving = lambda: None
                successor.begin_unless_stopped(dict(received, v=1), None)
                self.assertIn(successor.phase, ('serving', 'away'))
                self.assertIn('c0', successor.router.servers_by_name)

    def test_call_succeeds_once_other_process_confirms(self):
        caller = Wire()
        protocol = self.made.operator_server.buildProtocol(None)
        protocol.makeConnection(caller)
        protocol.dataReceived(b'POST /v1/cache-servers/c0/suspend HTTP/1.1\r\nHost: x\r\n\r\n')
        before, number = status(caller), json.loads(self.wire.value().splitlines()[-1])['n']
        self.receive(done=number)
        self.assertEqual((before, status(caller), self.made.router.is_suspended('c0')), (None, 200, True))

    def test_call_is_answered_if_other_process_hangs(self):
        caller = Wire()
        protocol = self.made.operator_server.buildProtocol(None)
        protocol.makeConnection(caller)
        protocol.dataReceived(b'POST /v1/node/drain HTTP/1.1\r\nHost: x\r\n\r\n')
        self.made.reactor.advance(0.5)
        self.assertEqual(status(caller), 200)

    def test_call_at_other_process_applies_here(self):
        self.receive(call=['suspend', 'c0'], n=7)
        self.assertEqual(
            (self.made.router.is_suspended('c0'), json.loads(self.wire.value().splitlines()[-1])),
            (True, {'done': 7}),
        )

    def test_ready_while_predecessor_drains(self):
        self.receive(serves=True)
        self.made.drain()
        before = status(asked(self.made, READY))
        self.receive(call=['empty', None], n=1)
        self.assertEqual((before, status(asked(self.made, READY))), (200, 503))

    def test_open_request_is_answered_and_connection_closes(self):
        wire, server = sent(self.made)
        self.receive(serves=True)
        self.made.drain()
        server.protocol.dataReceived(said())
        self.assertEqual((status(wire), wire.ended, b'Connection: close' in wire.value()), (200, True, True))

    def test_predecessor_accepts_again_after_successor_dies(self):
        self.receive(serves=True)
        before = self.made.listener.accepting_elsewhere, self.made.router.handed
        self.successor.connectionLost()
        self.assertEqual(
            (before, self.made.listener.accepting_elsewhere, self.made.router.handed),
            ((True, True), False, False),
        )
        self.assertGreater(self.made.listener.budget, 100)

    def test_predecessor_accepts_with_reserved_descriptors_while_successor_drains(self):
        self.receive(serves=True)
        self.receive(serves=False)
        self.assertEqual(
            (self.made.listener.accepting_elsewhere, self.made.router.handed, self.made.ready()),
            (False, True, True),
        )
        self.assertLessEqual(self.made.listener.budget, self.made.handover.succession.reserved // 2)
        self.successor.connectionLost()
        self.assertGreater(self.made.listener.budget, 100)

    def test_successor_tells_predecessor_that_it_drains(self):
        """A predecessor of an older version goes by heartbeats alone, which end with the listening socket."""
        self.successor.connectionLost()
        wire, link = Wire(), Link(self.made.handover, True)
        link.makeConnection(wire)
        self.made.handover.predecessor, self.made.handover.sends_heartbeats = link, True
        self.made.handover.send_heartbeat(0)
        self.made.drain()
        self.made.reactor.pump([0.05] * 10)
        draining = wire.value()
        self.made.reactor.pump([0.05] * 10)
        closed = self.made.listener.shut
        wire.clear()
        self.made.reactor.pump([0.05] * 10)
        self.assertIn(b'{"serves": false}\n', draining)
        self.assertIn(b'{"beat": true}\n', draining.partition(b'{"serves": false}\n')[2])
        self.assertEqual((closed, wire.value()), (True, b''))

    def test_malformed_lines_end_link_only(self):
        for line in (
            b'[]\n',
            b'{"call": ["stop"]}\n',
            b'nonsense\n',
            b'{"call": 3, "n": 1}\n',
            b'{"v": 2}\n',
            b'\xff\n',
        ):
            with self.subTest(line=line):
                link, wire = Link(self.made.handover, False), Wire()
                link.handover.successor_connected = lambda link: None
                link.makeConnection(wire)
                link.dataReceived(line)
                self.assertTrue(wire.aborted)


class SearchForPredecessor(Quiet):
    """A node that waits for the state of a predecessor."""

    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.made = unstarted_node(operator='127.0.0.1:9001')
        self.made.reactor.connectUNIX = lambda *given, **named: None
        name = PREFIX % crc32(repr((self.made.config.name, self.made.config.listen)).encode())
        with socket.socket(socket.AF_UNIX) as predecessor:
            predecessor.bind(os.path.join(self.folder.name, name + '1'))
        self.made.start(self.folder.name)

    def test_sigterm_ends_search_and_start(self):
        self.made.drain()
        ended = self.made.phase, self.made.reactor.hasStopped
        self.made.reactor.advance(1.1)  # longer than the search may take
        self.assertEqual((ended, self.made.phase, self.made.listener.port), ((STOPPED, True), STOPPED, None))

    def test_sighup_is_applied_after_search(self):
        path = os.path.join(self.folder.name, 'page.json')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(page(discovery='127.0.0.1:8501'))
        self.made.reload(path)
        before = len(self.made.reactor.tcpClients)
        self.made.reactor.advance(1.1)
        self.assertEqual(
            (before, [client[:2] for client in self.made.reactor.tcpClients]), (0, [('127.0.0.1', 8501)])
        )


class Caches(ThreadingHTTPServer):
    """A cache server or origin that records the time and Req-Id of each request."""

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), Answer)
        self.seen = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, address):
        """Ignore connections that the node aborts."""


class Answer(BaseHTTPRequestHandler):
    protocol_version, disable_nagle_algorithm = 'HTTP/1.1', True

    def do_GET(self):
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        self.server.seen.append((time.monotonic(), self.headers['Req-Id']))
        self.send_response(200)
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'ok')

    do_PUT = do_GET

    def log_message(self, *given):
        """Print nothing."""


def free():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Processes(unittest.TestCase):
    """Real processes of a node."""

    def make_servers(self):
        return {name: Caches() for name in ('c0', 'c1', 'o')}

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.servers, self.listen, self.running = self.make_servers(), free(), []
        self.stop, self.failures, self.successes, self.writes = False, [], 0, []
        self.first, self.operator_port = self.begin()
        self.addCleanup(self.end)

    def end(self):
        self.stop = True
        for process in self.running:
            process.kill()
            process.wait()
        for server in self.servers.values():
            server.shutdown()
            server.server_close()

    def begin(self, ready=True, **faults):
        """Start a process of the node, with any faults given to the trial's launcher.

        Returns the process and its operators' port.
        """
        operator_port, path = free(), os.path.join(self.folder.name, 'page.json')
        known = [
            entry(name, 'origin' if name == 'o' else 'std', hostPort='127.0.0.1:%d' % server.server_port)
            for name, server in self.servers.items()
        ]
        with open(path, 'w', encoding='utf-8') as file:
            file.write(
                page(
                    listen='127.0.0.1:%d' % self.listen,
                    operator='127.0.0.1:%d' % operator_port,
                    discovery='127.0.0.1:%d' % free(),
                    limits={'cores': 1.0, 'memory_mb': 80, 'sockets': 384},
                    settings=SETTINGS,
                    known={'generation': 4, 'reset': True, 'instances': known},
                )
            )
        program = ['lilacdyke.trial.launch', json.dumps(faults)] if faults else ['lilacdyke']
        process = subprocess.Popen(
            [sys.executable, '-m', *program, 'serve', '--config', path],
            stderr=subprocess.DEVNULL,
            env=dict(os.environ, TMPDIR=self.folder.name),
        )
        self.running.append(process)
        for _ in range(500 if ready else 0):
            if self.call(operator_port, 'GET', '/v1/readyz') == 200:
                break
            time.sleep(0.02)
        return process, operator_port

    @staticmethod
    def call(operator_port, method, path):
        link = http.client.HTTPConnection('127.0.0.1', operator_port, timeout=1)
        try:
            link.request(method, path)
            return link.getresponse().status
        except OSError:
            return None
        finally:
            link.close()


class Upgrades(Processes):
    """Upgrades under a steady load of requests."""

    def client(self, number):
        """Send requests in a row and record those that fail. One that crosses a close is sent once more."""
        link, count = None, 0
        while not self.stop:
            count += 1
            name, fresh = '%d-%d' % (number, count), link is None
            method, path = ('PUT', '/once/k') if count % 5 == 0 else ('GET', '/read/%d' % count)
            for _ in range(2):
                link = link or http.client.HTTPConnection('127.0.0.1', self.listen, timeout=3)
                try:
                    link.request(
                        method, path, body=b'x' if method == 'PUT' else None, headers={'Req-Id': name}
                    )
                    answer = link.getresponse()
                    answer.read()
                except (OSError, http.client.HTTPException) as err:
                    link.close()
                    link = None
                    if fresh:
                        self.failures.append((name, repr(err)))
                        break
                    fresh = True
                    continue
                self.successes += answer.status == 200
                if method == 'PUT' and answer.status == 200:
                    self.writes.append(name)
                if answer.status != 200 or answer.getheader('Connection') == 'close':
                    link.close()
                    link = None
                break
            time.sleep(0.004)
        if link:
            link.close()

    def start_clients(self):
        threads = [threading.Thread(target=self.client, args=(number,), daemon=True) for number in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        return threads

    def stop_clients(self, threads):
        self.stop = True
        for thread in threads:
            thread.join(5)

    def test_repeated_upgrades_lose_no_request_and_keep_suspension(self):
        threads, old = self.start_clients(), self.first
        self.assertEqual(self.call(self.operator_port, 'POST', '/v1/cache-servers/c0/suspend'), 200)
        since = time.monotonic()
        for _ in range(4):
            new, self.operator_port = self.begin()
            old.send_signal(signal.SIGTERM)
            self.assertEqual(old.wait(4), 0)
            self.assertIsNone(new.poll())
            old = new
        time.sleep(0.2)
        # Attempts sent just before the suspension may be recorded late: servers and clients share a process.
        sent_to_suspended = [name for at, name in self.servers['c0'].seen if at > since + 0.2]
        self.assertEqual(self.call(self.operator_port, 'POST', '/v1/cache-servers/c0/resume'), 200)
        self.stop_clients(threads)
        ran = [name for _, name in self.servers['o'].seen]
        self.assertEqual(
            (self.failures, sent_to_suspended, [name for name in set(self.writes) if ran.count(name) != 1]),
            ([], [], []),
        )
        self.assertGreater(self.successes, 300)

    def test_killed_successor_does_not_stop_service(self):
        threads = self.start_clients()
        for wait in (0.1, 0.3, 0.5, 0.7):
            new, _ = self.begin(False)
            time.sleep(wait)
            new.kill()
            new.wait()
        new, _ = self.begin()
        new.kill()  # after it began to serve, before SIGTERM for the old process
        time.sleep(0.2)
        self.assertIsNone(self.first.poll())
        before = self.successes
        time.sleep(0.3)
        self.stop_clients(threads)
        self.assertGreater(self.successes, before + 20)
        self.assertLessEqual(len(self.failures), 8)  # at most the requests open at the killed process

    def test_sigterm_for_successor_loses_no_request(self):
        threads = self.start_clients()
        new, _ = self.begin()
        new.send_signal(signal.SIGTERM)
        self.assertEqual(new.wait(6), 0)
        before = self.successes
        time.sleep(0.5)
        self.stop_clients(threads)
        self.assertEqual((self.first.poll(), self.failures), (None, []))
        self.assertGreater(self.successes, before + 20)

    def test_start_despite_stale_socket_and_silent_peer(self):
        self.first.kill()
        self.first.wait()
        with socket.socket(socket.AF_UNIX) as silent:
            name = PREFIX % crc32(repr(('n0', ('127.0.0.1', self.listen))).encode())
            silent.bind(os.path.join(self.folder.name, name + '1'))
            silent.listen(1)
            began = time.monotonic()
            new, operator_port = self.begin()
            self.assertEqual(
                (self.call(operator_port, 'GET', '/v1/readyz'), time.monotonic() - began < 4), (200, True)
            )


class StoppedProcesses(Processes):
    """One of the two processes is stopped at a step of the hand-over."""

    def wait_until_stopped(self, process):
        for _ in range(500):
            with open('/proc/%d/stat' % process.pid, encoding='ascii') as file:
                if file.read().rpartition(')')[2].split()[0] == 'T':
                    return
            time.sleep(0.01)
        self.fail('the process never reached that step')

    def statuses(self, count, timeout):
        """Return the statuses of requests on separate connections; None for one without an answer in time."""
        found = []
        for number in range(count):
            link = http.client.HTTPConnection('127.0.0.1', self.listen, timeout=timeout)
            try:
                link.request('GET', '/read/%d' % number, headers={'Req-Id': 'still-%d' % number})
                found.append(link.getresponse().status)
            except OSError:
                found.append(None)
            finally:
                link.close()
        return found

    def test_successor_stopped_right_after_it_began_to_serve(self):
        new, _ = self.begin(False, stops={'<net.handover:Handover.descriptors_reported': 1})
        self.wait_until_stopped(new)
        self.first.send_signal(signal.SIGTERM)
        self.assertEqual(self.statuses(20, 0.8), [200] * 20)
        new.send_signal(signal.SIGCONT)
        self.assertEqual((self.first.wait(4), self.statuses(5, 0.8)), (0, [200] * 5))

    def test_successor_stopped_before_it_serves_and_sigterm_for_predecessor(self):
        new, _ = self.begin(False, stops={'<net.handover:Handover.state_received': 1})
        self.wait_until_stopped(new)
        self.first.send_signal(signal.SIGTERM)
        time.sleep(1.0)  # longer than the predecessor listens without a successor
        self.assertEqual(self.statuses(10, 0.8), [200] * 10)
        new.send_signal(signal.SIGCONT)
        self.assertEqual((self.first.wait(4), self.statuses(5, 2)), (0, [200] * 5))


if __name__ == '__main__':
    unittest.main()
