"""The operators' HTTP server, suspended cache servers, and nodes taken out of rotation."""

from lilacdyke.decode import parse_config
from lilacdyke.logic import Server
from lilacdyke.net.node import DRAINING, OUT_OF_ROTATION, SERVING
from lilacdyke.net.operator import CALL_TIMEOUT, MAX_CALLERS, MAX_CONNECTIONS, OperatorServer
from lilacdyke.values import InvalidValueError

from .helpers import Wire, asked, connection_up, node, page, router, said, sent, taken
from .test_net import READY, Quiet, status


def operator_node(**other):
    """Return a node with an operators' server, and that server."""
    made = node(operator='127.0.0.1:9001', **other)
    return made, made.operator_server


def call(made, text):
    """Connect to an operators' server, send this text and return the wire."""
    caller, wire = made.buildProtocol(None), Wire()
    wire.protocol = caller
    caller.makeConnection(wire)
    if text:
        caller.dataReceived(text.encode())
    return wire


def post(made, path):
    """POST to this path and return the status."""
    return status(call(made, 'POST /v1/%s HTTP/1.1\r\nHost: x\r\n\r\n' % path))


class OperatorCalls(Quiet):
    def test_status_of_each_call(self):
        made, operators = operator_node()
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
        for line, expected in cases.items():
            with self.subTest(line=line):
                self.assertEqual(status(call(operators, line + ' HTTP/1.1\r\nHost: x\r\n\r\n')), expected)

    def test_call_byte_by_byte_and_chunked(self):
        made, operators = operator_node()
        wire = call(operators, '')
        for (
            byte
        ) in b'\r\nPOST /v1/node/drain HTTP/1.1\r\ntransfer-ENCODING: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n':
            wire.protocol.dataReceived(bytes([byte]))
        self.assertEqual((status(wire), made.phase), (200, OUT_OF_ROTATION))

    def test_silent_callers_make_way_and_time_out(self):
        made, operators = operator_node()
        silent = [call(operators, 'GET /v1') for _ in range(MAX_CALLERS)]
        self.assertEqual(status(call(operators, 'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')), 200)
        self.assertEqual([status(wire) for wire in silent], [408] + [None] * (MAX_CALLERS - 1))
        made.reactor.pump([CALL_TIMEOUT / 20_000] * 3)
        self.assertEqual({status(wire) for wire in silent}, {408})

    def test_no_server_without_address_in_page(self):
        self.assertIsNone(node().operator_server)
        self.assertIsInstance(operator_node()[0].operator_server, OperatorServer)
        with self.assertRaises(InvalidValueError):
            parse_config(page(operator='door:1'))


class SuspendedServers(Quiet):
    def test_no_attempts_at_suspended_server(self):
        made = router(2)
        first, second = made.ranked(0, taken(made))
        self.assertTrue(made.suspend(0, first.name))
        tx = taken(made, key='k')
        self.assertFalse(made.permitted(0, tx, first))
        self.assertIs(made.choose_cache(0, tx), second)

    def test_lists_do_not_resume_server(self):
        made = router(2)
        server = made.servers_by_name['c0']
        made.suspend(5, 'c0')
        for state in ('ready', 'draining', 'gone', 'ready'):
            made.list_replaced(9, [(server, state, 1, None, 0, 0)])
            self.assertNotIn(server, made.caches)
            self.assertNotEqual(server.state, 'ready')
        made.resume(20, 'c0')
        self.assertEqual((made.caches, server.state), ([server], 'ready'))

    def test_one_resume_after_two_suspends(self):
        made = router(2)
        self.assertEqual(
            [made.suspend(5, 'c0'), made.suspend(6, 'c0'), made.resume(7, 'c0'), made.is_suspended('c0')],
            [True, True, True, False],
        )

    def test_unknown_server_is_refused_and_deleted_one_can_be_resumed(self):
        made = router(2)
        made.suspend(5, 'c0')
        made.list_replaced(6, [(made.servers_by_name['c1'], 'ready', 1, None, 0, 0)])
        self.assertEqual(
            (made.suspend(7, 'x'), made.resume(7, 'x'), made.resume(7, 'c0'), made.resume(8, 'c0')),
            (False, False, True, False),
        )

    def test_resumed_server_is_cold_despite_old_list(self):
        made = router(2)
        server = made.servers_by_name['c0']
        made.suspend(500, 'c0')
        server.unanswered_hops = 3
        made.resume(900, 'c0')
        made.list_changed(1_000, [(server, 'ready', 1, None, 0, 0)])
        self.assertEqual(
            (server.started, server.unanswered_hops, made.capacity_factor(1_000, server) < 0.3),
            (900, 0, True),
        )
        made.list_changed(1_000, [(server, 'ready', 1, 700, 0, 0)])  # the restart that the list heard of
        self.assertEqual(server.started, 700)

    def test_resumed_server_drains_if_listed_so(self):
        made = router(2)
        server = made.servers_by_name['c0']
        made.suspend(5, 'c0')
        made.list_changed(6, [(server, 'draining', 1, None, 0, 0)])
        made.resume(7, 'c0')
        self.assertEqual(server.state, 'draining')

    def test_suspensions_are_bounded_and_active_ones_kept(self):
        made = router(1)
        for number in range(1_100):
            made.list_entry(0, Server('s%d' % number, False), 'ready', 1, None, 0, 0)
        made.rebuild_ready()
        done = [made.suspend(5, 's%d' % number) for number in range(1_100)]
        self.assertEqual(
            (sum(done), made.is_suspended('s0'), made.is_suspended('s1099')), (1_024, True, False)
        )
        made.resume(6, 's7')
        self.assertEqual(
            (made.suspend(7, 's1099'), made.is_suspended('s0'), len(made.suspensions)), (True, True, 1_024)
        )

    def test_attempt_waiting_for_connection_is_not_sent(self):
        made, operators = operator_node()
        wire = asked(made)
        post(operators, 'cache-servers/c0/suspend')
        server = connection_up(made)
        self.assertEqual((server.value(), status(wire)), (b'', 503))

    def test_idle_connections_to_suspended_server_are_closed(self):
        made, operators = operator_node()
        _, server = sent(made)
        server.protocol.dataReceived(said())
        post(operators, 'cache-servers/c0/suspend')
        self.assertTrue(server.ended)


class OutOfRotation(Quiet):
    def test_idle_clients_are_closed_and_requests_served(self):
        made, operators = operator_node()
        idle, _ = asked(made, READY), post(operators, 'node/drain')
        late, server = sent(made)
        server.protocol.dataReceived(said())
        self.assertEqual(
            (status(asked(made, READY)), status(late), late.ended, idle.ended), (503, 200, True, False)
        )
        made.reactor.pump([0.25] * 14)
        self.assertTrue(idle.ended)

    def test_connection_with_unread_request_is_not_closed(self):
        made, operators = operator_node()
        idle = asked(made, READY)
        post(operators, 'node/drain')
        idle.unread = b'GET'
        made.reactor.pump([0.25] * 6)
        self.assertFalse(idle.ended)

    def test_activate_brings_node_back_at_any_time(self):
        made, operators = operator_node()
        post(operators, 'node/drain')
        made.reactor.advance(0.3)
        self.assertEqual(
            (post(operators, 'node/activate'), made.phase, status(asked(made, READY))), (200, SERVING, 200)
        )
        idle = asked(made, READY)
        made.reactor.pump([0.25] * 8)
        self.assertFalse(idle.ended)

    def test_sigterm_drains_node_out_of_rotation(self):
        made, operators = operator_node()
        post(operators, 'node/drain')
        made.drain()
        self.assertEqual(
            (made.phase, post(operators, 'node/activate'), post(operators, 'node/drain')),
            (DRAINING, 503, 200),
        )
        self.assertEqual(status(call(operators, 'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')), 503)


class HeavyCallers(Quiet):
    """Callers that hold more than calls need (incident dda08d)."""

    def test_call_with_a_large_body_is_refused_at_once(self):
        _, operators = operator_node()
        for framing in ('Content-Length: 30000000', 'Transfer-Encoding: chunked'):
            with self.subTest(framing=framing):
                wire = call(operators, 'POST /v1/node/drain HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n' % framing)
                wire.protocol.dataReceived(b'1c9c380\r\n')
                self.assertEqual(status(wire), 413)

    def test_answered_callers_that_stay_make_way(self):
        _, operators = operator_node()
        wires = [
            call(operators, 'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n') for _ in range(MAX_CONNECTIONS)
        ]
        before = [wire.aborted for wire in wires]
        call(operators, '')
        self.assertEqual((any(before), [wire.aborted for wire in wires].index(True)), (False, 0))
