"""Tests of the node on in-memory transports: clients, hops, discovery, phases, slots and deadlines."""

import json
import logging
import socket
import tempfile
import unittest
from errno import ECONNABORTED, ECONNREFUSED, EMFILE, ENOBUFS, EPERM, EPROTO
from random import Random

from twisted.internet.error import ConnectBindError, ConnectionRefusedError
from twisted.python.failure import Failure

from lilacdyke.logic import Server
from lilacdyke.net import client as client_module
from lilacdyke.net.discovery import Entry, started
from lilacdyke.net.http import is_single_read
from lilacdyke.net.logs import KeyValueFormatter, RateLimitFilter
from lilacdyke.net.node import DRAINING, SERVING, STARTING, STOPPED
from lilacdyke.net.sockets import AcceptFilter
from lilacdyke.net.tables import Deadlines, SlotTable
from lilacdyke.values import InvalidValueError

from .helpers import (
    SETTINGS,
    Wire,
    asked,
    changed_settings,
    client,
    connection_up,
    entry,
    lost,
    node,
    page,
    refused,
    said,
    sent,
    starting,
)

WATCH = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
DECLINED = b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n'
READY = 'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n'
PUT = 'PUT /%s/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\nhi'


def status(wire):
    """Return the status of the first answer on a client's wire, or None."""
    return int(wire.value()[9:12]) if wire.value() else None


def fail_here(made, which=-1):
    """Fail a connection attempt of the node with a local lack of memory."""
    made.reactor.tcpClients[which][2].clientConnectionFailed(None, Failure(ConnectBindError(ENOBUFS, 'full')))


def chunk(value):
    """Return one line of the watch as a chunk; None: a heartbeat."""
    line = (json.dumps(value) if value is not None else '').encode() + b'\n'
    return b'%x\r\n%s\r\n' % (len(line), line)


def watched(made):
    """Return the wire of the node's watch, with its answer head received."""
    wire = connection_up(made, 0)
    wire.protocol.dataReceived(WATCH)
    return wire


class Quiet(unittest.TestCase):
    """Disables logging."""

    def setUp(self):
        logging.disable(logging.CRITICAL)

    def tearDown(self):
        logging.disable(logging.NOTSET)


class Slots(unittest.TestCase):
    def test_get_with_stale_number_after_slot_reuse(self):
        table = SlotTable()
        first = table.add('a')
        table.remove(first)
        second = table.add('b')
        self.assertEqual(
            (table.get(first), table.get(second), len(table), list(table)), (None, 'b', 1, ['b'])
        )

    def test_remove_twice_frees_slot_once(self):
        table = SlotTable()
        number = table.add('a')
        table.remove(number)
        table.remove(number)
        self.assertEqual((table.add('b') != table.add('c'), len(table)), (True, 2))


class Timing(Quiet):
    def test_deadlines_continue_after_one_raises(self):
        now, called, timers = [0], [], []
        deadlines = Deadlines(lambda: now[0], lambda wait, call: timers.append((wait, call)) or self)
        deadlines.at(5, {}.pop, 1)
        deadlines.at(5, called.append, 2)
        deadlines.at(9, called.append, 3)
        now[0] = 5
        timers[-1][1]()
        self.assertEqual((called, timers[-1][0]), ([2], 4 / 10_000))

    def test_late_deadlines_run_after_sockets(self):
        now, called, timers = [0], [], []
        deadlines = Deadlines(lambda: now[0], lambda wait, call: timers.append((wait, call)) or self)
        deadlines.at(5, called.append, 2)
        now[0] = 5_000
        timers[-1][1]()
        before = list(called)
        timers[-1][1]()
        self.assertEqual((before, timers[-1][0], called), ([], 0, [2]))

    def test_deadline_added_for_now_runs_in_next_iteration(self):
        called, timers = [], []
        deadlines = Deadlines(lambda: 0, lambda wait, call: timers.append(call) or self)
        deadlines.at(0, lambda number: deadlines.at(0, called.append, 2), 1)
        timers[-1]()
        self.assertEqual((called, len(timers)), ([], 2))

    def test_timer_moves_for_earlier_deadline(self):
        timers, cancelled = [], []
        timer = type('Timer', (), {'cancel': lambda self: cancelled.append(1)})()
        deadlines = Deadlines(lambda: 0, lambda wait, call: timers.append(wait) or timer)
        for when in (50, 90, 20):
            deadlines.at(when, print, 0)
        self.assertEqual((timers, len(cancelled)), ([0.005, 0.002], 1))


class Lines(unittest.TestCase):
    def record(self, text='set aside', level=logging.INFO, **fields):
        record = logging.LogRecord('x', level, '', 0, text, (), None)
        record.fields = fields
        return record

    def test_record_is_one_line_for_any_value(self):
        line = KeyValueFormatter().format(self.record(server='a b', reason='x\ny="1"', count=3))
        self.assertTrue(
            line.endswith('level=info event="set aside" server="a b" reason="x\\ny=\\"1\\"" count=3')
        )

    def test_repeated_fault_is_logged_a_limited_number_of_times(self):
        sparse = RateLimitFilter()
        written = [sparse.filter(self.record('fault', logging.ERROR)) for _ in range(9)]
        self.assertEqual(written.count(True), RateLimitFilter.MOST)


class Clients(Quiet):
    def test_request_is_served(self):
        wire, cache = sent(node())
        cache.protocol.dataReceived(said(body='value'))
        self.assertEqual(wire.value(), b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue')

    def test_malformed_requests_are_refused(self):
        start = 'GET /read/k HTTP/1.1\r\n'
        cases = {
            'nonsense\r\n\r\n': (400, True),
            'GET /nope HTTP/1.1\r\nHost: x\r\n\r\n': (404, False),
            'GET / HTTP/1.1\r\nHost: x\r\n\r\n': (404, False),
            'GET * HTTP/1.1\r\nHost: x\r\n\r\n': (404, False),
            'POST /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n': (405, False),
            start + 'Host: x\r\n\r\n': (400, True),
            start + 'Req-Id: 1\r\n\r\n': (400, True),
            start + 'Host: x\r\nReq-Id: 1\r\nReq-Deadline: soon\r\n\r\n': (400, True),
            start + 'Host: x\r\nReq-Id: 1\r\nReq-Deadline: -1\r\n\r\n': (400, True),
            start + 'Host: x\r\nReq-Id: 1\r\nReq-Deadline: 1e308\r\n\r\n': (400, True),
            start + 'Host: x\r\nReq-Id: 1\r\nReq-Owner: nobody\r\n\r\n': (400, True),
            start + 'Content-Length: 70000000\r\n\r\n': (413, True),
            start + 'a' * 20_000: (431, True),
        }
        for text, expected in cases.items():
            with self.subTest(text=text[:60]):
                wire = asked(node(), text)
                self.assertEqual((status(wire), wire.half_closed), expected)

    def test_one_read_rejects_requests_with_body_headers(self):
        start = b'GET /read/k HTTP/1.1\r\nHost: x\r\n'
        for more in (
            b'Content-Length: 3\r\n',
            b'TRANSFER-ENCODING : chunked\r\n',
            b'content-length:3\r\nA: b\r\n',
        ):
            with self.subTest(more=more):
                self.assertFalse(is_single_read(start + more + b'\r\n'))
        for more in (b'', b'X-Content-Length: 3\r\n', b'A: content-length: 3\r\n'):
            self.assertTrue(is_single_read(start + more + b'\r\n'))

    def test_request_split_at_any_byte(self):
        text = (
            b'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: 9\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n'
        )
        for at in range(1, len(text)):
            made = node()
            wire = asked(made, text[:at].decode())
            made.reactor.pump([0.1] * 22)
            self.assertEqual(len(made.active_requests), 0)
            wire.protocol.dataReceived(text[at:])
            origin = connection_up(made)
            self.assertTrue(origin.value().endswith(b'Content-Length: 5\r\n\r\nabcde'), at)

    def test_limit_starts_at_last_byte_and_is_capped_by_profile(self):
        made = node()
        wire = asked(made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Deadline: 99\r\n')
        made.reactor.advance(0.5)
        wire.protocol.dataReceived(b'Req-Id: 1\r\n\r\n')
        self.assertEqual(wire.protocol.active.tx.limit, made.clock() + 20_000)

    def test_limit_includes_time_spent_unread(self):
        made = node()
        protocol, wire = client(made)
        wire.age = 120
        protocol.dataReceived(b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Deadline: 1\r\n\r\n')
        self.assertEqual(protocol.active.tx.limit, made.clock() + 8_800)

    def test_stale_request_is_refused_unparsed_and_connection_kept(self):
        made = node()
        protocol, wire = client(made)
        wire.age = 251  # milliseconds; the goal is 500
        protocol.dataReceived(b'GET /nowhere/k HTTP/1.1\r\n\r\n')
        first = status(wire), wire.ended
        wire.age = 0
        protocol.dataReceived(b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n')
        self.assertEqual((first, len(made.active_requests)), ((503, False), 1))

    def test_pipelined_request_is_answered_after_the_first(self):
        made = node()
        wire, cache = sent(
            made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\nGET /ready HTTP/1.1\r\nHost: x\r\n\r\n'
        )
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.001)
        self.assertEqual(wire.value().count(b'HTTP/1.1 200 OK'), 2)

    def test_reading_pauses_when_client_pipelines_too_much(self):
        wire, _ = sent(node())
        wire.protocol.dataReceived(b'x' * (client_module.MAX_READ_AHEAD + 1))
        self.assertEqual(wire.producerState, 'paused')

    def test_partial_request_times_out(self):
        made = node()
        wire = asked(made, 'GET /read/k HT')
        made.reactor.pump([0.5] * 5)
        self.assertEqual((status(wire), wire.half_closed), (408, True))

    def test_client_that_does_not_close_is_closed(self):
        made = node()
        wire = asked(made, 'nonsense\r\n\r\n')
        made.reactor.advance(1.1)
        self.assertEqual((wire.disconnecting, wire.aborted), (True, False))  # an abort would lose the answer

    def test_close_waits_for_buffered_answer(self):
        made = node()
        wire = asked(made, 'nonsense\r\n\r\n')
        wire.dataBuffer = b'the rest'
        made.reactor.pump([0.5] * 10)
        self.assertFalse(wire.disconnecting or wire.aborted)
        made.reactor.pump([0.5] * 12)
        self.assertTrue(wire.aborted)

    def test_silent_and_trickling_clients_are_closed(self):
        made = node()
        silent, empty = client(made)[1], asked(made, '\r\n')
        for _ in range(25):
            made.reactor.advance(0.1)
            empty.protocol.dataReceived(b'\r\n')
        self.assertEqual((silent.disconnecting, status(empty)), (True, 408))

    def test_idle_client_is_closed(self):
        made = node()
        wire = asked(made, READY)
        made.reactor.pump([0.1] * 20)
        early = wire.ended
        made.reactor.pump([0.1] * 25)
        self.assertEqual((early, wire.disconnecting), (False, True))

    def test_refused_client_that_keeps_sending_is_paused_not_reset(self):
        wire = asked(node(), 'PUT /read/k HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n')
        wire.protocol.dataReceived(b'x' * (client_module.MAX_READ_AHEAD + 1))
        self.assertEqual((status(wire), wire.producerState, wire.aborted), (413, 'paused', False))

    def test_duplicate_open_id_is_refused_and_first_continues(self):
        made = node()
        text = 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n'
        wire, cache = sent(made, text)
        dials = len(made.reactor.tcpClients)
        second = asked(made, text)
        cache.protocol.dataReceived(said())
        self.assertEqual((status(second), status(wire), len(made.reactor.tcpClients)), (409, 200, dials))
        self.assertEqual(status(asked(made, text)), None)  # the id is free again

    def test_repeated_unknown_paths_close_the_connection(self):
        wire = asked(node(), 'GET /nope HTTP/1.1\r\nHost: x\r\n\r\n')
        for _ in range(3):
            early = wire.ended
            wire.protocol.dataReceived(b'GET /nope HTTP/1.1\r\nHost: x\r\n\r\n')
        self.assertEqual((early, wire.half_closed), (False, True))

    def test_partial_send_is_completed_later(self):
        wire, cache = sent(node())
        wire.send = lambda data: wire.write(data[:10]) or 10
        cache.protocol.dataReceived(said(body='value'))
        self.assertEqual(wire.value(), b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue')

    def test_expect_continue_is_answered(self):
        wire = asked(node(), PUT[:-2].replace('Host', 'Expect: 100-continue\r\nHost') % 'read')
        self.assertEqual(wire.value(), b'HTTP/1.1 100 Continue\r\n\r\n')

    def test_client_disconnect_cancels_its_hops(self):
        made = node()
        wire, cache = sent(made)
        lost(wire)
        self.assertEqual((cache.disconnecting, len(made.active_requests), len(made.attempts)), (True, 0, 0))

    def test_internal_fault_is_answered_with_500(self):
        made = node()
        made.router.take = lambda *given: {}['fault']
        wire = asked(made)
        self.assertEqual((status(wire), len(made.active_requests)), (500, 0))


class Room(Quiet):
    """Running out of descriptors neither stops the node nor loses clients."""

    def setUp(self):
        super().setUp()
        self.made = node(limits={'cores': 1, 'memory_mb': 192, 'sockets': 32})  # four clients
        self.listener = self.made.listener
        self.reading = []
        self.listener.port.stopReading = lambda: self.reading.append(False)
        self.listener.port.startReading = lambda: self.reading.append(True)

    def test_accepting_stops_while_all_slots_are_taken(self):
        protocols = [client(self.made)[0] for _ in range(4)]
        self.listener.closed(protocols[0])
        self.assertEqual(self.reading, [False, True])

    def test_connections_beyond_the_budget_are_held_or_refused(self):
        for _ in range(4):
            asked(self.made)
        (held, held_wire), (refused, refused_wire) = client(self.made), client(self.made)
        self.assertEqual((held_wire.producerState, refused_wire.producerState), ('paused', 'producing'))
        refused.dataReceived((PUT % 'once').encode())
        before = status(refused_wire), self.made.counts['turned_away'], held.over_budget
        lost(next(iter(self.listener.table)).transport)
        after = held.over_budget, held_wire.producerState, self.listener.slots_taken()
        self.assertEqual((before, after), ((503, 1, True), (False, 'producing', 4)))

    def test_connection_beyond_the_budget_is_closed_after_any_answer(self):
        for _ in range(4):
            asked(self.made)
        client(self.made)  # held
        wires = [asked(self.made, text) for text in (READY, 'GET /none HTTP/1.1\r\nHost: x\r\n\r\n')]
        self.assertEqual([b'Connection: close' in wire.value() for wire in wires], [True, True])

    def test_request_that_completes_as_a_slot_is_free_is_served(self):
        first = [asked(self.made) for _ in range(4)][0]
        client(self.made)  # held
        late = asked(self.made, 'GET /read/k HTTP/1.1\r\n')
        held = self.listener.overflow.waiting
        lost(first)
        held.connectionLost()
        before = self.listener.overflow.open
        late.protocol.dataReceived(b'Host: x\r\nReq-Id: late\r\n\r\n')
        self.assertEqual((before, self.listener.overflow.open, self.listener.slots_taken()), (1, 0, 4))
        self.assertEqual((self.made.counts['taken'], self.made.counts['turned_away']), (5, 0))

    def test_held_connection_is_served_when_the_budget_grows(self):
        """Guards against one that lies unread after a hand-over, until some other connection closes."""
        for _ in range(4):
            asked(self.made)
        held, wire = client(self.made)
        self.listener.budget = 5
        self.listener.check_slots()
        self.assertEqual((held.over_budget, wire.producerState), (False, 'producing'))

    def test_longest_idle_connection_is_evicted(self):
        wires = [asked(self.made, READY) for _ in range(2)]
        self.made.reactor.advance(0.2)
        client(self.made)
        self.assertEqual([wire.ended for wire in wires], [True, False])

    def test_silent_connections_are_evicted_before_idle_ones(self):
        spoke = asked(self.made, READY)
        silent = client(self.made)[1]
        self.made.reactor.advance(0.2)
        client(self.made)
        self.assertEqual((spoke.ended, silent.ended), (False, True))

    def test_connection_with_unread_request_is_not_evicted(self):
        wires = [client(self.made)[1] for _ in range(2)]
        wires[0].unread = b'GET'
        self.made.reactor.advance(0.2)
        client(self.made)
        self.assertEqual([wire.ended for wire in wires], [False, True])

    def test_partial_requests_time_out_while_full(self):
        wires = [asked(self.made, 'GET /re') for _ in range(4)]
        self.made.reactor.pump([0.1] * 6)
        self.assertEqual([status(wire) for wire in wires], [408] * 4)

    def test_idle_connections_are_evicted_before_slots_run_out(self):
        self.listener.budget, wires = 32, []
        for _ in range(20):
            wires.append(asked(self.made, READY))
            self.made.reactor.advance(0.15)
            self.made.reactor.advance(0)
        self.assertEqual([wire.ended for wire in wires], [True] * 4 + [False] * 16)

    def test_idle_connections_are_evicted_while_full(self):
        self.listener.budget = 32  # evicts two at a time
        wires = [asked(self.made, READY) for _ in range(4)]
        self.made.reactor.advance(0.2)
        self.listener.full = True
        self.listener.evict_while_full()
        self.assertEqual([wire.ended for wire in wires].count(True), 2)

    def test_accept_refuses_stale_requests_and_drops_gone_clients(self):
        wires = [Wire() for _ in range(4)]
        for wire, wire.state, wire.age in zip(wires, (1, 8, 1, 1), (300, 0, 0, 0)):
            wire.unread = b'GET /read/k HTTP/1.1\r\n\r\n'
        door = self.door()
        door.listening.accept = lambda: (wires.pop(0), 'there')
        late, gone, fine = wires[:3]
        self.assertEqual(
            (door.accept()[0], late.value()[:12], late.closed, gone.value(), gone.closed),
            (fine, b'HTTP/1.1 503', True, b'', True),
        )

    def door(self):
        return AcceptFilter(
            Wire(),
            self.made.router.late,
            is_single_read,
            self.listener.refusal,
            self.listener.crowded,
            self.made.call_failed,
        )

    def test_accept_does_not_refuse_incomplete_requests(self):
        read = b'GET /read/k HTTP/1.1\r\n\r\n'
        for unread in (
            None,
            read[:9],
            read + b'GET',
            b'GET /read/k HTTP/1.1\r\nA: ' + b'x' * 20_000 + b'\r\n\r\n',
            b'PUT /once/k HTTP/1.1\r\nContent-Length: 2\r\n\r\nh',
        ):
            with self.subTest(unread=unread and unread[:30]):
                door, wire = self.door(), Wire()
                wire.state, wire.age, wire.unread = 1, 300, unread
                door.listening.accept = lambda wire=wire: (wire, 'there')
                self.assertEqual((door.accept()[0], wire.value(), wire.closed), (wire, b'', False))

    def test_stale_request_is_accepted_when_send_fails(self):
        door, wire = self.door(), Wire()
        wire.state, wire.age, wire.unread = 1, 300, b'GET /read/k HTTP/1.1\r\n\r\n'
        door.listening.accept = lambda: (wire, 'there')

        def send(data, flags=0):
            raise OSError(ENOBUFS, 'no memory')

        wire.send = send
        self.assertEqual((door.accept()[0], wire.closed), (wire, False))
        self.assertEqual(self.made.counts['failed_send_ENOBUFS'], 1)

    def test_unsent_attempt_is_cancelled_when_server_drains(self):
        made = node()
        wire = asked(made)
        server = connection_up(made, stuck=True)
        server.dataBuffer = b'x' * 10_000  # as buffered in the transport
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        self.assertEqual((made.counts['hops_unsent'], status(wire)), (1, 503))
        self.assertTrue(server.ended)

    def test_stale_request_is_accepted_when_send_would_block(self):
        late, fine, flags = Wire(), Wire(), []
        wires = [late, fine]
        late.state, late.age, late.unread, late.stuck = 1, 300, b'GET /read/k HTTP/1.1\r\n\r\n', True
        usual = late.recv
        late.recv = lambda count, how: flags.append(how) or usual(count, how)
        door = self.door()
        door.listening.accept = lambda: (wires.pop(0), 'there')
        self.assertEqual((door.accept()[0] is late, late.closed), (True, False))
        self.assertTrue(all(how & socket.MSG_PEEK for how in flags))  # nothing was consumed

    def test_accept_without_descriptor_evicts_idle_connections(self):
        door = self.door()

        def none_left():
            raise OSError(EMFILE, 'too many open files')

        door.listening.accept = none_left
        _, cache = sent(self.made)
        cache.protocol.dataReceived(said())
        with self.assertRaises(BlockingIOError):
            door.accept()
        self.assertEqual((cache.disconnecting, self.made.counts['no_descriptor']), (True, 1))

    def test_new_connections_are_not_evicted(self):
        wires = [client(self.made)[1] for _ in range(4)]
        self.assertFalse(any(wire.ended for wire in wires))

    def test_hop_without_descriptor_is_unsent(self):
        self.made.caches.budget = 0
        wire = asked(self.made)
        self.assertEqual((status(wire), self.made.counts['hops_unsent']), (503, 1))

    def test_idle_cache_connection_is_evicted_for_a_new_one(self):
        _, cache = sent(self.made)
        cache.protocol.dataReceived(said())
        self.made.caches.budget = 1
        dials = len(self.made.reactor.tcpClients)
        asked(self.made, PUT % 'once')  # to the origin
        self.assertEqual((cache.disconnecting, len(self.made.reactor.tcpClients)), (True, dials + 1))

    def test_descriptor_shortage_does_not_count_against_server(self):
        asked(self.made)
        self.made.reactor.tcpClients[-1][2].clientConnectionFailed(
            None, Failure(ConnectBindError(EMFILE, 'full'))
        )
        self.assertEqual(self.made.counts['hops_unsent'], 1)

    def test_local_connect_failure_is_retried_and_does_not_count_against_server(self):
        asked(self.made)
        fail_here(self.made)
        self.assertEqual(self.made.counts['hops_unsent'], 0)  # retried for an eighth of its time
        tries = len(self.made.reactor.tcpClients)
        self.made.reactor.advance(0.006)
        self.assertEqual(len(self.made.reactor.tcpClients), tries + 1)
        for _ in range(100):
            fail_here(self.made)
            self.made.reactor.advance(0.1)
        self.assertEqual((self.made.counts['hops_unsent'], self.made.servers['c0'].unanswered_hops), (1, 0))


class OwnMachine(Quiet):
    """Behaviour while local system calls fail."""

    def setUp(self):
        super().setUp()
        self.made = node()

    def test_connect_retries_back_off(self):
        asked(self.made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n')
        moments, begun = [], self.made.reactor.seconds()
        for _ in range(200):
            if len(self.made.reactor.tcpClients) > len(moments) + 1:
                moments.append(self.made.reactor.seconds() - begun)
                fail_here(self.made)
            elif not moments:
                moments.append(0.0)
                fail_here(self.made)
            self.made.reactor.advance(0.001)
        waits = [later - sooner for sooner, later in zip(moments, moments[1:], strict=False)]
        self.assertLessEqual(len(moments), 7)
        self.assertGreater(waits[-1], 4 * waits[0])

    def test_all_waiting_hops_are_sent_after_recovery(self):
        wires = [asked(self.made) for _ in range(3)]
        for which in (-3, -2, -1):
            fail_here(self.made, which)
        self.made.reactor.advance(0.006)
        made = len(self.made.reactor.tcpClients)
        connection_up(self.made).protocol.dataReceived(said())
        self.assertEqual(len(self.made.reactor.tcpClients), made + 2)
        for which in (-2, -1):
            connection_up(self.made, which).protocol.dataReceived(said())
        self.assertEqual([status(wire) for wire in wires], [200] * 3)

    def test_unsent_hop_at_its_limit_does_not_count_against_server(self):
        wire = asked(
            self.made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nReq-Deadline: 0.004\r\n\r\n'
        )
        fail_here(self.made)
        self.made.reactor.advance(0.005)
        self.assertEqual((status(wire), self.made.servers['c0'].unanswered_hops), (503, 0))
        self.assertEqual(self.made.counts['failed_connect_ENOBUFS'], 1)

    def test_accept_skips_failed_connections_and_pauses_without_memory(self):
        errors, wire = [ECONNABORTED, EPROTO, EPERM], Wire()
        wire.state = 1

        def accept():
            if errors:
                raise OSError(errors.pop(0), 'x')
            return wire, 'there'

        door = AcceptFilter(
            Wire(),
            lambda waited: False,
            is_single_read,
            bytes,
            self.made.listener.crowded,
            self.made.call_failed,
        )
        door.listening.accept = accept
        self.assertIs(door.accept()[0], wire)
        errors.append(ENOBUFS)
        with self.assertRaises(BlockingIOError):
            door.accept()
        self.assertEqual(self.made.counts['failed_accept_ENOBUFS'], 1)
        self.assertEqual(self.made.counts['no_descriptor'], 0)


class Hops(Quiet):
    def test_server_accepting_after_refusal_counts_as_restarted(self):
        made = node()
        server = made.servers['c0']
        asked(made)
        made.reactor.tcpClients[-1][2].clientConnectionFailed(
            None, Failure(ConnectionRefusedError(ECONNREFUSED))
        )
        made.reactor.advance(1)
        before = server.started
        made.caches.send(server, asked(made).protocol.active.message, made.clock() + 100, lambda: True, False)
        connection_up(made)
        self.assertEqual((before, server.started), (None, made.clock()))

    def test_server_that_never_refused_is_not_restarted(self):
        made = node()
        sent(made)
        self.assertIsNone(made.servers['c0'].started)

    def ended(self, made):
        """Return the endings of hops reported to the router."""
        return sorted(what[5:] for what in made.counts if what.startswith('hops_'))

    def test_endings_by_answer(self):
        cases = {
            said(200): 'committed',
            said(404): 'missing',
            said(500): 'error',
            said(302): 'error',
            said(400): 'rejected',
            said(503): 'error',
            said(503, more='Srv-Declined: 1\r\n'): 'refused',
            said(504, more='Srv-Declined: 1\r\n'): 'refused',
            b'HTTP/1.1 100 Continue\r\n\r\n' + said(): 'committed',
            b'nonsense\r\n\r\n': 'spoilt',
            said(200, 'x' * 70_000): 'committed',
            b'HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n': 'spoilt',
        }
        for answer, how in cases.items():
            with self.subTest(answer=answer[:60]):
                made = node()
                sent(made, PUT % 'once' if how == 'spoilt' else PUT % 'read')[1].protocol.dataReceived(answer)
                self.assertEqual(self.ended(made), [how])

    def test_rejected_request_is_not_retried(self):
        made = node(known={'generation': 4, 'reset': True, 'instances': [entry('c0'), entry('c1')]})
        wire, cache = sent(made)
        cache.protocol.dataReceived(said(400))
        self.assertEqual((status(wire), self.ended(made), made.router.bad_hops), (400, ['rejected'], 0))

    def test_idle_connections_close_early_when_server_lacks_slots(self):
        for more, rests in (('Srv-Declined: 1\r\nConnection: close\r\n', 0.1), ('Srv-Declined: 1\r\n', 9)):
            made = node()
            sent(made, PUT % 'read')[1].protocol.dataReceived(said(503, more=more))
            wire = connection_up(made) if more.endswith('close\r\n') else None
            if wire is None:
                _, wire = sent(made, PUT.replace('Id: 1', 'Id: 2') % 'read')
            wire.protocol.dataReceived(said())
            made.reactor.pump([0.02] * 5)
            self.assertEqual(wire.ended, rests < 1)

    def test_incomplete_answer_counts_as_lost(self):
        made = node()
        wire, cache = sent(made, PUT % 'once')
        cache.protocol.dataReceived(said(body='value')[:-1])
        lost(cache)
        self.assertEqual((self.ended(made), status(wire)), (['lost'], 502))

    def test_connection_lost_before_last_byte_sent_is_retried(self):
        made = node()
        asked(made, PUT % 'once')
        dials = len(made.reactor.tcpClients)
        lost(connection_up(made, stuck=True))
        self.assertEqual((self.ended(made), len(made.reactor.tcpClients)), (['unreachable'], dials + 1))

    def test_connection_lost_after_last_byte_sent_is_not_retried(self):
        made = node()
        wire, cache = sent(made, PUT % 'once')
        dials = len(made.reactor.tcpClients)
        lost(cache)
        self.assertEqual(
            (self.ended(made), status(wire), len(made.reactor.tcpClients)), (['lost'], 502, dials)
        )

    def test_refused_connection_is_unreachable(self):
        made = node()
        asked(made)
        refused(made)
        self.assertEqual(self.ended(made), ['unreachable'])

    def test_connect_timeout(self):
        made = node()
        asked(made)
        made.reactor.advance(0.26)
        self.assertEqual(self.ended(made), ['unreachable'])

    def test_hop_past_its_limit_closes_connection_and_answers_client(self):
        made = node()
        wire, cache = sent(made, PUT % 'once')
        made.reactor.pump([0.1] * 21)
        self.assertEqual((self.ended(made), cache.disconnecting, status(wire)), (['expired'], True, 504))

    def test_orphaned_hop_ends_at_limit_without_cancellation(self):
        made = node()
        made.router.terms.may_cancel = False
        wire, _ = sent(made)
        lost(wire)
        waiting = len(made.attempts)
        made.reactor.pump([0.1] * 21)
        self.assertEqual((waiting, len(made.attempts), made.caches.open), (1, 0, 0))

    def test_idle_connection_is_reused(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.011)
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual((len(made.reactor.tcpClients), cache.value().count(b'GET /read/k')), (dials, 2))

    def test_connection_with_unread_end_is_not_reused(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.011)
        cache.unread = b''
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual((len(made.reactor.tcpClients), cache.disconnecting), (dials + 1, True))

    def test_connection_is_not_reused_after_close_or_excess_data(self):
        for answer in (said(more='Connection: close\r\n'), said() + b'x'):
            made = node()
            _, cache = sent(made)
            cache.protocol.dataReceived(answer)
            self.assertEqual((cache.disconnecting, made.caches.idle_links), (True, {}))

    def test_idle_connections_close_before_the_server_timeout(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(9.1)
        self.assertTrue(cache.disconnecting)

    def test_released_connection_serves_waiting_hop(self):
        made = node()
        _, cache = sent(made)
        asked(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.011)
        refused(made)
        self.assertEqual((cache.value().count(b'GET /read/k'), self.ended(made)), (2, ['committed']))

    def test_connection_is_not_reused_right_after_an_answer(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual((cache.value().count(b'GET /read/k'), len(made.reactor.tcpClients)), (1, dials + 1))

    def test_failed_connect_does_not_end_hop_with_another_connect_pending(self):
        made = node()
        _, cache = sent(made)
        asked(made)
        asked(made)
        cache.protocol.dataReceived(said())  # serves the first of the two
        made.reactor.advance(0.011)
        refused(made, -2)
        self.assertEqual(self.ended(made), ['committed'])

    def test_waiting_hop_is_not_sent_to_draining_server(self):
        made = node()
        asked(made)
        made.servers['c0'].state = 'draining'
        cache = connection_up(made)
        self.assertEqual((cache.value(), cache.disconnecting), (b'', True))

    def test_retry_is_not_sent_after_connect_timeout(self):
        """The retry window reserves the connect timeout.

        A connection that another hop opened may come up later than that.
        """
        made = node()
        server, message = made.router.caches[0], asked(made).protocol.active.message
        refused(made)
        repeat, first = (
            made.caches.send(server, message, made.clock() + 9_000, lambda: True, again)
            for again in (True, False)
        )
        ended = []
        for exchange in (repeat, first):
            exchange.done.addCallback(lambda ending: ended.append(ending[0]))
        pool = made.caches.pools[server]
        repeat.leave_by = made.clock() - 1
        wire = connection_up(made)
        self.assertEqual(
            (ended, first.link is wire.protocol, pool.waiting), (['unsent'], True, type(pool.waiting)())
        )

    def test_partly_sent_request_is_aborted_without_cancellation(self):
        made = node()
        made.config.terms.may_cancel = False
        wire = asked(made)
        cache = connection_up(made, stuck=True)
        cache.protocol.all_sent = False  # partly sent
        lost(wire)
        self.assertEqual((cache.aborted, len(made.attempts)), (True, 0))

    def test_req_deadline_counts_from_sending(self):
        made = node()
        asked(made)
        made.reactor.advance(0.2)
        self.assertIn(b'Req-Deadline: 1.8', connection_up(made).value())

    def test_client_is_answered_at_limit_without_router_decision(self):
        made = node()
        wire, _ = sent(made)
        made.router.decide = lambda now: None
        made.reactor.pump([0.1] * 21)
        self.assertEqual((status(wire), len(made.active_requests)), (504, 0))


class Discovered(Quiet):
    def test_change_reaches_the_router(self):
        made = node()
        watched(made).protocol.dataReceived(
            chunk(
                {'generation': 5, 'reset': False, 'instances': [entry('c0', state='DRAINING'), entry('c1')]}
            )
        )
        self.assertEqual(([s.name for s in made.router.caches], made.discovery.version), (['c1'], 5))

    def test_flood_of_changes_is_applied_over_several_turns(self):
        """Guards against a turn of the event loop that lasts as long as all changes of a read take."""
        made = node()
        watch = watched(made)
        changes = [{'generation': 5 + n, 'reset': False, 'instances': [entry('c%d' % n)]} for n in range(100)]
        watch.protocol.dataReceived(b''.join(chunk(change) for change in changes))
        first = made.discovery.version
        for _ in range(100):
            made.reactor.advance(0)
        self.assertEqual((first < 20, made.discovery.version, len(made.router.caches)), (True, 104, 100))

    def test_server_missing_from_complete_list_is_gone(self):
        made = node()
        watched(made).protocol.dataReceived(
            chunk({'generation': 5, 'reset': True, 'instances': [entry('c9')]})
        )
        self.assertEqual(([s.name for s in made.router.caches], made.router.origin), (['c9'], None))

    def test_malformed_lines_end_the_watch_and_keep_the_list(self):
        good = {'generation': 5, 'reset': True, 'instances': [entry('c9')]}
        bad = [
            dict(good, generation='5'),
            dict(good, reset=0),
            dict(good, instances={}),
            7,
            [],
            dict(good, instances=[entry('c9', hostPort='cache.local:80')]),
            dict(good, instances=[entry('c9', state='ASLEEP')]),
            dict(good, instances=[entry('c9', weight=float('nan'))]),
            dict(good, instances=[entry('c9', cell=True)]),
        ]
        for line in [chunk(value) for value in bad] + [b'3\r\n{\n\n\r\n', b'zz\r\n', b'0\r\n\r\n']:
            with self.subTest(line=line[:70]):
                made = node()
                wire = watched(made)
                wire.protocol.dataReceived(line)
                self.assertEqual(
                    (wire.aborted, [s.name for s in made.router.caches], made.discovery.version),
                    (True, ['c0'], 4),
                )

    def test_rejected_watch_keeps_the_list(self):
        made = node()
        wire = connection_up(made, 0)
        wire.protocol.dataReceived(b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n')
        self.assertEqual((wire.aborted, made.discovery.failures), (True, 1))

    def test_silent_watch_is_closed_but_not_one_with_heartbeats(self):
        for line, dead in ((b'', True), (chunk(None), False)):
            made = node()
            wire = watched(made)
            for _ in range(3):
                made.reactor.advance(1.9)
                if line:
                    wire.protocol.dataReceived(line)
            self.assertEqual(wire.aborted, dead)

    def test_watch_retries_back_off_and_resume_from_version(self):
        made, times = node(), []
        for _ in range(8):
            refused(made)
            tries = len(made.reactor.tcpClients)
            while len(made.reactor.tcpClients) == tries:
                made.reactor.advance(0.01)
            times.append(made.clock())
        waits = [later - sooner for sooner, later in zip(times, times[1:])]
        self.assertTrue(waits[0] < waits[2] and max(waits) <= 2_600, waits)
        self.assertIn(b'index=4 ', connection_up(made).value())

    def test_watch_is_reopened_soon_while_agent_is_silent(self):
        made = node()
        watched(made)
        without, longest = 0, 0
        for _ in range(1_200):  # 12 s
            made.reactor.advance(0.01)
            without = 0 if made.discovery.watch else without + 1
            longest = max(longest, without)
        self.assertTrue(5 <= longest <= 26, longest)

    def test_watch_is_reopened_soon_in_on_request_mode(self):
        for within in (0.4, 0.3, 0.05):
            with self.subTest(within=within):
                made = node(
                    settings=changed_settings(
                        membershipMode='on_request', safety={'stopSendingWithinS': within}
                    )
                )
                connection_up(made).protocol.dataReceived(WATCH)
                without, longest = 0, 0
                for _ in range(1_200):
                    made.reactor.advance(0.01)
                    without = 0 if made.discovery.watch else without + 1
                    longest = max(longest, without)
                self.assertTrue(1 <= longest <= 100 * within, longest)

    def test_backoff_grows_for_throttled_calls_only(self):
        for head, least, most in (
            (DECLINED, 8, 14),
            (b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n', 90, 240),
        ):
            made, calls = node(settings=changed_settings(membershipMode='on_request')), 0
            for _ in range(2_000):  # 20 s
                if len(made.reactor.tcpClients) > calls:
                    calls = len(made.reactor.tcpClients)
                    connection_up(made).protocol.dataReceived(head)
                made.reactor.advance(0.01)
            with self.subTest(head=head[:13]):
                self.assertTrue(least <= calls <= most, calls)

    def test_queued_call_is_not_abandoned(self):
        for mode, kept in (('pushed', False), ('on_request', True)):
            made = node(settings=changed_settings(membershipMode=mode))
            wire = connection_up(made)
            made.reactor.advance(2.6)
            self.assertEqual(not wire.aborted, kept)

    def test_change_is_applied_in_time_after_any_failure(self):
        """Measured from when discovery becomes reachable until the list is in force, whatever happened
        to earlier calls. The call in progress at that moment may be silent or trickle.
        """
        rng = Random(7)
        for mode, within, most in (
            ('pushed', 0.4, 5.0),
            ('on_request', 0.4, 5.0),
            ('pushed', 9.0, 5.8),
            ('on_request', 9.0, 5.8),
        ):
            longest = 0
            for _ in range(60):
                made = node(
                    settings=changed_settings(membershipMode=mode, safety={'stopSendingWithinS': within})
                )
                reached = made.clock() + rng.randrange(120_000)
                longest = max(longest, self.play(made, rng, reached) - reached)
            with self.subTest(mode=mode, within=within):
                self.assertLess(longest, most * 10_000)

    def play(self, made, rng, reached):
        """Fail calls at random until `reached`, answer the next one, and return when the list is in
        force.
        """
        calls, trickling, change = (
            0,
            None,
            chunk({'generation': 9, 'reset': False, 'instances': [entry('c0', state='DRAINING')]}),
        )
        while made.router.caches:
            self.assertLess(made.clock(), reached + 100_000)
            if len(made.reactor.tcpClients) > calls:
                calls = len(made.reactor.tcpClients)
                how, trickling = (
                    rng.choice(('refused', 'no connection', 'silent', 'head', 'trickle', 'declined')),
                    None,
                )
                if made.clock() >= reached:
                    connection_up(made).protocol.dataReceived(WATCH + change)
                elif how == 'refused':
                    refused(made)
                elif how == 'declined':
                    connection_up(made).protocol.dataReceived(DECLINED)
                elif how != 'no connection':
                    wire = connection_up(made)
                    if how != 'silent':
                        wire.protocol.dataReceived(WATCH)
                    trickling = wire if how == 'trickle' else None
            if trickling and not trickling.aborted:
                trickling.protocol.dataReceived(b'1\r\n \r\n')
            made.reactor.advance(0.02)
        return made.clock()

    def test_watch_moves_immediately_and_old_one_is_ignored(self):
        made = node()
        old = watched(made)
        moved = made.discovery.move(('127.0.0.1', 8501))
        old.protocol.dataReceived(chunk({'generation': 9, 'reset': True, 'instances': []}))
        lost(old)
        made.reactor.advance(0.9)
        self.assertEqual(
            (moved, old.aborted, made.reactor.tcpClients[-1][1], len(made.reactor.tcpClients)),
            (True, True, 8501, 2),
        )
        self.assertEqual(
            (made.discovery.version, made.discovery.failures, len(made.router.caches)), (4, 0, 1)
        )
        self.assertIn(b'index=4 ', connection_up(made).value())

    def test_move_resets_backoff(self):
        made = node()
        for _ in range(6):
            refused(made)
            made.reactor.advance(1.6)
        refused(made)
        made.discovery.move(('127.0.0.1', 8501))
        refused(made)
        tries = len(made.reactor.tcpClients)
        made.reactor.advance(0.11)
        self.assertEqual(len(made.reactor.tcpClients), tries + 1)

    def test_page_reload_and_invalid_page(self):
        made = node()
        for text, port in (
            (page(discovery='127.0.0.1:8501'), 8501),
            ('{', 8501),
            ('[' * 100_000, 8501),
            (page(discovery='127.0.0.1:8501', listen='x'), 8501),
            (page(), 8500),
            (page(), 8500),
        ):
            with self.subTest(text=text[:80]), tempfile.NamedTemporaryFile('w') as file:
                file.write(text)
                file.flush()
                made.reload(file.name)
                self.assertEqual((made.discovery.target[1], made.discovery.watch is None), (port, False))
        made.reload('/nowhere')
        self.assertEqual(len(made.reactor.tcpClients), 3)

    def test_unix_start_time_is_converted_to_router_clock(self):
        made = node()
        self.assertEqual(
            started(Entry(entry('c', startedAtMs=-made.starts.offset / 10)), made.starts.offset), 0
        )
        self.assertIsNone(started(Entry(entry('c')), made.starts.offset))

    def test_moved_server_is_not_reached_at_old_address(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.listed(False, [Entry(entry('c0', hostPort='127.0.0.1:8001'))])
        asked(made)
        self.assertEqual((cache.disconnecting, made.reactor.tcpClients[-1][1]), (True, 8001))

    def test_gone_server_is_forgotten_after_its_last_hop(self):
        made, counts = node(), []
        sent(made)
        for number in range(5, 8):
            made.listed(True, [Entry(entry('c%d' % number)), Entry(entry('o', 'origin'))])
            counts.append((len(made.servers), len(made.caches.pools), len(made.router.servers_by_name)))
            if number == 6:
                made.reactor.pump([0.1] * 21)  # the hop's limit
        self.assertEqual(counts, [(3, 3, 3), (3, 3, 3), (2, 2, 2)])

    def test_new_server_at_old_address_is_new(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.listed(False, [Entry(entry('c0', state='DELETED')), Entry(entry('c9', startedAtMs=1e12))])
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual(
            (cache.disconnecting, len(made.reactor.tcpClients), sorted(made.servers)),
            (True, dials + 1, ['c9', 'o']),
        )

    def test_connections_to_draining_servers_are_closed(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        self.assertTrue(cache.disconnecting)


class Zones(Quiet):
    def dials(self, **fees):
        """Return the ports that a node of zone b dials for forty new keys, with two caches in each
        zone.
        """
        settings = dict(SETTINGS, zone=1, fees=dict(SETTINGS['fees'], **fees))
        rows = [entry('c%d' % n, zone='ab'[n % 2], hostPort='127.0.0.1:%d' % (8000 + n)) for n in range(4)]
        made = node(
            settings=settings,
            known={'generation': 1, 'reset': True, 'instances': rows + [entry('o', 'origin')]},
        )
        made.router.gets_hops_often, before = False, len(made.reactor.tcpClients)
        for key in range(40):
            asked(made, 'GET /read/%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\n\r\n' % (key, key))
        return {dial[1] for dial in made.reactor.tcpClients[before:]}

    def test_keys_stay_in_zone_when_cross_zone_is_expensive(self):
        self.assertEqual(self.dials(crossZone=0.06, waste=0.04), {8001, 8003})

    def test_keys_have_one_home_when_cross_zone_is_cheap(self):
        self.assertEqual(self.dials(crossZone=0.014, waste=0.052), {8000, 8001, 8002, 8003})


class Phases(Quiet):
    def test_nothing_is_sent_before_first_list(self):
        """Guards against sends by the remembered list to a server that drained while the node was down."""
        made = starting()
        wires = [asked(made), asked(made, PUT % 'read')]
        before = (made.phase, made.ready(), [status(wire) for wire in wires], len(made.reactor.tcpClients))
        made.reactor.advance(0.2)
        made.listed(False, [Entry(entry(name, state='DRAINING')) for name in ('c0', 'o')])
        after = (made.phase, made.ready(), [status(wire) for wire in wires], len(made.reactor.tcpClients))
        self.assertEqual(
            (before, after), ((STARTING, False, [None, None], 1), (SERVING, False, [503, 503], 1))
        )

    def test_node_serves_soon_without_discovery(self):
        silent, away = starting(), starting()
        silent.reactor.pump([0.1] * 11)
        refused(away)
        self.assertEqual((silent.phase, away.phase), (SERVING, SERVING))

    def test_node_serves_soon_with_queued_call(self):
        for mode in ('pushed', 'on_request'):
            with self.subTest(mode=mode):
                made = starting(settings=changed_settings(membershipMode=mode))
                connection_up(made)
                made.reactor.advance(0.95)
                before = made.phase
                made.reactor.advance(0.1)
                self.assertEqual((before, made.phase), (STARTING, SERVING))

    def test_sighup_before_first_list_moves_the_watch(self):
        made = starting()
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            file.write(page(discovery='127.0.0.1:8501'))
            file.flush()
            made.reload(file.name)
        self.assertEqual((made.reactor.tcpClients[-1][:2], made.phase), (('127.0.0.1', 8501), STARTING))

    def test_sigterm_before_first_list_sends_nothing_by_the_remembered_list(self):
        """The remembered list may name a server that drained while the node was down."""
        made = starting()
        first = asked(made)
        made.drain()
        second = asked(made)
        before = made.phase, status(first), status(second), len(made.reactor.tcpClients)
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        third = asked(made)
        after = made.phase, status(first), status(second), status(third), len(made.reactor.tcpClients)
        self.assertEqual((before, after), ((DRAINING, None, None, 1), (DRAINING, 503, 503, 503, 1)))

    def test_sigterm_before_serving_with_lost_watch_exits_in_time(self):
        made = starting()
        made.drain()
        told = made.clock()
        refused(made)
        self.assertEqual(
            (made.phase, made.shutdown.last), (DRAINING, told + made.listener.longest_limit + 5_000)
        )

    def test_ready_only_when_able_to_serve(self):
        empty = {'generation': 0, 'reset': True, 'instances': []}
        for made, expected in ((node(), 200), (node(known=empty), 503), (node(known={}), 503)):
            self.assertEqual(status(asked(made, 'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')), expected)

    def test_draining_node_answers_and_closes_connections(self):
        made = node()
        made.drain()
        wire, cache = sent(made)
        cache.protocol.dataReceived(said())
        self.assertEqual((made.phase, status(wire), wire.half_closed), (DRAINING, 200, True))
        self.assertIn(b'Connection: close', wire.value())
        self.assertEqual(status(asked(made, 'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')), 503)

    def test_node_exits_once_nothing_is_pending(self):
        made = node()
        wire, cache = sent(made)
        made.drain()
        made.reactor.pump([0.1] * 10)
        waiting = made.phase
        cache.protocol.dataReceived(said())
        lost(wire)
        made.reactor.pump([0.1] * 10)
        self.assertEqual((waiting, made.phase, made.reactor.hasStopped), (DRAINING, STOPPED, True))

    def test_idle_clients_stay_while_new_ones_connect(self):
        made = node()
        _, wire = client(made)
        made.drain()
        made.reactor.advance(0.45)
        early = wire.ended
        made.reactor.advance(0.1)
        self.assertEqual((early, wire.disconnecting), (False, True))

    def test_new_client_is_kept_when_idle_ones_are_closed(self):
        """After SIGTERM connections are accepted before their first bytes arrive."""
        made = node()
        made.drain()
        made.reactor.advance(0.49)
        _, wire = client(made)
        made.reactor.pump([0.02] * 5)
        early = wire.ended
        made.reactor.pump([0.05] * 5)
        self.assertEqual((early, wire.disconnecting), (False, True))

    def test_client_that_stays_does_not_block_exit(self):
        made = node()
        asked(made, 'GET /read/k HT')
        made.drain()
        made.reactor.pump([0.05] * 80)
        self.assertEqual(made.phase, STOPPED)

    def test_fault_in_one_transaction_does_not_affect_others(self):
        made = node()
        step, dials = made.router.next_decision, len(made.reactor.tcpClients)
        made.router.next_decision = lambda now, tx: step(now, tx) if tx.key == 'k' else {}['fault']
        bad = asked(made, 'GET /read/bad HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n')
        asked(made)
        served = len(made.reactor.tcpClients) - dials
        made.reactor.pump([0.1] * 21)
        self.assertEqual((made.phase, served, status(bad)), (SERVING, 1, 504))

    def test_router_requests_the_watch_in_on_request_mode(self):
        made = node()
        made.discovery.pushed = False
        made.router.list_request_at = made.clock() + 1
        refused(made)
        self.assertGreater(made.router.failures, 0)

    def test_origin_is_identified_by_kind(self):
        made = node()
        self.assertIsInstance(made.router.origin, Server)
        with self.assertRaises(InvalidValueError):
            Entry(entry('c', hostPort='127.0.0.1:0'))
