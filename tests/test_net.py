"""The node on sockets, without sockets: clients, hops, discovery, phases, slots and deadlines."""

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
from lilacdyke.net.http import one_read
from lilacdyke.net.logs import KeyValue, Sparse
from lilacdyke.net.node import DRAINING, SERVING, STARTING, STOPPED
from lilacdyke.net.sockets import Door
from lilacdyke.net.tables import Deadlines, Table
from lilacdyke.values import BadLine

from .helpers import (
    SETTINGS,
    Wire,
    asked,
    client,
    dialled,
    entry,
    grown,
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
    """The status of the first answer on a client's wire; None while there is none."""
    return int(wire.value()[9:12]) if wire.value() else None


def fail_here(made, which=-1):
    """Let a connection that the node opens fail as its own machine has no memory."""
    made.reactor.tcpClients[which][2].clientConnectionFailed(None, Failure(ConnectBindError(ENOBUFS, 'full')))


def chunk(value):
    """One line of the watch; None: the empty one."""
    line = (json.dumps(value) if value is not None else '').encode() + b'\n'
    return b'%x\r\n%s\r\n' % (len(line), line)


def watched(made):
    """The node's watch, with its head read: its wire."""
    wire = dialled(made, 0)
    wire.protocol.dataReceived(WATCH)
    return wire


class Quiet(unittest.TestCase):
    """Silences what the node logs."""

    def setUp(self):
        logging.disable(logging.CRITICAL)

    def tearDown(self):
        logging.disable(logging.NOTSET)


class Slots(unittest.TestCase):
    def test_a_late_number_does_not_find_the_next_holder(self):
        table = Table()
        first = table.add('a')
        table.remove(first)
        second = table.add('b')
        self.assertEqual(
            (table.get(first), table.get(second), len(table), list(table)), (None, 'b', 1, ['b'])
        )

    def test_removing_twice_frees_once(self):
        table = Table()
        number = table.add('a')
        table.remove(number)
        table.remove(number)
        self.assertEqual((table.add('b') != table.add('c'), len(table)), (True, 2))


class Timing(Quiet):
    def test_a_fault_in_one_does_not_keep_the_others_from_their_time(self):
        now, called, timers = [0], [], []
        deadlines = Deadlines(lambda: now[0], lambda wait, call: timers.append((wait, call)) or self)
        deadlines.at(5, {}.pop, 1)
        deadlines.at(5, called.append, 2)
        deadlines.at(9, called.append, 3)
        now[0] = 5
        timers[-1][1]()
        self.assertEqual((called, timers[-1][0]), ([2], 4 / 10_000))

    def test_after_a_standstill_sockets_come_first(self):
        now, called, timers = [0], [], []
        deadlines = Deadlines(lambda: now[0], lambda wait, call: timers.append((wait, call)) or self)
        deadlines.at(5, called.append, 2)
        now[0] = 5_000
        timers[-1][1]()
        before = list(called)
        timers[-1][1]()
        self.assertEqual((before, timers[-1][0], called), ([], 0, [2]))

    def test_what_is_added_for_now_waits_a_turn(self):
        called, timers = [], []
        deadlines = Deadlines(lambda: 0, lambda wait, call: timers.append(call) or self)
        deadlines.at(0, lambda number: deadlines.at(0, called.append, 2), 1)
        timers[-1]()
        self.assertEqual((called, len(timers)), ([], 2))

    def test_one_timer_moved_when_something_is_due_sooner(self):
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

    def test_one_line_whatever_the_values_hold(self):
        line = KeyValue().format(self.record(server='a b', reason='x\ny="1"', count=3))
        self.assertTrue(
            line.endswith('level=info event="set aside" server="a b" reason="x\\ny=\\"1\\"" count=3')
        )

    def test_the_same_fault_is_written_a_few_times_only(self):
        sparse = Sparse()
        written = [sparse.filter(self.record('fault', logging.ERROR)) for _ in range(9)]
        self.assertEqual(written.count(True), Sparse.MOST)


class Clients(Quiet):
    def test_a_served_request(self):
        wire, cache = sent(node())
        cache.protocol.dataReceived(said(body='value'))
        self.assertEqual(wire.value(), b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue')

    def test_bad_requests(self):
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
            start + 'Host: x\r\nReq-Id: 1\r\nReq-Owner: nobody\r\n\r\n': (400, True),
            start + 'Content-Length: 70000000\r\n\r\n': (413, True),
            start + 'a' * 20_000: (431, True),
        }
        for text, expected in cases.items():
            with self.subTest(text=text[:60]):
                wire = asked(node(), text)
                self.assertEqual((status(wire), wire.half_closed), expected)

    def test_a_read_that_may_have_a_body_is_not_taken_for_a_whole_one_by_its_head(self):
        start = b'GET /read/k HTTP/1.1\r\nHost: x\r\n'
        for more in (
            b'Content-Length: 3\r\n',
            b'TRANSFER-ENCODING : chunked\r\n',
            b'content-length:3\r\nA: b\r\n',
        ):
            with self.subTest(more=more):
                self.assertFalse(one_read(start + more + b'\r\n'))
        for more in (b'', b'X-Content-Length: 3\r\n', b'A: content-length: 3\r\n'):
            self.assertTrue(one_read(start + more + b'\r\n'))

    def test_a_request_cut_at_any_byte_is_the_same_request(self):
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
            origin = dialled(made)
            self.assertTrue(origin.value().endswith(b'Content-Length: 5\r\n\r\nabcde'), at)

    def test_the_limit_runs_from_the_last_byte_and_not_beyond_the_profiles(self):
        made = node()
        wire = asked(made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Deadline: 99\r\n')
        made.reactor.advance(0.5)
        wire.protocol.dataReceived(b'Req-Id: 1\r\n\r\n')
        self.assertEqual(wire.protocol.active.tx.limit, made.clock() + 20_000)

    def test_what_lay_unread_has_used_up_its_time(self):
        made = node()
        protocol, wire = client(made)
        wire.age = 120
        protocol.dataReceived(b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Deadline: 1\r\n\r\n')
        self.assertEqual(protocol.active.tx.limit, made.clock() + 8_800)

    def test_what_waited_too_long_is_refused_unread_and_its_connection_stays(self):
        made = node()
        protocol, wire = client(made)
        wire.age = 251  # a goal is 500
        protocol.dataReceived(b'GET /nowhere/k HTTP/1.1\r\n\r\n')
        first = status(wire), wire.ended
        wire.age = 0
        protocol.dataReceived(b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n')
        self.assertEqual((first, len(made.active_requests)), ((503, False), 1))

    def test_a_second_request_behind_the_first_waits_for_its_answer(self):
        made = node()
        wire, cache = sent(
            made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\nGET /ready HTTP/1.1\r\nHost: x\r\n\r\n'
        )
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.001)
        self.assertEqual(wire.value().count(b'HTTP/1.1 200 OK'), 2)

    def test_a_client_that_sends_ahead_without_end_is_paused(self):
        wire, _ = sent(node())
        wire.protocol.dataReceived(b'x' * (client_module.MAX_READ_AHEAD + 1))
        self.assertEqual(wire.producerState, 'paused')

    def test_half_a_request_is_not_waited_for_without_end(self):
        made = node()
        wire = asked(made, 'GET /read/k HT')
        made.reactor.pump([0.5] * 5)
        self.assertEqual((status(wire), wire.half_closed), (408, True))

    def test_a_client_that_never_closes_is_cut(self):
        made = node()
        wire = asked(made, 'nonsense\r\n\r\n')
        made.reactor.advance(1.1)
        self.assertEqual(
            (wire.disconnecting, wire.aborted), (True, False)
        )  # a reset would take the answer back

    def test_one_whose_answer_has_not_left_is_not_closed_on(self):
        made = node()
        wire = asked(made, 'nonsense\r\n\r\n')
        wire.dataBuffer = b'the rest'
        made.reactor.pump([0.5] * 10)
        self.assertFalse(wire.disconnecting or wire.aborted)
        made.reactor.pump([0.5] * 12)
        self.assertTrue(wire.aborted)

    def test_one_that_says_nothing_is_closed_in_time_and_so_is_one_that_says_next_to_nothing(self):
        made = node()
        silent, empty = client(made)[1], asked(made, '\r\n')
        for _ in range(25):
            made.reactor.advance(0.1)
            empty.protocol.dataReceived(b'\r\n')
        self.assertEqual((silent.disconnecting, status(empty)), (True, 408))

    def test_one_that_asked_once_and_stays_is_closed_after_a_while(self):
        made = node()
        wire = asked(made, READY)
        made.reactor.pump([0.1] * 20)
        early = wire.ended
        made.reactor.pump([0.1] * 25)
        self.assertEqual((early, wire.disconnecting), (False, True))

    def test_a_refused_client_that_goes_on_sending_is_not_read_and_not_reset_at_once(self):
        wire = asked(node(), 'PUT /read/k HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n')
        wire.protocol.dataReceived(b'x' * (client_module.MAX_READ_AHEAD + 1))
        self.assertEqual((status(wire), wire.producerState, wire.aborted), (413, 'paused', False))

    def test_an_id_that_is_open_is_refused_and_the_first_goes_on(self):
        made = node()
        text = 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n'
        wire, cache = sent(made, text)
        dials = len(made.reactor.tcpClients)
        second = asked(made, text)
        cache.protocol.dataReceived(said())
        self.assertEqual((status(second), status(wire), len(made.reactor.tcpClients)), (409, 200, dials))
        self.assertEqual(status(asked(made, text)), None)  # it is free again

    def test_one_that_asks_for_nothing_there_is_again_and_again_loses_its_connection(self):
        wire = asked(node(), 'GET /nope HTTP/1.1\r\nHost: x\r\n\r\n')
        for _ in range(3):
            early = wire.ended
            wire.protocol.dataReceived(b'GET /nope HTTP/1.1\r\nHost: x\r\n\r\n')
        self.assertEqual((early, wire.half_closed), (False, True))

    def test_what_the_system_does_not_take_at_once_is_written_later(self):
        wire, cache = sent(node())
        wire.send = lambda data: wire.write(data[:10]) or 10
        cache.protocol.dataReceived(said(body='value'))
        self.assertEqual(wire.value(), b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue')

    def test_a_client_that_waits_to_send_its_body_is_told_to(self):
        wire = asked(node(), PUT[:-2].replace('Host', 'Expect: 100-continue\r\nHost') % 'read')
        self.assertEqual(wire.value(), b'HTTP/1.1 100 Continue\r\n\r\n')

    def test_a_client_that_goes_ends_its_hops(self):
        made = node()
        wire, cache = sent(made)
        lost(wire)
        self.assertEqual((cache.disconnecting, len(made.active_requests), len(made.attempts)), (True, 0, 0))

    def test_a_fault_of_ours_is_answered(self):
        made = node()
        made.router.take = lambda *given: {}['fault']
        wire = asked(made)
        self.assertEqual((status(wire), len(made.active_requests)), (500, 0))


class Room(Quiet):
    """Running out of descriptors ends no node and loses no client."""

    def setUp(self):
        super().setUp()
        self.made = node(limits={'cores': 1, 'memory_mb': 192, 'sockets': 32})  # four clients
        self.listener = self.made.listener
        self.reading = []
        self.listener.port.stopReading = lambda: self.reading.append(False)
        self.listener.port.startReading = lambda: self.reading.append(True)

    def test_nobody_is_accepted_while_all_places_are_taken(self):
        protocols = [client(self.made)[0] for _ in range(4)]
        self.listener.closed(protocols[0])
        self.assertEqual(self.reading, [False, True])

    def test_the_longest_idle_makes_way(self):
        wires = [asked(self.made, READY) for _ in range(2)]
        self.made.reactor.advance(0.2)
        client(self.made)
        self.assertEqual([wire.ended for wire in wires], [True, False])

    def test_those_that_never_spoke_make_way_before_those_that_did(self):
        spoke = asked(self.made, READY)
        silent = client(self.made)[1]
        self.made.reactor.advance(0.2)
        client(self.made)
        self.assertEqual((spoke.ended, silent.ended), (False, True))

    def test_one_with_a_request_unread_does_not(self):
        wires = [client(self.made)[1] for _ in range(2)]
        wires[0].unread = b'GET'
        self.made.reactor.advance(0.2)
        client(self.made)
        self.assertEqual([wire.ended for wire in wires], [False, True])

    def test_half_requests_do_not_keep_others_out(self):
        wires = [asked(self.made, 'GET /re') for _ in range(4)]
        self.made.reactor.pump([0.1] * 6)
        self.assertEqual([status(wire) for wire in wires], [408] * 4)

    def test_who_asked_once_and_stays_makes_way_well_before_places_run_out(self):
        self.listener.budget, wires = 32, []
        for _ in range(20):
            wires.append(asked(self.made, READY))
            self.made.reactor.advance(0.15)
            self.made.reactor.advance(0)
        self.assertEqual([wire.ended for wire in wires], [True] * 4 + [False] * 16)

    def test_idle_clients_do_not_keep_others_out(self):
        self.listener.budget = 32  # two make way at a time
        wires = [asked(self.made, READY) for _ in range(4)]
        self.made.reactor.advance(0.2)
        self.listener.full = True
        self.listener.evict_while_full()
        self.assertEqual([wire.ended for wire in wires].count(True), 2)

    def test_the_door_turns_away_who_has_waited_for_long_and_lets_go_who_has_gone(self):
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
        return Door(
            Wire(),
            self.made.router.late,
            one_read,
            self.listener.refusal,
            self.listener.crowded,
            self.made.call_failed,
        )

    def test_the_door_closes_on_nobody_whose_request_is_not_all_there(self):
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

    def test_one_that_cannot_be_answered_now_is_let_in_with_its_request(self):
        door, wire = self.door(), Wire()
        wire.state, wire.age, wire.unread = 1, 300, b'GET /read/k HTTP/1.1\r\n\r\n'
        door.listening.accept = lambda: (wire, 'there')

        def send(data, flags=0):
            raise OSError(ENOBUFS, 'no memory')

        wire.send = send
        self.assertEqual((door.accept()[0], wire.closed), (wire, False))
        self.assertEqual(self.made.counts['failed_send_ENOBUFS'], 1)

    def test_an_attempt_of_which_nothing_has_left_does_not_leave_once_its_server_drains(self):
        made = node()
        wire = asked(made)
        server = dialled(made, stuck=True)
        server.dataBuffer = b'x' * 10_000  # as it would be held in the transport
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        self.assertEqual((made.counts['hops_unsent'], status(wire)), (1, 503))
        self.assertTrue(server.ended)

    def test_one_that_takes_no_answer_now_is_let_in_with_its_request(self):
        late, fine, flags = Wire(), Wire(), []
        wires = [late, fine]
        late.state, late.age, late.unread, late.stuck = 1, 300, b'GET /read/k HTTP/1.1\r\n\r\n', True
        usual = late.recv
        late.recv = lambda count, how: flags.append(how) or usual(count, how)
        door = self.door()
        door.listening.accept = lambda: (wires.pop(0), 'there')
        self.assertEqual((door.accept()[0] is late, late.closed), (True, False))
        self.assertTrue(all(how & socket.MSG_PEEK for how in flags))  # nothing of it was taken

    def test_a_door_without_a_descriptor_has_idle_ones_make_way_and_closes_nobody(self):
        door = self.door()

        def none_left():
            raise OSError(EMFILE, 'too many open files')

        door.listening.accept = none_left
        _, cache = sent(self.made)
        cache.protocol.dataReceived(said())
        with self.assertRaises(BlockingIOError):
            door.accept()
        self.assertEqual((cache.disconnecting, self.made.counts['no_descriptor']), (True, 1))

    def test_one_that_has_just_come_does_not(self):
        wires = [client(self.made)[1] for _ in range(4)]
        self.assertFalse(any(wire.ended for wire in wires))

    def test_a_hop_without_a_descriptor_was_not_sent(self):
        self.made.caches.budget = 0
        wire = asked(self.made)
        self.assertEqual((status(wire), self.made.counts['hops_unsent']), (503, 1))

    def test_an_idle_connection_to_a_cache_makes_way(self):
        _, cache = sent(self.made)
        cache.protocol.dataReceived(said())
        self.made.caches.budget = 1
        dials = len(self.made.reactor.tcpClients)
        asked(self.made, PUT % 'once')  # to the origin
        self.assertEqual((cache.disconnecting, len(self.made.reactor.tcpClients)), (True, dials + 1))

    def test_the_system_running_out_is_no_word_about_the_cache(self):
        asked(self.made)
        self.made.reactor.tcpClients[-1][2].clientConnectionFailed(
            None, Failure(ConnectBindError(EMFILE, 'full'))
        )
        self.assertEqual(self.made.counts['hops_unsent'], 1)

    def test_nor_is_any_other_failure_of_this_machine(self):
        asked(self.made)
        fail_here(self.made)
        self.assertEqual(self.made.counts['hops_unsent'], 0)  # it is tried again, for an eighth of its time
        tries = len(self.made.reactor.tcpClients)
        self.made.reactor.advance(0.006)
        self.assertEqual(len(self.made.reactor.tcpClients), tries + 1)
        for _ in range(100):
            fail_here(self.made)
            self.made.reactor.advance(0.1)
        self.assertEqual((self.made.counts['hops_unsent'], self.made.servers['c0'].doubt), (1, 0))


class OwnMachine(Quiet):
    """What the node does while calls of its own machine fail."""

    def setUp(self):
        super().setUp()
        self.made = node()

    def test_tries_to_connect_come_ever_later_and_no_more_than_a_few_a_second(self):
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

    def test_all_that_wait_leave_once_it_can_connect(self):
        wires = [asked(self.made) for _ in range(3)]
        for which in (-3, -2, -1):
            fail_here(self.made, which)
        self.made.reactor.advance(0.006)
        made = len(self.made.reactor.tcpClients)
        dialled(self.made).protocol.dataReceived(said())
        self.assertEqual(len(self.made.reactor.tcpClients), made + 2)
        for which in (-2, -1):
            dialled(self.made, which).protocol.dataReceived(said())
        self.assertEqual([status(wire) for wire in wires], [200] * 3)

    def test_a_hop_that_never_left_says_nothing_at_its_limit(self):
        wire = asked(
            self.made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nReq-Deadline: 0.004\r\n\r\n'
        )
        fail_here(self.made)
        self.made.reactor.advance(0.005)
        self.assertEqual((status(wire), self.made.servers['c0'].doubt), (503, 0))
        self.assertEqual(self.made.counts['failed_connect_ENOBUFS'], 1)

    def test_a_door_lets_go_of_connections_that_are_gone_and_waits_for_memory(self):
        errors, wire = [ECONNABORTED, EPROTO, EPERM], Wire()
        wire.state = 1

        def accept():
            if errors:
                raise OSError(errors.pop(0), 'x')
            return wire, 'there'

        door = Door(
            Wire(), lambda waited: False, one_read, bytes, self.made.listener.crowded, self.made.call_failed
        )
        door.listening.accept = accept
        self.assertIs(door.accept()[0], wire)
        errors.append(ENOBUFS)
        with self.assertRaises(BlockingIOError):
            door.accept()
        self.assertEqual(self.made.counts['failed_accept_ENOBUFS'], 1)
        self.assertEqual(self.made.counts['no_descriptor'], 0)


class Hops(Quiet):
    def test_a_server_that_refused_and_takes_connections_again_is_a_fresh_one(self):
        made = node()
        server = made.servers['c0']
        asked(made)
        made.reactor.tcpClients[-1][2].clientConnectionFailed(
            None, Failure(ConnectionRefusedError(ECONNREFUSED))
        )
        made.reactor.advance(1)
        before = server.started
        made.caches.send(server, asked(made).protocol.active.message, made.clock() + 100, lambda: True, False)
        dialled(made)
        self.assertEqual((before, server.started), (None, made.clock()))

    def test_one_that_never_refused_is_not(self):
        made = node()
        sent(made)
        self.assertIsNone(made.servers['c0'].started)

    def ended(self, made):
        """The endings of hops that the module was told."""
        return sorted(what[5:] for what in made.counts if what.startswith('hops_'))

    def test_what_an_answer_says(self):
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

    def test_a_request_that_a_server_rejects_is_not_tried_elsewhere(self):
        made = node(known={'generation': 4, 'reset': True, 'instances': [entry('c0'), entry('c1')]})
        wire, cache = sent(made)
        cache.protocol.dataReceived(said(400))
        self.assertEqual((status(wire), self.ended(made), made.router.poor), (400, ['rejected'], 0))

    def test_a_server_without_a_place_for_more_has_its_idle_connections_back_at_once(self):
        for more, rests in (('Srv-Declined: 1\r\nConnection: close\r\n', 0.1), ('Srv-Declined: 1\r\n', 9)):
            made = node()
            sent(made, PUT % 'read')[1].protocol.dataReceived(said(503, more=more))
            wire = dialled(made) if more.endswith('close\r\n') else None
            if wire is None:
                _, wire = sent(made, PUT.replace('Id: 1', 'Id: 2') % 'read')
            wire.protocol.dataReceived(said())
            made.reactor.pump([0.02] * 5)
            self.assertEqual(wire.ended, rests < 1)

    def test_a_half_answer_is_no_answer(self):
        made = node()
        wire, cache = sent(made, PUT % 'once')
        cache.protocol.dataReceived(said(body='value')[:-1])
        lost(cache)
        self.assertEqual((self.ended(made), status(wire)), (['lost'], 502))

    def test_broken_before_the_last_byte_left_it_never_ran(self):
        made = node()
        asked(made, PUT % 'once')
        dials = len(made.reactor.tcpClients)
        lost(dialled(made, stuck=True))
        self.assertEqual((self.ended(made), len(made.reactor.tcpClients)), (['unreachable'], dials + 1))

    def test_broken_after_it_it_may_have_run_and_nothing_goes_again(self):
        made = node()
        wire, cache = sent(made, PUT % 'once')
        dials = len(made.reactor.tcpClients)
        lost(cache)
        self.assertEqual(
            (self.ended(made), status(wire), len(made.reactor.tcpClients)), (['lost'], 502, dials)
        )

    def test_refused_connections_never_ran(self):
        made = node()
        asked(made)
        refused(made)
        self.assertEqual(self.ended(made), ['unreachable'])

    def test_a_connection_that_never_comes_up_is_given_up_in_time(self):
        made = node()
        asked(made)
        made.reactor.advance(0.26)
        self.assertEqual(self.ended(made), ['unreachable'])

    def test_a_hop_past_its_limit_ends_with_its_connection_and_the_client_is_answered(self):
        made = node()
        wire, cache = sent(made, PUT % 'once')
        made.reactor.pump([0.1] * 21)
        self.assertEqual((self.ended(made), cache.disconnecting, status(wire)), (['expired'], True, 504))

    def test_a_hop_that_nobody_waits_for_ends_even_where_none_may_be_cancelled(self):
        made = node()
        made.router.terms.may_cancel = False
        wire, _ = sent(made)
        lost(wire)
        waiting = len(made.attempts)
        made.reactor.pump([0.1] * 21)
        self.assertEqual((waiting, len(made.attempts), made.caches.open), (1, 0, 0))

    def test_a_kept_connection_carries_the_next_hop(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.011)
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual((len(made.reactor.tcpClients), cache.value().count(b'GET /read/k')), (dials, 2))

    def test_a_connection_whose_end_lies_unread_does_not(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.011)
        cache.unread = b''
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual((len(made.reactor.tcpClients), cache.disconnecting), (dials + 1, True))

    def test_nor_one_whose_answer_said_close_or_more_than_was_asked(self):
        for answer in (said(more='Connection: close\r\n'), said() + b'x'):
            made = node()
            _, cache = sent(made)
            cache.protocol.dataReceived(answer)
            self.assertEqual((cache.disconnecting, made.caches.resting), (True, {}))

    def test_idle_connections_close_well_before_the_server_does(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(9.1)
        self.assertTrue(cache.disconnecting)

    def test_a_connection_that_comes_free_serves_who_waits(self):
        made = node()
        _, cache = sent(made)
        asked(made)
        cache.protocol.dataReceived(said())
        made.reactor.advance(0.011)
        refused(made)
        self.assertEqual((cache.value().count(b'GET /read/k'), self.ended(made)), (2, ['committed']))

    def test_one_that_was_just_answered_on_does_not_yet_carry_the_next_hop(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        dials = len(made.reactor.tcpClients)
        asked(made)
        self.assertEqual((cache.value().count(b'GET /read/k'), len(made.reactor.tcpClients)), (1, dials + 1))

    def test_a_connection_that_fails_ends_nobodys_wait_while_others_come(self):
        made = node()
        _, cache = sent(made)
        asked(made)
        asked(made)
        cache.protocol.dataReceived(said())  # serves the first of the two
        made.reactor.advance(0.011)
        refused(made, -2)
        self.assertEqual(self.ended(made), ['committed'])

    def test_nothing_leaves_for_a_server_that_began_to_drain_meanwhile(self):
        made = node()
        asked(made)
        made.servers['c0'].state = 'draining'
        cache = dialled(made)
        self.assertEqual((cache.value(), cache.disconnecting), (b'', True))

    def test_a_repeat_does_not_leave_later_than_a_connection_may_take_to_come_up(self):
        """The rule on repeats sets so much of their window aside, and no more: another's dial may come up later than its own."""
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
        wire = dialled(made)
        self.assertEqual(
            (ended, first.link is wire.protocol, pool.waiting), (['unsent'], True, type(pool.waiting)())
        )

    def test_what_has_not_left_whole_need_not_where_nothing_may_be_cancelled(self):
        made = node()
        made.place.terms.may_cancel = False
        wire = asked(made)
        cache = dialled(made, stuck=True)
        cache.protocol.left = False  # the system took a part
        lost(wire)
        self.assertEqual((cache.aborted, len(made.attempts)), (True, 0))

    def test_a_hop_tells_how_long_it_is_waited_for_from_when_it_leaves(self):
        made = node()
        asked(made)
        made.reactor.advance(0.2)
        self.assertIn(b'Req-Deadline: 1.8', dialled(made).value())

    def test_the_answer_is_owed_even_if_the_module_gives_none(self):
        made = node()
        wire, _ = sent(made)
        made.router.decide = lambda now: None
        made.reactor.pump([0.1] * 21)
        self.assertEqual((status(wire), len(made.active_requests)), (504, 0))


class Discovered(Quiet):
    def test_a_change_reaches_the_module(self):
        made = node()
        watched(made).protocol.dataReceived(
            chunk(
                {'generation': 5, 'reset': False, 'instances': [entry('c0', state='DRAINING'), entry('c1')]}
            )
        )
        self.assertEqual(([s.name for s in made.router.caches], made.discovery.version), (['c1'], 5))

    def test_what_a_whole_list_lacks_is_gone(self):
        made = node()
        watched(made).protocol.dataReceived(
            chunk({'generation': 5, 'reset': True, 'instances': [entry('c9')]})
        )
        self.assertEqual(([s.name for s in made.router.caches], made.router.origin), (['c9'], None))

    def test_bad_lines_end_the_watch_and_keep_the_list(self):
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

    def test_no_watch_is_no_list(self):
        made = node()
        wire = dialled(made, 0)
        wire.protocol.dataReceived(b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n')
        self.assertEqual((wire.aborted, made.discovery.failures), (True, 1))

    def test_a_silent_watch_is_dead_and_one_with_empty_lines_is_not(self):
        for line, dead in ((b'', True), (chunk(None), False)):
            made = node()
            wire = watched(made)
            for _ in range(3):
                made.reactor.advance(1.9)
                if line:
                    wire.protocol.dataReceived(line)
            self.assertEqual(wire.aborted, dead)

    def test_tries_come_ever_later_and_ask_for_what_came_since(self):
        made, times = node(), []
        for _ in range(8):
            refused(made)
            tries = len(made.reactor.tcpClients)
            while len(made.reactor.tcpClients) == tries:
                made.reactor.advance(0.01)
            times.append(made.clock())
        waits = [later - sooner for sooner, later in zip(times, times[1:])]
        self.assertTrue(waits[0] < waits[2] and max(waits) <= 2_600, waits)
        self.assertIn(b'index=4 ', dialled(made).value())

    def test_while_the_agent_is_silent_the_node_is_never_long_without_a_watch(self):
        made = node()
        watched(made)
        without, longest = 0, 0
        for _ in range(1_200):  # 12 s: a watch that is open is told at once
            made.reactor.advance(0.01)
            without = 0 if made.discovery.watch else without + 1
            longest = max(longest, without)
        self.assertTrue(5 <= longest <= 26, longest)

    def test_where_lists_are_asked_for_it_is_no_longer_without_one(self):
        for within in (0.4, 0.3, 0.05):
            with self.subTest(within=within):
                made = node(
                    settings=grown(membershipMode='on_request', safety={'stopSendingWithinS': within})
                )
                dialled(made).protocol.dataReceived(WATCH)
                without, longest = 0, 0
                for _ in range(1_200):
                    made.reactor.advance(0.01)
                    without = 0 if made.discovery.watch else without + 1
                    longest = max(longest, without)
                self.assertTrue(1 <= longest <= 100 * within, longest)

    def test_discovery_that_turns_calls_away_is_asked_ever_less_and_one_that_hangs_up_is_not(self):
        for head, least, most in (
            (DECLINED, 8, 14),
            (b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n', 90, 240),
        ):
            made, calls = node(settings=grown(membershipMode='on_request')), 0
            for _ in range(2_000):  # 20 s
                if len(made.reactor.tcpClients) > calls:
                    calls = len(made.reactor.tcpClients)
                    dialled(made).protocol.dataReceived(head)
                made.reactor.advance(0.01)
            with self.subTest(head=head[:13]):
                self.assertTrue(least <= calls <= most, calls)

    def test_a_call_that_waits_its_turn_is_waited_for(self):
        for mode, kept in (('pushed', False), ('on_request', True)):
            made = node(settings=grown(membershipMode=mode))
            wire = dialled(made)
            made.reactor.advance(2.6)
            self.assertEqual(not wire.aborted, kept)

    def test_whatever_call_failed_a_change_is_known_in_time(self):
        """From when discovery could be reached until the list is in force: whatever the calls before that came to, and the one under
        way then, which says nothing more, or trickles."""
        chance = Random(7)
        for mode, within, most in (
            ('pushed', 0.4, 5.0),
            ('on_request', 0.4, 5.0),
            ('pushed', 9.0, 5.8),
            ('on_request', 9.0, 5.8),
        ):
            longest = 0
            for _ in range(60):
                made = node(settings=grown(membershipMode=mode, safety={'stopSendingWithinS': within}))
                reached = made.clock() + chance.randrange(120_000)
                longest = max(longest, self.play(made, chance, reached) - reached)
            with self.subTest(mode=mode, within=within):
                self.assertLess(longest, most * 10_000)

    def play(self, made, chance, reached):
        """Calls that fail until then, in any way; the first one after it is answered at once. When the list was in force."""
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
                    chance.choice(('refused', 'no connection', 'silent', 'head', 'trickle', 'declined')),
                    None,
                )
                if made.clock() >= reached:
                    dialled(made).protocol.dataReceived(WATCH + change)
                elif how == 'refused':
                    refused(made)
                elif how == 'declined':
                    dialled(made).protocol.dataReceived(DECLINED)
                elif how != 'no connection':
                    wire = dialled(made)
                    if how != 'silent':
                        wire.protocol.dataReceived(WATCH)
                    trickling = wire if how == 'trickle' else None
            if trickling and not trickling.aborted:
                trickling.protocol.dataReceived(b'1\r\n \r\n')
            made.reactor.advance(0.02)
        return made.clock()

    def test_a_watch_moves_at_once_and_nothing_of_the_old_one_touches_the_new(self):
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
        self.assertIn(b'index=4 ', dialled(made).value())

    def test_a_move_does_not_inherit_the_old_waits(self):
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

    def test_the_page_is_read_again_and_a_bad_one_changes_nothing(self):
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
                made.reread(file.name)
                self.assertEqual((made.discovery.where[1], made.discovery.watch is None), (port, False))
        made.reread('/nowhere')
        self.assertEqual(len(made.reactor.tcpClients), 3)

    def test_unix_time_becomes_the_modules(self):
        made = node()
        self.assertEqual(
            started(Entry(entry('c', startedAtMs=-made.starts.offset / 10)), made.starts.offset), 0
        )
        self.assertIsNone(started(Entry(entry('c')), made.starts.offset))

    def test_a_server_that_moved_is_not_reached_where_it_was(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.listed(False, [Entry(entry('c0', hostPort='127.0.0.1:8001'))])
        asked(made)
        self.assertEqual((cache.disconnecting, made.reactor.tcpClients[-1][1]), (True, 8001))

    def test_who_is_gone_is_forgotten_once_no_hop_is_out(self):
        made, counts = node(), []
        sent(made)
        for number in range(5, 8):
            made.listed(True, [Entry(entry('c%d' % number)), Entry(entry('o', 'origin'))])
            counts.append((len(made.servers), len(made.caches.pools), len(made.router.known)))
            if number == 6:
                made.reactor.pump([0.1] * 21)  # the hop's limit
        self.assertEqual(counts, [(3, 3, 3), (3, 3, 3), (2, 2, 2)])

    def test_a_new_server_at_the_address_of_one_gone_is_new(self):
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

    def test_connections_to_who_drains_are_not_kept(self):
        made = node()
        _, cache = sent(made)
        cache.protocol.dataReceived(said())
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        self.assertTrue(cache.disconnecting)


class Zones(Quiet):
    def dials(self, **fees):
        """Which ports a node of zone b dials for forty new keys, with two caches in either zone."""
        settings = dict(SETTINGS, zone=1, fees=dict(SETTINGS['fees'], **fees))
        rows = [entry('c%d' % n, zone='ab'[n % 2], hostPort='127.0.0.1:%d' % (8000 + n)) for n in range(4)]
        made = node(
            settings=settings,
            known={'generation': 1, 'reset': True, 'instances': rows + [entry('o', 'origin')]},
        )
        made.router.often, before = False, len(made.reactor.tcpClients)
        for key in range(40):
            asked(made, 'GET /read/%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\n\r\n' % (key, key))
        return {dial[1] for dial in made.reactor.tcpClients[before:]}

    def test_keys_stay_in_the_zone_where_crossing_is_dear(self):
        self.assertEqual(self.dials(crossZone=0.06, waste=0.04), {8001, 8003})

    def test_keys_have_one_home_for_all_zones_elsewhere(self):
        self.assertEqual(self.dials(crossZone=0.014, waste=0.052), {8000, 8001, 8002, 8003})


class Phases(Quiet):
    def test_nobody_is_let_in_before_discovery_has_spoken(self):
        """Herd day: sends to a server that had drained while the node was down, 0.45 s after its start."""
        made, open_ = starting(), []
        made.listener.port.startReading = lambda: open_.append(made.phase)
        before = (made.phase, made.ready())
        made.reactor.advance(0.4)
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        self.assertEqual((before, open_, made.ready()), ((STARTING, False), [SERVING], False))

    def test_a_discovery_that_is_silent_or_away_keeps_nobody_out_for_long(self):
        silent, away = starting(), starting()
        silent.reactor.pump([0.1] * 11)
        refused(away)
        self.assertEqual((silent.phase, away.phase), (SERVING, SERVING))

    def test_nor_does_a_call_that_waits_its_turn(self):
        for mode in ('pushed', 'on_request'):
            with self.subTest(mode=mode):
                made = starting(settings=grown(membershipMode=mode))
                dialled(made)
                made.reactor.advance(0.95)
                before = made.phase
                made.reactor.advance(0.1)
                self.assertEqual((before, made.phase), (STARTING, SERVING))

    def test_sighup_before_discovery_has_spoken_moves_the_watch(self):
        made = starting()
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            file.write(page(discovery='127.0.0.1:8501'))
            file.flush()
            made.reread(file.name)
        self.assertEqual((made.reactor.tcpClients[-1][:2], made.phase), (('127.0.0.1', 8501), STARTING))

    def test_told_to_end_before_it_serves_it_lets_in_who_waits_once_discovery_has_spoken(self):
        """The remembered list may name a server that drained while nobody was here."""
        made, open_ = starting(), []
        made.listener.port.startReading = lambda: open_.append(made.phase)
        made.drain()
        before = made.phase, list(open_)
        made.listed(False, [Entry(entry('c0', state='DRAINING'))])
        wire = asked(made)
        self.assertEqual(
            (before, made.phase, open_[:1], status(wire)), ((STARTING, []), DRAINING, [SERVING], 503)
        )

    def test_nor_longer_than_a_lost_watch_takes_and_its_exit_counts_from_sigterm(self):
        made = starting()
        made.drain()
        told = made.clock()
        refused(made)
        self.assertEqual((made.phase, made.last), (DRAINING, told + made.listener.slowest + 5_000))

    def test_ready_only_when_it_can_serve(self):
        empty = {'generation': 0, 'reset': True, 'instances': []}
        for made, expected in ((node(), 200), (node(known=empty), 503), (node(known={}), 503)):
            self.assertEqual(status(asked(made, 'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')), expected)

    def test_draining_answers_what_comes_and_asks_to_close(self):
        made = node()
        made.drain()
        wire, cache = sent(made)
        cache.protocol.dataReceived(said())
        self.assertEqual((made.phase, status(wire), wire.half_closed), (DRAINING, 200, True))
        self.assertIn(b'Connection: close', wire.value())
        self.assertEqual(status(asked(made, 'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')), 503)

    def test_it_ends_once_nothing_is_owed(self):
        made = node()
        wire, cache = sent(made)
        made.drain()
        made.reactor.pump([0.1] * 10)
        waiting = made.phase
        cache.protocol.dataReceived(said())
        lost(wire)
        made.reactor.pump([0.1] * 10)
        self.assertEqual((waiting, made.phase, made.reactor.hasStopped), (DRAINING, STOPPED, True))

    def test_idle_clients_may_stay_as_long_as_new_ones_come(self):
        made = node()
        _, wire = client(made)
        made.drain()
        made.reactor.advance(0.45)
        early = wire.ended
        made.reactor.advance(0.1)
        self.assertEqual((early, wire.disconnecting), (False, True))

    def test_one_that_comes_as_idle_clients_are_asked_to_go_is_not(self):
        """From SIGTERM on the system shows it before its request is here."""
        made = node()
        made.drain()
        made.reactor.advance(0.49)
        _, wire = client(made)
        made.reactor.pump([0.02] * 5)
        early = wire.ended
        made.reactor.pump([0.05] * 5)
        self.assertEqual((early, wire.disconnecting), (False, True))

    def test_a_client_that_never_leaves_does_not_hold_the_exit(self):
        made = node()
        asked(made, 'GET /read/k HT')
        made.drain()
        made.reactor.pump([0.05] * 80)
        self.assertEqual(made.phase, STOPPED)

    def test_a_fault_that_one_transaction_meets_does_not_stop_the_others(self):
        made = node()
        step, dials = made.router.step, len(made.reactor.tcpClients)
        made.router.step = lambda now, tx: step(now, tx) if tx.key == 'k' else {}['fault']
        bad = asked(made, 'GET /read/bad HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n')
        asked(made)
        served = len(made.reactor.tcpClients) - dials
        made.reactor.pump([0.1] * 21)
        self.assertEqual((made.phase, served, status(bad)), (SERVING, 1, 504))

    def test_the_module_asks_for_the_watch_where_the_site_wants_that(self):
        made = node()
        made.discovery.pushed = False
        made.router.watch_at = made.clock() + 1
        refused(made)
        self.assertGreater(made.router.failures, 0)

    def test_the_origin_is_told_by_its_kind(self):
        made = node()
        self.assertIsInstance(made.router.origin, Server)
        with self.assertRaises(BadLine):
            Entry(entry('c', hostPort='127.0.0.1:0'))
