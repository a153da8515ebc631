"""Messages out of bytes: any split, bounds, framing, what is passed on."""

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
    """Each message as (parts, fields, body), the bytes fed so many at a time, and the complaint if any."""
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
    """The first message in the bytes."""
    reader = Reader(first)
    reader.feed(data)
    return reader.take()


class Splits(unittest.TestCase):
    def test_any_split_reads_the_same(self):
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

    def test_both_framings_give_the_body(self):
        for data in (PLAIN, CHUNKED):
            self.assertEqual(one(data).body, b'hello')

    def test_the_largest_body_may_come_with_its_head(self):
        body = bytes(MAX_BODY)
        self.assertEqual(one(HEAD + b'Content-Length: %d\r\n\r\n' % MAX_BODY + body).body, body)

    def test_a_half_message_is_none(self):
        for data in (PLAIN, CHUNKED):
            self.assertEqual(read(data[:-1]), ([], None))


class Bad(unittest.TestCase):
    def test_out_of_form(self):
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

    def test_an_answer_that_lasts_until_the_end_is_whole_then(self):
        reader = Reader(ANSWER)
        reader.feed(b'HTTP/1.1 200 OK\r\n\r\nab')
        self.assertEqual((reader.take(), bytes(reader.end().body), reader.end()), (None, b'ab', None))

    def test_one_that_lasts_without_end_is_bounded(self):
        reader = Reader(ANSWER, 10)
        reader.feed(b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 11)
        with self.assertRaises(BadMessage):
            reader.take()

    def test_a_chunk_line_of_a_watch_is_bounded(self):
        with self.assertRaises(BadMessage):
            Chunks(None).read(bytearray(b'1' * 2000))


class PassedOn(unittest.TestCase):
    def test_lines_of_one_connection_stay_behind(self):
        message = one(PLAIN.replace(b'X-Own', b'Connection: x-own, keep-alive\r\nX-Own'))
        self.assertEqual(message.forwarded_lines(), [b'Host: x\r\nReq-Id: 7\r\n'])

    def test_a_hop_has_the_request_unchanged_and_a_deadline_of_its_own(self):
        whole = b''.join(request(one(CHUNKED), 2501))
        self.assertTrue(whole.startswith(b'PUT /read/k?q=1 HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nX-Own: 1\r\n'))
        self.assertIn(b'Req-Deadline: 0.2501\r\n', whole)
        self.assertTrue(whole.endswith(b'Content-Length: 5\r\n\r\nhello'))

    def test_pieces_are_bytes_and_nothing_else(self):
        got = one(b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nab', ANSWER)
        pieces = request(one(CHUNKED), 1) + relayed(got, True) + answer(404, True)
        self.assertEqual({type(piece) for piece in pieces}, {bytes})

    def test_an_answer_is_framed_anew(self):
        got = one(
            b'HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
            ANSWER,
        )
        self.assertEqual(
            b''.join(relayed(got, False)),
            b'HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab',
        )

    def test_an_answer_of_its_own(self):
        self.assertEqual(
            b''.join(answer(503, True, 'no', 'Retry-After: 0.5\r\n')).split(b'\r\n')[-4:],
            [b'Content-Length: 2', b'Retry-After: 0.5', b'', b'no'],
        )

    def test_who_keeps_the_connection(self):
        for minor, header, lasting in (
            (b'1', b'', True),
            (b'0', b'', False),
            (b'1', b'Connection: Close\r\n', False),
            (b'0', b'Connection: keep-alive\r\n', True),
        ):
            message = one(b'GET / HTTP/1.%s\r\n%s\r\n' % (minor, header))
            self.assertEqual(message.lasting, lasting)
