"""Unsound requests, and those that have waited too long, on connections that wait to be accepted."""

from lilacdyke.net.http import is_single_request

from .helpers import Wire, asked, node
from .test_net import Quiet, status

SOUND = b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n'
UNSOUND = {
    b'noise \0\r\n\r\n': 400,
    b'GET /read/k HTTP/1.1\r\nHost: x\r\n\r\n': 400,
    b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Deadline: soon\r\n\r\n': 400,
    b'GET /nowhere HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n': 404,
    b'POST /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n': 405,
    b'PUT /read/k HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n': 400,
    b'PUT /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 99999999999\r\n\r\n': 413,
}


class Unsound(Quiet):
    def setUp(self):
        super().setUp()
        self.made = node()

    def accept(self, data, age):
        """Have a connection with these unread bytes accepted; return its wire and whether it was let in."""
        filter_, wire = self.made.listener.port.socket, Wire()
        wire.unread, wire.age = data, age
        waiting = [wire]

        def accept():
            if not waiting:
                raise BlockingIOError
            return waiting.pop(), 'there'

        filter_.listening.accept = accept
        try:
            return wire, filter_.accept()[0] is wire
        except BlockingIOError:
            return wire, False

    # Guards against answers that are late because others flood the queue with what cannot be served
    # (incident dda08d, evidence 3).
    def test_unsound_requests_are_refused_unread_while_the_queue_is_long(self):
        for data, code in UNSOUND.items():
            with self.subTest(data=data):
                wire, let_in = self.accept(data, 20)
                self.assertEqual((let_in, status(wire), wire.closed), (False, code, True))
        self.assertEqual(self.made.counts['malformed_unread'], len(UNSOUND))

    def test_repeated_id_is_refused_unread(self):
        name = asked(self.made).protocol.active.name
        wire, let_in = self.accept(SOUND.replace(b'Id: 1', b'Id: ' + name), 20)
        self.assertEqual((let_in, status(wire)), (False, 409))

    def test_sound_and_incomplete_requests_are_let_in(self):
        for data in (None, SOUND, SOUND[:-2], SOUND + b'GET', SOUND.replace(b'/read/k', b'/ready'), b'noise'):
            with self.subTest(data=data):
                wire, let_in = self.accept(data, 20)
                self.assertEqual((let_in, wire.value(), wire.closed), (True, b'', False))

    def test_unsound_request_is_let_in_while_the_queue_is_short(self):
        wire, let_in = self.accept(next(iter(UNSOUND)), 1)
        self.assertEqual((let_in, wire.value()), (True, b''))

    def test_late_write_that_is_whole_is_refused_unread(self):
        write = SOUND.replace(b'GET', b'PUT').replace(b'\r\n\r\n', b'\r\nContent-Length: 2\r\n\r\nhi')
        for data, code in ((write, 503), (write[:-1], None)):
            with self.subTest(data=data):
                wire, let_in = self.accept(data, 300)
                self.assertEqual((let_in, status(wire)), (code is None, code))

    def test_single_requests(self):
        put = b'PUT /once/k HTTP/1.1\r\nContent-Length: 2\r\n\r\n'
        for data, single in (
            (SOUND, True),
            (put + b'hi', True),
            (put + b'h', False),
            (put + b'hi' + SOUND, False),
            (put.replace(b'2', b'x') + b'hi', False),
            (SOUND + SOUND, False),
        ):
            with self.subTest(data=data):
                self.assertEqual(is_single_request(data), single)
