"""Large bodies that flow through a node: by state, and 32 MB each way through a real process."""

import hashlib
import socket
import threading

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from lilacdyke.net.phases import IDLE, RECEIVING

from .helpers import SETTINGS, asked, dialled, entry, grown, lost, node, refused, said, sent
from .test_net import Quiet, status
from .test_upgrade import Processes

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LARGE = b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n'
TWO_CACHES = {'generation': 4, 'reset': True, 'instances': [entry('c0'), entry('c1'), entry('o', 'origin')]}
PUT = 'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 100000\r\n\r\n'


def broken(wire):
    """The connection is reset."""
    wire.protocol.connectionLost(Failure(ConnectionLost()))


def carried(made):
    """The connection that carries a large request, a turn after it came up."""
    wire = dialled(made)
    made.reactor.advance(0)
    return wire


class Answers(Quiet):
    def test_the_first_bytes_commit_and_the_rest_follows_at_once(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE + b'abc')
        first, counts = wire.value(), made.counts['hops_committed']
        cache.protocol.dataReceived(b'x' * 99_997)
        self.assertEqual((first, counts), (b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc', 1))
        self.assertEqual(
            (len(wire.value()), wire.protocol.phase, cache.ended), (len(first) + 99_997, IDLE, False)
        )

    def test_a_server_that_breaks_off_shows_the_client_that_it_is_not_whole(self):
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

    def test_in_chunks_and_until_the_end_it_is_whole_for_either_kind_of_client(self):
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

    def test_a_client_that_reads_slowly_stops_the_server_and_is_given_up_in_time(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        wire.producer.pauseProducing()
        paused = cache.producerState
        wire.producer.resumeProducing()
        self.assertEqual((paused, cache.producerState), ('paused', 'producing'))
        made.reactor.pump([0.5] * 21)
        self.assertTrue(wire.aborted)

    def test_a_second_one_on_a_connection_goes_by_its_own_limit(self):
        made = node(settings=grown(profiles=[dict(row, hardLimitS=6.0) for row in SETTINGS['profiles']]))
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

    def test_a_client_that_goes_ends_the_hop(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        lost(wire)
        self.assertTrue(cache.ended)

    def test_a_large_loser_of_a_race_is_not_passed_on(self):
        made = node()
        wire, cache = sent(made)
        lost(wire)
        cache.protocol.dataReceived(LARGE)
        self.assertTrue(cache.ended)

    def test_noise_within_it_shows_too(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED + b'11000\r\n' + b'x' * 0x11000)
        cache.protocol.dataReceived(b'\r\nnoise\r\n')
        self.assertEqual((wire.aborted, cache.ended), (True, True))


class AnswersOfNoToldLength(Quiet):
    """Whether such an answer will be a large one shows only as it comes. The limit is 2 s."""

    UNTIL_THE_END = b'HTTP/1.1 200 OK\r\n\r\n'
    PIECE = b'2\r\nab\r\n'

    def come(self, made, cache, seconds, piece=PIECE):
        """Pieces come, ten a second."""
        for _ in range(round(seconds * 10)):
            cache.protocol.dataReceived(piece)
            made.reactor.advance(0.1)

    def test_it_is_held_for_three_quarters_of_its_time_and_then_passed_on_in_time(self):
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

    def test_it_is_begun_sooner_where_the_node_reads_late(self):
        made = node()
        wire, cache = sent(made)
        cache.age = 500  # milliseconds for which the first bytes lay unread
        cache.protocol.dataReceived(CHUNKED)
        self.come(made, cache, 1.1)
        self.assertEqual(status(wire), 200)

    def test_a_small_one_that_comes_whole_in_time_is_written_at_once_with_its_length(self):
        made = node()
        wire, cache = sent(made)
        for piece in (CHUNKED, b'4\r\nab', b'cd\r\n', b'0\r\n\r\n'):
            self.assertEqual(wire.value(), b'')
            cache.protocol.dataReceived(piece)
            made.reactor.advance(0.1)
        self.assertTrue(wire.value().endswith(b'Content-Length: 4\r\n\r\nabcd'))

    def test_one_that_breaks_off_while_it_is_held_is_tried_again(self):
        made = node(known=TWO_CACHES)
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED + self.PIECE)
        dials = len(made.reactor.tcpClients)
        broken(cache)
        again = dialled(made)
        again.protocol.dataReceived(CHUNKED + b'2\r\nef\r\n0\r\n\r\n')
        self.assertEqual(
            (len(made.reactor.tcpClients), status(wire), wire.value()[-2:]), (dials + 1, 200, b'ef')
        )

    def test_one_that_begins_in_the_last_quarter_and_breaks_off_at_once_is_not_begun(self):
        """Shown on visor-bajio, split+mass: 7 to 812 bytes were passed on, and the reset came 1 ms later."""
        made = node(known=TWO_CACHES)
        wire, cache = sent(made)
        made.reactor.pump([0.1] * 17)
        for piece in (CHUNKED, self.PIECE, self.PIECE):
            cache.protocol.dataReceived(piece)
            made.reactor.advance(0.001)
        before = wire.value()
        broken(cache)
        self.assertEqual((before, wire.aborted), (b'', False))

    def test_one_that_came_at_once_and_no_further_is_answered_at_the_limit(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED + self.PIECE)
        made.reactor.advance(0.01)
        cache.protocol.dataReceived(self.PIECE)
        made.reactor.pump([0.1] * 19)
        before = wire.value()
        made.reactor.pump([0.1] * 2)
        self.assertEqual((before, status(wire), cache.ended), (b'', 503, True))

    def test_one_that_breaks_off_afterwards_or_is_spoilt_shows_that_to_either_kind_of_client(self):
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

    def test_one_whose_server_fell_silent_is_answered_at_the_limit(self):
        made = node(settings=grown(profiles=[dict(row, hardLimitS=6.0) for row in SETTINGS['profiles']]))
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED)
        self.come(made, cache, 1.0)
        made.reactor.pump([0.1] * 49)
        before = wire.value()
        made.reactor.pump([0.1] * 2)
        self.assertEqual((before, status(wire), cache.ended), (b'', 503, True))

    def test_and_passed_on_should_more_come_before_that(self):
        made = node(settings=grown(profiles=[dict(row, hardLimitS=6.0) for row in SETTINGS['profiles']]))
        wire, cache = sent(made)
        cache.protocol.dataReceived(CHUNKED)
        self.come(made, cache, 1.0)
        made.reactor.pump([0.1] * 45)
        before = wire.value()
        cache.protocol.dataReceived(self.PIECE)
        self.assertEqual((before, status(wire), wire.value().count(b'ab')), (b'', 200, 11))

    def test_an_attempt_goes_on_beyond_its_own_limit_while_its_answer_comes(self):
        for pause, code in ((0.1, 200), (None, 503)):
            with self.subTest(pause=pause):
                made = node()
                wire, cache = sent(made)
                attempt = next(iter(made.attempts))
                made.deadlines.at(made.clock() + 5_000, made.patience_due, attempt.number)
                cache.protocol.dataReceived(CHUNKED + self.PIECE)
                if pause:
                    self.come(made, cache, 1.6)
                else:
                    made.reactor.pump([0.1] * 21)
                self.assertEqual((status(wire), made.counts['hops_expired']), (code, int(code != 200)))

    def test_of_two_attempts_the_one_of_which_more_is_here_is_passed_on(self):
        made = node(known=TWO_CACHES)
        wire, cache = sent(made)
        made.reactor.advance(0.6)  # its copy is due
        copy = dialled(made)
        self.assertIsNot(copy.protocol, cache.protocol)
        for each in (cache, copy):
            each.protocol.dataReceived(CHUNKED)
        for _ in range(10):
            cache.protocol.dataReceived(self.PIECE)
            copy.protocol.dataReceived(b'3\r\nABC\r\n')
            made.reactor.advance(0.1)
        self.assertEqual((status(wire), wire.value().count(b'ABC') > 8), (200, True))
        self.assertEqual((wire.value().count(b'ab'), cache.ended, copy.ended), (0, True, False))

    def test_a_failure_or_a_miss_is_not_passed_on(self):
        for code in (404, 500, 503):
            made = node()
            wire, cache = sent(made)
            cache.protocol.dataReceived(CHUNKED.replace(b'200 OK', b'%d X' % code))
            self.come(made, cache, 1.9)
            self.assertEqual(wire.value(), b'')

    def test_a_small_one_of_told_length_waits_for_its_last_byte(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n')
        self.come(made, cache, 1.9, b'ab')
        self.assertEqual(wire.value(), b'')


class UnreadAtADeadline(Quiet):
    """A deadline and the bytes that it waits for come in one turn: the bytes were there first."""

    @staticmethod
    def unread(made, wire, data):
        """These bytes lie unread, and are read in the reactor's next turn after somebody looked."""

        def looked_at(count, flags):
            made.reactor.callLater(0, wire.protocol.dataReceived, data)
            del wire.recv
            return data[:count]

        wire.recv = looked_at

    def test_the_last_piece_of_an_answer_at_the_limit(self):
        made = node()
        wire, cache = sent(made)
        cache.protocol.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab')
        made.reactor.pump([0.1] * 19)
        self.unread(made, cache, b'cd')
        made.reactor.advance(0.1)
        self.assertEqual((status(wire), wire.value()[-4:]), (200, b'abcd'))

    def test_one_that_always_has_something_unread_is_cut_all_the_same(self):
        made = node()
        wire, cache = sent(made)
        cache.unread = b'x'
        made.reactor.pump([0.1] * 21)
        self.assertEqual((status(wire), cache.ended), (503, True))

    def test_the_last_piece_of_a_request_as_it_has_stayed_too_long(self):
        made = node(settings=grown(limits={'connectTimeoutS': 10.0}))
        wire = asked(made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n')
        made.reactor.pump([0.1] * 23)
        self.unread(made, wire, b'\r\n')
        made.reactor.pump([0.1] * 11)
        self.assertEqual((wire.value(), len(made.active_requests)), (b'', 1))  # not a 408

    def test_one_that_drips_so_that_something_is_always_unread_goes_at_the_next_look(self):
        made = node()
        wire = asked(made, 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n')
        wire.unread = b'X'
        made.reactor.pump([0.1] * 36)
        self.assertEqual(status(wire), 408)

    def test_the_next_piece_of_a_large_answer_that_was_silent_beyond_its_limit(self):
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
    """Whose silence it is decides who is given up."""

    LONG = [dict(row, hardLimitS=30.0) for row in SETTINGS['profiles']]

    def test_a_server_silent_within_a_long_limit_is_not_taken_for_a_client_that_does_not_read(self):
        made = node(settings=grown(profiles=self.LONG))
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE + b'x' * 50_000)
        made.reactor.pump([0.1] * 150)
        cache.protocol.dataReceived(b'x' * 50_000)
        self.assertEqual((wire.aborted, wire.protocol.phase), (False, IDLE))

    def test_a_pause_of_its_server_across_the_limit_and_beyond(self):
        for pause, ended in ((19, False), (22, True)):
            made = node()
            wire, cache = sent(made)
            cache.protocol.dataReceived(LARGE)
            made.reactor.pump([0.1] * 19)
            for _ in range(3):  # each pause begins with a piece
                cache.protocol.dataReceived(b'x' * 1_000)
                made.reactor.pump([0.1] * pause)
            self.assertEqual((pause, wire.aborted), (pause, ended))

    def test_a_pause_that_is_its_clients_counts_from_when_that_reads_on(self):
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

    def test_a_client_that_does_not_read_is_given_up_there_too(self):
        made = node(settings=grown(profiles=self.LONG))
        wire, cache = sent(made)
        cache.protocol.dataReceived(LARGE)
        wire.producer.pauseProducing()
        made.reactor.pump([0.1] * 115)
        self.assertTrue(wire.aborted)

    def test_a_client_whose_body_nobody_reads_yet_is_not_told_that_it_did_not_come(self):
        made = node(settings=grown(profiles=self.LONG, limits={'connectTimeoutS': 10.0}))
        wire, dial = asked(made, PUT + 'z' * 70_000), len(made.reactor.tcpClients) - 1
        made.reactor.pump([0.1] * 60)
        before = wire.value()
        origin = dialled(made, dial)
        made.reactor.advance(0)
        self.assertEqual((before, origin.value().count(b'z')), (b'', 70_000))

    def test_an_answer_that_came_before_the_body_is_not_taken_back_while_half_of_the_places_are_taken(self):
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
    def test_the_body_follows_its_head_and_its_time_runs_from_the_last_byte(self):
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
        self.assertTrue(origin.protocol.left)

    def test_a_server_lost_in_the_body_never_ran_it_and_gets_no_second_try(self):
        made = node()
        wire = asked(made, PUT + 'abc')
        origin, dials = carried(made), len(made.reactor.tcpClients)
        lost(origin)
        self.assertEqual((status(wire), wire.half_closed, len(made.reactor.tcpClients)), (503, True, dials))
        wire.protocol.dataReceived(b'x' * 99_997)  # which the client sends before it reads
        self.assertFalse(wire.aborted or wire.producerState == 'paused')

    def test_one_that_found_no_connection_goes_elsewhere(self):
        made = node()
        asked(made, PUT + 'abc')
        refused(made)
        self.assertTrue(carried(made).value().endswith(b'abc'))

    def test_a_client_that_goes_in_the_body_leaves_nothing_that_ran(self):
        made = node()
        wire = asked(made, PUT + 'abc')
        origin = carried(made)
        lost(wire)
        self.assertEqual((origin.aborted, len(made.active_requests)), (True, 0))

    def test_it_goes_too_where_hops_may_not_be_cancelled(self):
        made = node()
        made.place.terms.may_cancel = False
        wire = asked(made, PUT + 'abc')
        origin = carried(made)
        lost(wire)
        self.assertEqual((origin.aborted, len(made.attempts), made.counts['hops_unsent']), (True, 0, 1))
        self.assertEqual(
            (made.counts['rolled_back'], made.counts['abandoned']), (0, 0)
        )  # it had its last word

    def test_a_body_at_64_kb_a_second_is_waited_for_and_one_that_drips_is_not(self):
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

    def test_no_connection_yet_the_client_is_paused(self):
        made = node()
        wire = asked(made, PUT + 'z' * 70_000)
        held = wire.producerState
        origin = carried(made)
        self.assertEqual(
            (held, wire.producerState, origin.value().count(b'z')), ('paused', 'producing', 70_000)
        )

    def test_a_chunk_out_of_form_ends_it(self):
        made = node()
        wire = asked(
            made,
            PUT.replace('Content-Length: 100000', 'Transfer-Encoding: chunked') + '11000\r\n' + 'x' * 0x11000,
        )
        origin = carried(made)
        wire.protocol.dataReceived(b'\r\nnoise\r\n')
        self.assertEqual((status(wire), origin.aborted), (400, True))


class Pieces(threading.Thread):
    """A cache server that reads a body, and answers with 32 MB in pieces of all sizes."""

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
    """Through a real process, byte for byte, with its memory bounded."""

    SIZE, GROWTH_KB = 32 << 20, 16_384

    def make_servers(self):
        self.body = hashlib.shake_256(b'body').digest(self.SIZE)
        return {name: Pieces(self.body) for name in ('c0', 'o')}

    def most_kb(self):
        with open('/proc/%d/status' % self.first.pid, encoding='ascii') as file:
            return next(int(line.split()[1]) for line in file if line.startswith('VmHWM'))

    def test_32_mb_each_way_in_pieces(self):
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
