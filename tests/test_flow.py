"""Tests of streamed bodies: on in-memory transports, and 32 MB in each direction through a real
process.
"""

import hashlib
import socket
import threading

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from lilacdyke.net.phases import IDLE, RECEIVING

from .helpers import SETTINGS, asked, changed_settings, connection_up, entry, lost, node, refused, said, sent
from .test_net import Quiet, status
from .test_upgrade import Processes

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LARGE = b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n'
TWO_CACHES = {'generation': 4, 'reset': True, 'instances': [entry('c0'), entry('c1'), entry('o', 'origin')]}
PUT = 'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 100000\r\n\r\n'


def broken(wire):
    """Reset the connection."""
    wire.protocol.connectionLost(Failure(ConnectionLost()))


def carried(made):
    """Return the connection that carries a large request, one iteration after it was established."""
    wire = connection_up(made)
    made.reactor.advance(0)
    return wire


class Answers(Quiet):
    def test_first_bytes_commit_and_rest_is_streamed(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE + b'abc')
        first, counts = wire.value(), made.counts['hops_committed']
        cache.protocol.dataReceived(b'x' * 99_997)
        self.assertEqual((first, counts), (b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc', 1))
        self.assertEqual(
            (len(wire.value()), wire.protocol.phase, cache.ended), (len(first) + 99_997, IDLE, False)
        )

    def test_client_sees_truncated_answer(self):
        for answer in (
            LARGE + b'abc',
            CHUNKED + b'11000\r\n' + b'x' * 0x11000 + b'\r\n',
            b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 70_000,
        ):
            made = node()
            wire, cache = sent(made)
            cache.protocol.dataReceived(answer)
            broken(cache)
            self.assertEqual((status(wire), wire.aborted, len(made.active_requests)), (200, True, 0))

    def test_chunked_and_close_delimited_answers_for_both_http_versions(self):
        body = b'z' * 0x20000
        for minor, ending in ((1, b'\r\n0\r\n\r\n'), (0, b'zz')):
            for answer, closes in (
                (CHUNKED + b'20000;a=b\r\n' + body + b'\r\n0\r\nA: b\r\n\r\n', False),
                (b'HTTP/1.0 200 OK\r\n\r\n' + body, True),
            ):
                with self.subTest(minor=minor, closes=closes):
                    made = node()
                    wire, cache = sent(
                        made, 'GET /read/k HTTP/1.%d\r\nHost: x\r\nReq-Id: %%d\r\n\r\n' % minor
                    )
                    for at in range(0, len(answer), 4_999):
                        cache.protocol.dataReceived(answer[at : at + 4_999])
                    if closes:
                        lost(cache)
                    self.assertEqual(
                        (wire.value()[-len(ending) :], wire.value().count(b'z'), wire.half_closed),
                        (ending, len(body), minor == 0),
                    )

    def test_slow_client_pauses_server_and_is_aborted(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        wire.producer.pauseProducing()
        paused = cache.producerState
        wire.producer.resumeProducing()
        self.assertEqual((paused, cache.producerState), ('paused', 'producing'))
        made.reactor.pump([0.5] * 21)
        self.assertTrue(wire.aborted)

    def test_second_answer_on_connection_has_its_own_limit(self):
        made = node(
            settings=changed_settings(profiles=[dict(row, hardLimitS=6.0) for row in SETTINGS['profiles']])
        )
        wire, cache = sent(made)
        for piece in (LARGE, b'x' * 100_000):
            cache.protocol.dataReceived(piece)
        made.reactor.pump([0.1] * 20)  # longer, and it would be asked to go
        wire.protocol.dataReceived(b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: second\r\n\r\n')
        cache.protocol.dataReceived(LARGE + b'x')
        made.reactor.pump([0.1] * 50)  # a second beyond the first one's limit; nothing came for 5 s
        before = wire.aborted
        made.reactor.pump([0.1] * 12)
        self.assertEqual((before, wire.aborted), (False, True))

    def test_client_disconnect_ends_the_hop(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        lost(wire)
        self.assertTrue(cache.ended)

    def test_large_answer_that_lost_the_race_is_dropped(self):
        made = node()
        wire, cache = sent(made)
        lost(wire)
        cache.protocol.dataReceived(LARGE)
        self.assertTrue(cache.ended)

    def test_malformed_chunk_aborts_the_answer(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED + b'11000\r\n' + b'x' * 0x11000)
        cache.protocol.dataReceived(b'\r\nnoise\r\n')
        self.assertEqual((wire.aborted, cache.ended), (True, True))


class AnswersOfNoToldLength(Quiet):
    """Answers of unknown length, which may turn out to be large. The limit is 2 s."""

    UNTIL_THE_END = b'HTTP/1.1 200 OK\r\n\r\n'
    PIECE = b'2\r\nab\r\n'

    def come(self, made, cache, seconds, piece=PIECE):
        """Deliver ten pieces a second."""
        for _ in range(round(seconds * 10)):
            cache.protocol.dataReceived(piece)
            made.reactor.advance(0.1)

    def test_buffered_for_three_quarters_of_limit_then_streamed(self):
        for head, piece in ((CHUNKED, self.PIECE), (self.UNTIL_THE_END, b'ab')):
            with self.subTest(head=head):
                made = node()
                wire, cache = sent(made)
                cache.protocol.dataReceived(head)
                self.come(made, cache, 1.4, piece)
                before = wire.value()
                self.come(made, cache, 0.2, piece)
                self.assertEqual((before, status(wire), wire.value().count(b'ab')), (b'', 200, 16))
                self.assertEqual((len(made.active_requests), made.counts['hops_committed']), (0, 1))

    def test_streaming_starts_earlier_after_late_read(self):
        made = node()
        wire, cache = sent(made)
        cache.age = 500  # milliseconds for which the first bytes lay unread
        cache.protocol.dataReceived(CHUNKED)
        self.come(made, cache, 1.1)
        self.assertEqual(status(wire), 200)

    def test_small_complete_answer_is_sent_with_its_length(self):
        made = node()
        wire, cache = sent(made)
        for piece in (CHUNKED, b'4\r\nab', b'cd\r\n', b'0\r\n\r\n'):
            self.assertEqual(wire.value(), b'')
            cache.protocol.dataReceived(piece)
            made.reactor.advance(0.1)
        self.assertTrue(wire.value().endswith(b'Content-Length: 4\r\n\r\nabcd'))

    def test_truncated_while_buffered_is_retried(self):
        made = node(known=TWO_CACHES)
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED + self.PIECE)
        dials = len(made.reactor.tcpClients)
        broken(cache)
        again = connection_up(made)
        again.protocol.dataReceived(CHUNKED + b'2\r\nef\r\n0\r\n\r\n')
        self.assertEqual(
            (len(made.reactor.tcpClients), status(wire), wire.value()[-2:]), (dials + 1, 200, b'ef')
        )

    def test_begun_in_last_quarter_and_truncated_is_not_streamed(self):
        """Guards against streaming the first bytes of an answer whose connection is reset right after."""
        made = node(known=TWO_CACHES)
        wire, cache = sent(made)
        made.reactor.pump([0.1] * 17)
        for piece in (CHUNKED, self.PIECE, self.PIECE):
            cache.protocol.dataReceived(piece)
            made.reactor.advance(0.001)
        before = wire.value()
        broken(cache)
        self.assertEqual((before, wire.aborted), (b'', False))

    def test_stalled_after_first_piece_is_answered_at_limit(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED + self.PIECE)
        made.reactor.advance(0.01)
        cache.protocol.dataReceived(self.PIECE)
        made.reactor.pump([0.1] * 19)
        before = wire.value()
        made.reactor.pump([0.1] * 2)
        self.assertEqual((before, status(wire), cache.ended), (b'', 503, True))

    def test_truncated_or_malformed_while_streaming_is_visible_to_client(self):
        for minor in (1, 0):
            for spoil in (broken, lambda cache: cache.protocol.dataReceived(b'noise\r\n')):
                made = node()
                wire, cache = sent(made, 'GET /read/k HTTP/1.%d\r\nHost: x\r\nReq-Id: %%d\r\n\r\n' % minor)
                cache.protocol.dataReceived(CHUNKED)
                self.come(made, cache, 1.6)
                spoil(cache)
                self.assertEqual(
                    (status(wire), wire.aborted, wire.value().endswith(b'0\r\n\r\n')), (200, True, False)
                )

    def test_stalled_server_is_answered_at_limit(self):
        made = node(
            settings=changed_settings(profiles=[dict(row, hardLimitS=6.0) for row in SETTINGS['profiles']])
        )
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED)
        self.come(made, cache, 1.0)
        made.reactor.pump([0.1] * 49)
        before = wire.value()
        made.reactor.pump([0.1] * 2)
        self.assertEqual((before, status(wire), cache.ended), (b'', 503, True))

    def test_streamed_if_more_arrives_before_limit(self):
        made = node(
            settings=changed_settings(profiles=[dict(row, hardLimitS=6.0) for row in SETTINGS['profiles']])
        )
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED)
        self.come(made, cache, 1.0)
        made.reactor.pump([0.1] * 45)
        before = wire.value()
        cache.protocol.dataReceived(self.PIECE)
        self.assertEqual((before, status(wire), wire.value().count(b'ab')), (b'', 200, 11))

    def test_attempt_continues_past_its_limit_while_receiving(self):
        for pause, code in ((0.1, 200), (None, 503)):
            with self.subTest(pause=pause):
                made = node()
                wire, cache = sent(made)
                attempt = next(iter(made.attempts))
                made.deadlines.at(made.clock() + 5_000, made.attempt_limit_due, attempt.number)
                cache.protocol.dataReceived(CHUNKED + self.PIECE)
                if pause:
                    self.come(made, cache, 1.6)
                else:
                    made.reactor.pump([0.1] * 21)
                self.assertEqual((status(wire), made.counts['hops_expired']), (code, int(code != 200)))

    def test_streams_the_attempt_with_more_data(self):
        made = node(known=TWO_CACHES)
        wire, cache = sent(made)
        made.reactor.advance(0.6)  # its copy is due
        copy = connection_up(made)
        self.assertIsNot(copy.protocol, cache.protocol)
        for each in (cache, copy):
            each.protocol.dataReceived(CHUNKED)
        for _ in range(10):
            cache.protocol.dataReceived(self.PIECE)
            copy.protocol.dataReceived(b'3\r\nABC\r\n')
            made.reactor.advance(0.1)
        self.assertEqual((status(wire), wire.value().count(b'ABC') > 8), (200, True))
        self.assertEqual((wire.value().count(b'ab'), cache.ended, copy.ended), (0, True, False))

    def test_failure_or_miss_is_not_streamed(self):
        for code in (404, 500, 503):
            made = node()
            wire, cache = sent(made)
            cache.protocol.dataReceived(CHUNKED.replace(b'200 OK', b'%d X' % code))
            self.come(made, cache, 1.9)
            self.assertEqual(wire.value(), b'')

    def test_small_answer_of_known_length_waits_for_last_byte(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n')
        self.come(made, cache, 1.9, b'ab')
        self.assertEqual(wire.value(), b'')


class UnreadAtADeadline(Quiet):
    """Data that lies unread when a deadline fires was received in time."""

    @staticmethod
    def unread(made, wire, data):
        """Leave data unread on the wire; it is read in the next iteration after a peek."""

        def looked_at(count, flags):
            made.reactor.callLater(0, wire.protocol.dataReceived, data)
            del wire.recv
            return data[:count]

        wire.recv = looked_at

    def test_last_piece_of_answer_unread_at_limit(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab')
        made.reactor.pump([0.1] * 19)
        self.unread(made, cache, b'cd')
        made.reactor.advance(0.1)
        self.assertEqual((status(wire), wire.value()[-4:]), (200, b'abcd'))

    def test_answer_with_endless_unread_data_is_cut(self):
        made = node()
        wire, cache = sent(made)
        cache.unread = b'x'
        made.reactor.pump([0.1] * 21)
        self.assertEqual((status(wire), cache.ended), (503, True))

    def test_last_piece_of_request_unread_when_overdue(self):
        made = node(settings=changed_settings(limits={'connectTimeoutS': 10.0}))
        wire = asked(made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n')
        made.reactor.pump([0.1] * 23)
        self.unread(made, wire, b'\r\n')
        made.reactor.pump([0.1] * 11)
        self.assertEqual((wire.value(), len(made.active_requests)), (b'', 1))  # not a 408

    def test_trickling_request_is_refused_at_second_check(self):
        made = node()
        wire = asked(made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n')
        wire.unread = b'X'
        made.reactor.pump([0.1] * 36)
        self.assertEqual(status(wire), 408)

    def test_next_piece_of_stalled_large_answer_unread_past_limit(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        cache.unread = b'x'  # as while this node stood still
        made.reactor.pump([0.1] * 35)
        before = wire.aborted
        cache.unread = None
        made.reactor.pump([0.1] * 2)
        self.assertEqual((before, wire.aborted), (False, True))


class Silence(Quiet):
    """The side that stalls decides which limit applies."""

    LONG = [dict(row, hardLimitS=30.0) for row in SETTINGS['profiles']]

    def test_silent_server_within_limit_does_not_count_as_slow_client(self):
        made = node(settings=changed_settings(profiles=self.LONG))
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE + b'x' * 50_000)
        made.reactor.pump([0.1] * 150)
        cache.protocol.dataReceived(b'x' * 50_000)
        self.assertEqual((wire.aborted, wire.protocol.phase), (False, IDLE))

    def test_server_pauses_across_the_limit(self):
        for pause, ended in ((19, False), (22, True)):
            made = node()
            wire, cache = sent(made)
            cache.protocol.dataReceived(LARGE)
            made.reactor.pump([0.1] * 19)
            for _ in range(3):  # each pause begins with a piece
                cache.protocol.dataReceived(b'x' * 1_000)
                made.reactor.pump([0.1] * pause)
            self.assertEqual((pause, wire.aborted), (pause, ended))

    def test_server_stall_counts_from_when_client_reads_again(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        made.reactor.pump([0.1] * 15)
        wire.producer.pauseProducing()
        made.reactor.pump([0.1] * 50)  # beyond the limit, far longer than a server may be silent
        wire.producer.resumeProducing()
        made.reactor.pump([0.1] * 19)
        before = wire.aborted
        made.reactor.pump([0.1] * 3)
        self.assertEqual((before, wire.aborted), (False, True))

    def test_client_that_does_not_read_is_aborted_past_limit(self):
        made = node(settings=changed_settings(profiles=self.LONG))
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        wire.producer.pauseProducing()
        made.reactor.pump([0.1] * 115)
        self.assertTrue(wire.aborted)

    def test_client_with_paused_body_is_not_timed_out(self):
        made = node(settings=changed_settings(profiles=self.LONG, limits={'connectTimeoutS': 10.0}))
        wire, dial = asked(made, PUT + 'z' * 70_000), len(made.reactor.tcpClients) - 1
        made.reactor.pump([0.1] * 60)
        before = wire.value()
        origin = connection_up(made, dial)
        made.reactor.advance(0)
        self.assertEqual((before, origin.value().count(b'z')), (b'', 70_000))

    def test_early_answer_is_not_reset_under_slot_pressure(self):
        made = node(limits={'cores': 1.0, 'memory_mb': 192, 'sockets': 40})
        wire = asked(made, PUT.replace('100000', '2000000') + 'abc')
        origin = carried(made)
        origin.protocol.dataReceived(said(503, 'full', 'Srv-Declined: 1\r\n'))
        for _ in range(20):  # pieces 1.5 s apart, among clients that come
            for _ in range(3):
                asked(made, 'GET /read/k HTTP/1.1\r\n')
            made.reactor.pump([0.1] * 15)
            closed = wire.disconnecting or wire.aborted
            wire.protocol.dataReceived(b'x' * 40_000)
        self.assertEqual((status(wire), wire.half_closed, closed), (503, True, False))


class Requests(Quiet):
    def test_body_is_streamed_and_limit_starts_at_last_byte(self):
        made = node()
        wire = asked(made, PUT + 'abc')
        origin = carried(made)
        tx, before = wire.protocol.active.tx, origin.value()
        made.reactor.advance(2.2)
        wire.protocol.dataReceived(b'z' * 99_997)
        origin.flush()
        self.assertTrue(before.endswith(b'Content-Length: 100000\r\n\r\nabc'))
        self.assertEqual(
            (origin.value().count(b'z'), tx.limit, tx.hops[0].weight), (99_997, made.clock() + 20_000, 1)
        )
        self.assertTrue(origin.protocol.all_sent)

    def test_server_lost_during_body_is_not_retried(self):
        made = node()
        wire = asked(made, PUT + 'abc')
        origin, dials = carried(made), len(made.reactor.tcpClients)
        lost(origin)
        self.assertEqual((status(wire), wire.half_closed, len(made.reactor.tcpClients)), (503, True, dials))
        wire.protocol.dataReceived(b'x' * 99_997)  # which the client sends before it reads
        self.assertFalse(wire.aborted or wire.producerState == 'paused')

    def test_unconnected_request_is_retried_elsewhere(self):
        made = node()
        asked(made, PUT + 'abc')
        refused(made)
        self.assertTrue(carried(made).value().endswith(b'abc'))

    def test_part_of_answer_before_end_of_request_is_answered_at_limit(self):
        """Guards against a request that is never answered, as the times of its answer's pieces were missing
        at the limit."""
        made = node()
        wire = asked(made, PUT + 'abc')
        origin = carried(made)
        origin.protocol.dataReceived(CHUNKED + b'2\r\nab\r\n')
        wire.protocol.dataReceived(b'z' * 99_997)
        origin.flush()
        made.reactor.pump([0.1] * 21)
        self.assertEqual((status(wire), len(made.active_requests)), (504, 0))

    def test_client_disconnect_during_body_leaves_request_unrun(self):
        made = node()
        wire = asked(made, PUT + 'abc')
        origin = carried(made)
        lost(wire)
        self.assertEqual((origin.aborted, len(made.active_requests)), (True, 0))

    def test_client_disconnect_during_body_without_cancellation(self):
        made = node()
        made.config.terms.may_cancel = False
        wire = asked(made, PUT + 'abc')
        origin = carried(made)
        lost(wire)
        self.assertEqual((origin.aborted, len(made.attempts), made.counts['hops_unsent']), (True, 0, 1))
        # The transaction has already ended.
        self.assertEqual((made.counts['rolled_back'], made.counts['abandoned']), (0, 0))

    def test_steady_body_is_accepted_and_trickling_one_times_out(self):
        for pieces, told in ((6_400, None), (10, 408)):
            made = node()
            wire = asked(made, PUT)
            origin = carried(made)
            for _ in range(40):
                made.reactor.advance(0.1)
                wire.protocol.dataReceived(b'x' * min(pieces, 2_000))
            self.assertEqual(
                (status(wire), origin.aborted, wire.protocol.phase == RECEIVING),
                (told, told == 408, told is None),
            )

    def test_client_is_paused_until_connected(self):
        made = node()
        wire = asked(made, PUT + 'z' * 70_000)
        held = wire.producerState
        origin = carried(made)
        self.assertEqual(
            (held, wire.producerState, origin.value().count(b'z')), ('paused', 'producing', 70_000)
        )

    def test_malformed_chunk_ends_the_request(self):
        made = node()
        wire = asked(
            made,
            PUT.replace('Content-Length: 100000', 'Transfer-Encoding: chunked') + '11000\r\n' + 'x' * 0x11000,
        )
        origin = carried(made)
        wire.protocol.dataReceived(b'\r\nnoise\r\n')
        self.assertEqual((status(wire), origin.aborted), (400, True))


class Pieces(threading.Thread):
    """Cache server that reads a body and answers with 32 MB in pieces of varying size."""

    def __init__(self, body):
        super().__init__(daemon=True)
        self.body, self.got = body, None
        self.door = socket.create_server(('127.0.0.1', 0))
        self.server_port = self.door.getsockname()[1]
        self.start()

    def run(self):
        while True:
            try:
                link, _ = self.door.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        with link, link.makefile('rb') as file:
            while line := file.readline():
                length = 0
                while (field := file.readline()) not in (b'\r\n', b''):
                    if field.lower().startswith(b'content-length:'):
                        length = int(field.split(b':')[1])
                if line.startswith(b'PUT'):
                    digest, left = hashlib.sha256(), length
                    while left and (data := file.read(min(left, 4_096))):
                        digest.update(data)
                        left -= len(data)
                    self.got = digest.hexdigest()
                    link.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
                    continue
                link.sendall(b'HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nTransfer-Encoding: chunked\r\n\r\n')
                at, size = 0, 1
                try:
                    while at < len(self.body):
                        data = self.body[at : at + size]
                        link.sendall(b'%x\r\n%s\r\n' % (len(data), data))
                        at, size = at + len(data), size % 65_536 * 3 + 1
                    link.sendall(b'0\r\n\r\n')
                except OSError:
                    return  # a copy that lost its race

    def shutdown(self):
        self.door.close()

    server_close = shutdown


class Through(Processes):
    """Streaming through a real process, byte for byte, with bounded memory."""

    SIZE, GROWTH_KB = 32 << 20, 16_384

    def make_servers(self):
        self.body = hashlib.shake_256(b'body').digest(self.SIZE)
        return {name: Pieces(self.body) for name in ('c0', 'o')}

    def most_kb(self):
        with open('/proc/%d/status' % self.first.pid, encoding='ascii') as file:
            return next(int(line.split()[1]) for line in file if line.startswith('VmHWM'))

    def test_streams_32_mb_each_way(self):
        before, wanted = self.most_kb(), hashlib.sha256(self.body).hexdigest()
        done = []
        threads = [
            threading.Thread(target=lambda number=number: done.append(self.read(number)))
            for number in range(4)
        ]
        for thread in threads:
            thread.start()
        with socket.create_connection(('127.0.0.1', self.listen)) as link:
            link.sendall(
                b'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: up\r\nContent-Length: %d\r\n\r\n' % self.SIZE
            )
            for at in range(0, self.SIZE, 7_777):
                link.sendall(self.body[at : at + 7_777])
            self.assertEqual(link.recv(15), b'HTTP/1.1 200 OK')
        for thread in threads:
            thread.join(60)
        self.assertEqual((done, self.servers['o'].got), ([wanted] * 4, wanted))
        self.assertLess(self.most_kb() - before, self.GROWTH_KB)  # of 160 MB that went through

    def read(self, number):
        """A large answer, read by a client that stops now and then; its digest."""
        import http.client
        import time

        link = http.client.HTTPConnection('127.0.0.1', self.listen, timeout=10)
        link.request('GET', '/read/%d' % number, headers={'Req-Id': 'r%d' % number})
        answer, digest = link.getresponse(), hashlib.sha256()
        while data := answer.read(1 << 20):
            digest.update(data)
            time.sleep(0.01 * number)
        link.close()
        return digest.hexdigest()
