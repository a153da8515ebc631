"""What operators do by hand: their door, cache servers out by hand, the node emptied."""

from lilacdyke.decode import place
from lilacdyke.logic import Server
from lilacdyke.net.node import AWAY, DRAINING, SERVING
from lilacdyke.net.operator import CALL_TIMEOUT, MAX_CALLERS, OperatorServer
from lilacdyke.values import BadLine

from .helpers import Wire, asked, dialled, node, page, router, said, sent, taken
from .test_net import READY, Quiet, status


def desk(**other):
    """A node with its operators' door open."""
    made = node(operator='127.0.0.1:9001', **other)
    return made, made.desk


def call(made, text):
    """A caller that has said this: its wire."""
    caller, wire = made.buildProtocol(None), Wire()
    wire.protocol = caller
    caller.makeConnection(wire)
    if text:
        caller.dataReceived(text.encode())
    return wire


def post(made, path):
    """The status of a call."""
    return status(call(made, 'POST /v1/%s HTTP/1.1\r\nHost: x\r\n\r\n' % path))


class Door(Quiet):
    def test_what_is_asked_has_its_answer(self):
        made, door = desk()
        cases = {
            'GET /v1/readyz': 200,
            'POST /v1/readyz': 405,
            'GET /v1/node/drain': 405,
            'POST /v1/node/activate': 200,
            'GET /v1': 404,
            'POST /v1/cache-servers/c0/stop': 404,
            'POST /v1/cache-servers/c9/suspend': 404,
            'POST /v1/cache-servers/o/suspend': 404,
            'POST /v1/cache-servers/c%30/suspend': 200,
            'POST http://x:1/v1/cache-servers/c0/resume?a=b': 200,
            'POST  /v1/node/drain': 400,
        }
        for line, told in cases.items():
            with self.subTest(line=line):
                self.assertEqual(status(call(door, line + ' HTTP/1.1\r\nHost: x\r\n\r\n')), told)

    def test_a_call_byte_by_byte_and_in_chunks(self):
        made, door = desk()
        wire = call(door, '')
        for (
            byte
        ) in b'\r\nPOST /v1/node/drain HTTP/1.1\r\ntransfer-ENCODING: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n':
            wire.protocol.dataReceived(bytes([byte]))
        self.assertEqual((status(wire), made.phase), (200, AWAY))

    def test_silent_callers_make_way_and_are_told_to_go(self):
        made, door = desk()
        silent = [call(door, 'GET /v1') for _ in range(MAX_CALLERS)]
        self.assertEqual(status(call(door, 'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')), 200)
        self.assertEqual([status(wire) for wire in silent], [408] + [None] * (MAX_CALLERS - 1))
        made.reactor.pump([CALL_TIMEOUT / 20_000] * 3)
        self.assertEqual({status(wire) for wire in silent}, {408})

    def test_the_page_names_it_or_nothing_listens(self):
        self.assertIsNone(node().desk)
        self.assertIsInstance(desk()[0].desk, OperatorServer)
        with self.assertRaises(BadLine):
            place(page(operator='door:1'))


class Hand(Quiet):
    def test_nothing_is_sent_to_one_that_is_out(self):
        made = router(2)
        first, second = made.ranked(0, taken(made))
        self.assertTrue(made.suspend(0, first.name))
        tx = taken(made, key='k')
        self.assertFalse(made.permitted(0, tx, first))
        self.assertIs(made.pick(0, tx), second)

    def test_no_list_brings_it_back(self):
        made = router(2)
        server = made.known['c0']
        made.suspend(5, 'c0')
        for state in ('ready', 'draining', 'gone', 'ready'):
            made.list_replaced(9, [(server, state, 1, None, 0, 0)])
            self.assertNotIn(server, made.caches)
            self.assertNotEqual(server.state, 'ready')
        made.resume(20, 'c0')
        self.assertEqual((made.caches, server.state), ([server], 'ready'))

    def test_two_calls_out_and_one_back(self):
        made = router(2)
        self.assertEqual(
            [made.suspend(5, 'c0'), made.suspend(6, 'c0'), made.resume(7, 'c0'), made.banned('c0')],
            [True, True, True, False],
        )

    def test_one_unknown_is_owed_a_no_and_one_deleted_while_out_comes_back(self):
        made = router(2)
        made.suspend(5, 'c0')
        made.list_replaced(6, [(made.known['c1'], 'ready', 1, None, 0, 0)])
        self.assertEqual(
            (made.suspend(7, 'x'), made.resume(7, 'x'), made.resume(7, 'c0'), made.resume(8, 'c0')),
            (False, False, True, False),
        )

    def test_it_comes_back_cold_whatever_an_old_list_says(self):
        made = router(2)
        server = made.known['c0']
        made.suspend(500, 'c0')
        server.doubt = 3
        made.resume(900, 'c0')
        made.list_changed(1_000, [(server, 'ready', 1, None, 0, 0)])
        self.assertEqual((server.started, server.doubt, made.presence(1_000, server) < 0.3), (900, 0, True))
        made.list_changed(1_000, [(server, 'ready', 1, 700, 0, 0)])  # the restart that the list heard of
        self.assertEqual(server.started, 700)

    def test_it_comes_back_drained_if_the_list_says_so(self):
        made = router(2)
        server = made.known['c0']
        made.suspend(5, 'c0')
        made.list_changed(6, [(server, 'draining', 1, None, 0, 0)])
        made.resume(7, 'c0')
        self.assertEqual(server.state, 'draining')

    def test_bans_are_bounded_and_those_in_force_stay(self):
        made = router(1)
        for number in range(1_100):
            made.list_entry(0, Server('s%d' % number, False), 'ready', 1, None, 0, 0)
        made.relist()
        done = [made.suspend(5, 's%d' % number) for number in range(1_100)]
        self.assertEqual((sum(done), made.banned('s0'), made.banned('s1099')), (1_024, True, False))
        made.resume(6, 's7')
        self.assertEqual((made.suspend(7, 's1099'), made.banned('s0'), len(made.hand)), (True, True, 1_024))

    def test_a_hop_that_waits_for_its_connection_does_not_leave(self):
        made, door = desk()
        wire = asked(made)
        post(door, 'cache-servers/c0/suspend')
        server = dialled(made)
        self.assertEqual((server.value(), status(wire)), (b'', 503))

    def test_idle_connections_to_it_are_closed(self):
        made, door = desk()
        _, server = sent(made)
        server.protocol.dataReceived(said())
        post(door, 'cache-servers/c0/suspend')
        self.assertTrue(server.ended)


class Emptied(Quiet):
    def test_clients_are_sent_away_and_still_served(self):
        made, door = desk()
        resting, _ = asked(made, READY), post(door, 'node/drain')
        late, server = sent(made)
        server.protocol.dataReceived(said())
        self.assertEqual(
            (status(asked(made, READY)), status(late), late.ended, resting.ended), (503, 200, True, False)
        )
        made.reactor.pump([0.25] * 14)
        self.assertTrue(resting.ended)

    def test_one_with_a_request_unread_is_not_closed_on(self):
        made, door = desk()
        resting = asked(made, READY)
        post(door, 'node/drain')
        resting.unread = b'GET'
        made.reactor.pump([0.25] * 6)
        self.assertFalse(resting.ended)

    def test_activate_undoes_it_at_any_point(self):
        made, door = desk()
        post(door, 'node/drain')
        made.reactor.advance(0.3)
        self.assertEqual(
            (post(door, 'node/activate'), made.phase, status(asked(made, READY))), (200, SERVING, 200)
        )
        resting = asked(made, READY)
        made.reactor.pump([0.25] * 8)
        self.assertFalse(resting.ended)

    def test_sigterm_ends_it_as_always(self):
        made, door = desk()
        post(door, 'node/drain')
        made.drain()
        self.assertEqual(
            (made.phase, post(door, 'node/activate'), post(door, 'node/drain')), (DRAINING, 503, 200)
        )
        self.assertEqual(status(call(door, 'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')), 503)
