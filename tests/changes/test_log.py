"""Change logs, writers, their files, messages and settings."""

import os
import tempfile
import unittest

from lilacdyke.changes import messages, settings, store
from lilacdyke.changes.log import ChangeLog
from lilacdyke.changes.messages import (
    BadFrameError,
    Change,
    Hello,
    Item,
    Position,
    Snapshot,
    Span,
    StatusRequest,
    Sync,
    UnsupportedVersionError,
    frame_reader,
)
from lilacdyke.changes.replica import Replica
from lilacdyke.changes.writer import ChangePut, Compacted, EpochBegun, RefusedError, Writer
from lilacdyke.values import InvalidValueError

KEYS = {'limit': 'number', 'banner': 'text', 'open': 'flag'}


def change(sequence, kind='config', value='1', at=5):
    return Change(sequence, kind, [Item('limit' if kind == 'config' else 'k', value)], at)


def log(count=0, tail=8):
    changes_log = ChangeLog(tail)
    changes_log.begin_epoch(1)
    for sequence in range(1, count + 1):
        changes_log.append(change(sequence, value=str(sequence), at=sequence))
    return changes_log


class Logs(unittest.TestCase):
    def test_span_is_applied_once_and_without_gaps(self):
        changes_log = log(2)
        spans = [
            (Span(1, 3, [change(4)]), []),
            (Span(1, 1, [change(2), change(3)]), [3]),
            (Span(1, 1, [change(2), change(3)]), []),
            (Span(2, 3, [change(4)]), []),
            (Span(1, 3, [change(4), change(6)]), [4]),
        ]
        for span, applied in spans:
            self.assertEqual([each.sequence for each in changes_log.apply_span(span)], applied)
        self.assertEqual(changes_log.position, Position(1, 4))

    def test_span_after_position_is_none_beyond_the_tail(self):
        changes_log = log(10, tail=4)
        self.assertIsNone(changes_log.span_after(Position(1, 5)))
        self.assertEqual(
            [each.sequence for each in changes_log.span_after(Position(1, 6)).changes], [7, 8, 9, 10]
        )
        self.assertEqual(
            [each.sequence for each in changes_log.span_after(Position(1, 6), 2).changes], [7, 8]
        )
        self.assertIsNone(changes_log.span_after(Position(0, 6)))
        self.assertIsNone(changes_log.span_after(Position(1, 11)))

    def test_span_size_is_limited_to_one_message(self):
        changes_log = log()
        for sequence in range(1, 9):
            changes_log.append(change(sequence, value='x' * 60_000))
        self.assertEqual(len(changes_log.span_after(Position(1, 0)).changes), 4)

    def test_snapshot_is_applied_only_if_ahead(self):
        changes_log = log(5)
        self.assertFalse(changes_log.apply_snapshot(Snapshot(Position(1, 5), {}, 9)))
        self.assertFalse(changes_log.apply_snapshot(Snapshot(Position(0, 99), {}, 9)))
        self.assertTrue(changes_log.apply_snapshot(Snapshot(Position(2, 1), {'limit': '7'}, 9)))
        self.assertEqual(
            (changes_log.configuration, changes_log.purged_before, changes_log.snapshot().purged_before),
            ({'limit': '7'}, 9, 9),
        )
        self.assertEqual(changes_log.span_after(Position(2, 1)).changes, [])

    def test_snapshot_history_fills_the_tail_unless_it_has_gaps(self):
        changes_log, fresh = log(6, tail=4), ChangeLog(8)
        self.assertTrue(fresh.apply_snapshot(changes_log.snapshot(with_history=True)))
        self.assertEqual([each.sequence for each in fresh.span_after(Position(1, 2)).changes], [3, 4, 5, 6])
        self.assertIsNone(fresh.span_after(Position(1, 1)))
        other = ChangeLog(8)
        spoilt = Span(1, 3, [change(4), change(6)])
        other.apply_snapshot(Snapshot(Position(1, 6), {}, 0, spoilt))
        self.assertIsNone(other.span_after(Position(1, 3)))
        self.assertIsNone(changes_log.snapshot().history)

    def test_change_of_unknown_kind_is_passed_on_and_counted(self):
        changes_log = log(1)
        changes_log.apply_span(Span(1, 1, [change(2, 'of-later'), change(3)]))
        self.assertEqual((changes_log.position.sequence, changes_log.skipped), (3, 1))
        self.assertEqual(
            [each.kind for each in changes_log.span_after(Position(1, 1)).changes], ['of-later', 'config']
        )


class Writers(unittest.TestCase):
    def writer(self, lines=(), epoch=None):
        self.replica = Replica('w', 'w')
        self.kept = list(lines)
        return Writer(self.replica, KEYS, self.kept.append, list(lines), epoch)

    def test_invalid_change_is_refused_with_its_key(self):
        cases = {
            ('config', (('limit', 'many'),)): 'limit',
            ('config', (('other', '1'),)): 'other',
            ('config', (('open', 'yes'),)): 'open',
            ('config', (('limit', '1'), ('limit', '2'))): 'twice',
            ('config', (('banner', 'x' * 70_000),)): 'banner: over',
            ('config', ()): 'no keys',
            ('purge', (('k', 'v'),)): 'k: a purge',
            ('later', (('k', ''),)): 'later',
        }
        writer = self.writer()
        for (kind, items), message in cases.items():
            with self.subTest(message=message), self.assertRaisesRegex(RefusedError, message):
                writer.put(kind, items, 1)
        self.assertEqual((self.replica.log('w').position, len(self.kept)), (Position(1, 0), 1))

    def test_configuration_size_is_limited_to_one_message(self):
        replica = Replica('w', 'w')
        keys = {'banner%d' % number: 'text' for number in range(20)}
        writer = Writer(replica, keys, lambda line: None)
        with self.assertRaisesRegex(RefusedError, 'banner8: the configuration'):
            for key in keys:
                writer.put('config', [(key, 'x' * 65_000)], 1)

    def test_change_that_is_not_stored_is_not_in_the_log(self):
        writer = self.writer()

        def fail(line):
            raise OSError('no space')

        writer.append_record = fail
        with self.assertRaises(OSError):
            writer.put('config', [('limit', '1')], 1)
        self.assertEqual(self.replica.log('w').position, Position(1, 0))

    def test_change_is_taken_back_by_a_new_change(self):
        writer = self.writer()
        for value in '12':
            writer.put('config', [('limit', value), ('banner', value)], 1)
        writer.put('config', [('open', 'true')], 1)
        writer.take_back(2, 2)
        self.assertEqual(self.replica.log('w').configuration, {'limit': '1', 'banner': '1', 'open': 'true'})
        self.assertEqual(self.replica.log('w').position, Position(1, 4))
        for sequence, message in ((1, 'limit: change'), (9, 'no change')):
            with self.assertRaisesRegex(RefusedError, message):
                writer.take_back(sequence, 3)

    def test_restarted_writer_replays_its_lines_in_a_new_epoch(self):
        writer = self.writer()
        writer.put('config', [('limit', '1')], 1)
        writer.put('config', [('limit', '2')], 1)
        again = self.writer(self.kept)
        self.assertEqual((again.epoch, self.replica.log('w').position), (2, Position(2, 0)))
        self.assertEqual(self.replica.log('w').configuration, {'limit': '2'})
        again.take_back(2, 3)
        self.assertEqual(self.replica.log('w').configuration, {'limit': '1'})

    def test_epoch_not_above_stored_epochs_is_refused(self):
        self.writer()
        with self.assertRaisesRegex(RefusedError, 'epoch'):
            self.writer([EpochBegun(4)], 4)


class Stores(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, store.NAME)

    def kept(self, *lines):
        opened = store.Store(self.folder.name)
        for line in lines:
            opened.append_record(line)
        opened.close()

    def test_stored_lines_are_read_and_truncated_last_line_is_dropped(self):
        self.kept(EpochBegun(1), ChangePut(change(1)))
        with open(self.path, 'ab') as file:
            file.write(b'{"type":"put","chan')
        opened = store.Store(self.folder.name)
        opened.close()
        self.assertEqual(opened.lines, [EpochBegun(1), ChangePut(change(1))])
        self.kept(ChangePut(change(2)))
        self.assertEqual(len(store.read(self.folder.name)), 3)

    def test_malformed_line_is_reported_with_its_number(self):
        self.kept(EpochBegun(1))
        with open(self.path, 'ab') as file:
            file.write(b'noise\n')
        with self.assertRaisesRegex(InvalidValueError, 'line 2'):
            store.Store(self.folder.name)

    def test_missing_folder_is_reported_in_one_line(self):
        with self.assertRaisesRegex(InvalidValueError, 'nowhere'):
            store.Store('/nowhere/at/all')

    def test_long_file_is_compacted_to_the_same_state(self):
        lines = [
            EpochBegun(1),
            *(ChangePut(change(number, value=str(number), at=number)) for number in range(1, 6_000)),
        ]
        compacted_lines = store.compacted(lines)
        self.assertEqual(compacted_lines, [Compacted(1, {'limit': '5999'}, 5_999)])
        replica = Replica('w', 'w')
        writer = Writer(replica, KEYS, lambda line: None, compacted_lines)
        self.assertEqual((writer.epoch, replica.log('w').configuration), (2, {'limit': '5999'}))


class Frames(unittest.TestCase):
    def test_messages_are_decoded_byte_by_byte(self):
        sent = [Hello('n0', 'here'), Sync('n0', 5, spans={'w': Span(1, 0, [change(1)])}), StatusRequest()]
        data, reader, found = b''.join(map(messages.pack, sent)), frame_reader(), []
        for at in range(len(data)):
            found += [messages.unpack(body) for body in reader.feed(data[at : at + 1])]
        self.assertEqual(found, sent)

    def test_malformed_frame_raises_with_one_line(self):
        bodies = (
            b'noise',
            messages.msgspec.msgpack.encode((1, 0, {'type': 'sync'})),
            messages.msgspec.msgpack.encode((1, 0, {'type': 'sync', 'name': 'x', 'stamp': -1})),
            messages.msgspec.msgpack.encode((1, 0, {'type': 'of-later'})),
            messages.msgspec.msgpack.encode([1]),
        )
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(BadFrameError) as caught:
                messages.unpack(body)
            self.assertNotIn('\n', str(caught.exception))
        with self.assertRaises(BadFrameError):
            frame_reader().feed(b'\xff' * 8)

    def test_newer_major_version_is_refused_and_unknown_fields_are_skipped(self):
        encode = messages.msgspec.msgpack.encode
        with self.assertRaises(UnsupportedVersionError):
            messages.unpack(encode((2, 0, {'type': 'status'})))
        fields = {'type': 'sync', 'name': 'x', 'stamp': 1, 'mood': 'new'}
        self.assertEqual(messages.unpack(encode((1, 9, fields))), Sync('x', 1))


class Files(unittest.TestCase):
    TEXT = """
enabled = true
installation = "here"
[[process]]
name = "w0"
role = "writer"
address = "127.0.0.1:7300"
folder = "/tmp"
[[process]]
name = "r0"
role = "relay"
address = "127.0.0.1:7301"
above = ["w0"]
[keys]
limit = "number"
"""

    def read(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(text)
            file.flush()
            return settings.read(file.name)

    def test_valid_file_is_read(self):
        loaded = self.read(self.TEXT)
        self.assertEqual(([each.name for each in loaded.relays], loaded.keys), (['r0'], {'limit': 'number'}))

    def test_invalid_file_is_reported_in_one_line_with_the_key(self):
        cases = {
            self.TEXT.replace('"number"', '"colour"'): 'keys',
            self.TEXT.replace('above = ["w0"]', 'above = ["w9"]'): 'no w9',
            self.TEXT.replace('above = ["w0"]', ''): 'r0: a relay',
            self.TEXT.replace('folder = "/tmp"', ''): 'w0: a writer',
            self.TEXT.replace('"w0"\nrole', '"r0"\nrole'): 'twice',
            self.TEXT.replace('127.0.0.1:7301', 'here:1'): 'address',
            self.TEXT.replace('role = "writer"', 'role = "king"'): 'role',
            'more = 1' + self.TEXT: 'more',
            self.TEXT.replace('above = ["w0"]', 'above = ["r0"]'): 'above itself',
            '[[': 'nvalid',
        }
        for text, message in cases.items():
            with self.subTest(message=message), self.assertRaisesRegex(InvalidValueError, message) as caught:
                self.read(text)
            self.assertNotIn('\n', str(caught.exception))

    def test_file_must_be_enabled_for_this_installation(self):
        loaded = self.read(self.TEXT)
        self.assertIs(settings.require_enabled(loaded, 'here'), loaded)
        for text, name in (
            (self.TEXT, 'there'),
            (self.TEXT, None),
            (self.TEXT.replace('true', 'false'), 'here'),
        ):
            with self.assertRaises(InvalidValueError):
                settings.require_enabled(self.read(text), name)
