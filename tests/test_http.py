"""Tests of HTTP parsing and serialization: splits, bounds, framing, forwarded headers."""

import unittest

from lilacdyke.net.http import (
    ANSWER,
    MAX_BODY,
    MAX_HEAD,
    REQUEST,
    BadMessage,
    Chunks,
    Reader,
    answer,
    relayed,
    request,
)

HEAD = b'PUT /read/k?q=1 HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nReq-Deadline: 0.5\r\nX-Own: 1\r\n'
PLAIN = HEAD + b'Content-Length: 5\r\n\r\nhello'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\n'


def read(data, first=REQUEST, step=None):
    """Parse data in steps of so many bytes: ([(parts, fields, body)], status of the error or None)."""
    reader, found = Reader(first), []
    try:
        for at in range(0, len(data), step or len(data)):
            reader.feed(data[at : at + (step or len(data))])
            while message := reader.take():
                found.append((message.parts, dict(message.fields), bytes(message.body)))
    except BadMessage as err:
        return found, err.status
    return found, None


def one(data, first=REQUEST):
    """Return the first message in the data."""
    reader = Reader(first)
    reader.feed(data)
    return reader.take()


class Splits(unittest.TestCase):
    def test_any_split_gives_same_messages(self):
        streams = [
            PLAIN + CHUNKED + PLAIN,
            b'\r\n' + PLAIN,
            HEAD + b'Content-Length: x\r\n\r\n',
            CHUNKED[:-9] + b'zz',
            b'GET / HTTP/1.1\r\nA: ' + b'a' * MAX_HEAD,
            CHUNKED.replace(b'3\r\nllo', b'ffffff\r\nllo'),
            CHUNKED.replace(b'he\r\n', b'he!\r\n'),
        ]
        for stream in streams:
            whole = read(stream)
            for step in (1, 2, 3, 7, 100):
                with self.subTest(stream=stream[:40], step=step):
                    self.assertEqual(read(stream, step=step), whole)

    def test_body_with_either_framing(self):
        for data in (PLAIN, CHUNKED):
            self.assertEqual(one(data).body, b'hello')

    def test_largest_buffered_body_arrives_with_head(self):
        body = bytes(MAX_BODY)
        self.assertEqual(one(HEAD + b'Content-Length: %d\r\n\r\n' % MAX_BODY + body).body, body)

    def test_incomplete_message_is_none(self):
        for data in (PLAIN, CHUNKED):
            self.assertEqual(read(data[:-1]), ([], None))


class Bad(unittest.TestCase):
    def test_malformed_messages_are_rejected(self):
        cases = {
            b'GET /\r\n\r\n': 400,
            b'GET / HTTP/2.0\r\n\r\n': 400,
            b'GET  / HTTP/1.1\r\n\r\n': 400,
            b'GET / HTTP/1.1\r\nA : b\r\n\r\n': 400,
            b'GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n': 400,
            b'GET / HTTP/1.1\r\nA: b\nB: c\r\n\r\n': 400,
            b'GET / HTTP/1.1\r\nA: \0\r\n\r\n': 400,
            b'GET / HTTP/1.1\r\nReq-Id: 1\r\nReq-Id: 2\r\n\r\n': 400,
            HEAD + b'Content-Length: 5\r\nContent-Length: 6\r\n\r\n': 400,
            HEAD + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n': 400,
            HEAD + b'Transfer-Encoding: gzip, chunked\r\n\r\n': 400,
            HEAD + b'Content-Length: -1\r\n\r\n': 400,
            HEAD + b'Content-Length: +5\r\n\r\n': 400,
            HEAD + b'Content-Length: 33554433\r\n\r\n': 413,
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n2000001\r\n': 413,
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n-1\r\n': 400,
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;' + b'x' * 2000: 400,
            b'GET /' + b'x' * MAX_HEAD: 431,
        }
        for data, status in cases.items():
            with self.subTest(data=data[-60:]):
                self.assertEqual(read(data), ([], status))

    def test_close_delimited_answer_is_complete_at_end(self):
        reader = Reader(ANSWER)
        reader.feed(b'HTTP/1.1 200 OK\r\n\r\nab')
        self.assertEqual((reader.take(), bytes(reader.end().body), reader.end()), (None, b'ab', None))

    def test_close_delimited_answer_is_bounded(self):
        reader = Reader(ANSWER, 10)
        reader.feed(b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 11)
        with self.assertRaises(BadMessage):
            reader.take()

    def test_chunk_line_of_unbounded_body_is_bounded(self):
        with self.assertRaises(BadMessage):
            Chunks(None).read(bytearray(b'1' * 2000))


class PassedOn(unittest.TestCase):
    def test_hop_by_hop_headers_are_not_forwarded(self):
        message = one(PLAIN.replace(b'X-Own', b'Connection: x-own, keep-alive\r\nX-Own'))
        self.assertEqual(message.forwarded_lines(), [b'Host: x\r\nReq-Id: 7\r\n'])

    def test_forwarded_request_has_its_own_deadline(self):
        whole = b''.join(request(one(CHUNKED), 2501))
        self.assertTrue(whole.startswith(b'PUT /read/k?q=1 HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nX-Own: 1\r\n'))
        self.assertIn(b'Req-Deadline: 0.2501\r\n', whole)
        self.assertTrue(whole.endswith(b'Content-Length: 5\r\n\r\nhello'))

    def test_pieces_are_bytes(self):
        got = one(b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nab', ANSWER)
        pieces = request(one(CHUNKED), 1) + relayed(got, True) + answer(404, True)
        self.assertEqual({type(piece) for piece in pieces}, {bytes})

    def test_answer_is_reframed(self):
        got = one(
            b'HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
            ANSWER,
        )
        self.assertEqual(
            b''.join(relayed(got, False)),
            b'HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab',
        )

    def test_generated_answer(self):
        self.assertEqual(
            b''.join(answer(503, True, 'no', 'Retry-After: 0.5\r\n')).split(b'\r\n')[-4:],
            [b'Content-Length: 2', b'Retry-After: 0.5', b'', b'no'],
        )

    def test_connection_persistence(self):
        for minor, header, keep_alive in (
            (b'1', b'', True),
            (b'0', b'', False),
            (b'1', b'Connection: Close\r\n', False),
            (b'0', b'Connection: keep-alive\r\n', True),
        ):
            message = one(b'GET / HTTP/1.%s\r\n%s\r\n' % (minor, header))
            self.assertEqual(message.keep_alive, keep_alive)
