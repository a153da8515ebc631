"""Serving loop of the simulator's adapter: one reply per batch, for many independent instances."""

from .. import decode
from ..logic import Router, Server
from ..values import (
    STATES,
    InvalidValueError,
    boolean,
    format_seconds,
    hex_bytes,
    load_report,
    non_negative_int,
    number,
    optional,
    to_ticks_ceil,
    to_ticks_floor,
)

ENDINGS = {
    'delivered': 'committed',
    'app_error': 'error',
    'shed': 'refused',
    'expired': 'expired',
    'dial_failed': 'unreachable',
    'dropped': 'lost',
    'revoked': 'cancelled',
    'unused': 'unsent',
    'empty': 'missing',
}
LIST_MODES = ('update', 'replace', 'restored', 'unavailable')
WRITE_FLAG = 4


class Instance:
    """One node's router, with its servers and transactions by the ids used on the wire."""

    __slots__ = ('number', 'router', 'origin_kind', 'servers', 'txs', 'malformed')

    def __init__(self, instance_number, seed, text):
        terms, rank, self.origin_kind = decode.decode(text)
        self.number = instance_number
        self.router = Router(terms, seed, rank)
        self.servers = {}
        self.txs = {}
        self.malformed = 0  # load reports and peer messages

    def server(self, name):
        """Return the server of this name; raise InvalidValueError if no list has named it."""
        found = self.servers.get(name)
        if found is None:
            raise InvalidValueError('a server never named: %r' % name)
        return found

    def check_unused(self, read, text):
        """Check a value that the router does not use. A malformed one must not fail its transaction: it is
        counted, and the first is logged."""
        try:
            optional(read, text)
        except InvalidValueError as err:
            self.malformed += 1
            if self.malformed == 1:
                self.router.logs.append('not read, counted from here on: %.100s' % err)

    def forget(self, tx_id, tx):
        """Forget a transaction once it and all its hops have ended."""
        if tx.done and not tx.out:
            self.txs.pop(tx_id, None)

    def on_roster(self, now, mode, records):
        """Apply a server list, changes to it, or a failed request for it."""
        if mode == 'unavailable':
            self.router.list_failed(now)
            return
        entries = []
        for name, state, weight, started, zone, cell, kind in records:
            server = self.servers.get(name)
            if server is None:
                server = self.servers[name] = Server(name, kind == self.origin_kind)
            entries.append((server, state, weight, started, zone, cell))
        if mode == 'update':
            self.router.list_changed(now, entries)
        elif mode == 'replace':
            self.router.list_replaced(now, entries)
        else:
            self.router.list_remembered(now, entries)

    def on_ask(self, now, parts):
        """Accept a transaction."""
        tx_id, service, org, key, deadline, estimate, size, flags = parts
        tx_id, row, limit = (
            non_negative_int(tx_id),
            non_negative_int(service),
            to_ticks_floor(number(deadline)),
        )
        optional(number, estimate)
        optional(number, size)
        tenant, bits = optional(non_negative_int, org) or 0, optional(non_negative_int, flags) or 0
        terms = self.router.terms
        if row >= len(terms.profiles) or tenant >= max(1, len(terms.tenants)):
            raise InvalidValueError('no such profile or tenant')
        if tx_id in self.txs:
            raise InvalidValueError('a transaction taken twice: %d' % tx_id)
        tx = self.router.take(now, row, None if key == '-' else key, limit, bool(bits & WRITE_FLAG), now)
        tx.ref = tx_id
        self.txs[tx_id] = tx

    def on_answer(self, now, parts):
        """Record the end of a hop."""
        tx_id, index, server, outcome, lasted, complete, remark, feedback = parts
        tx_id, index = non_negative_int(tx_id), non_negative_int(index)
        if outcome not in ENDINGS:
            raise InvalidValueError('unknown outcome: %r' % outcome)
        lasted, complete = to_ticks_floor(number(lasted)), boolean(complete)
        remark = optional(non_negative_int, remark) or 0
        self.check_unused(load_report, feedback)
        server = self.server(server)
        tx = self.txs.get(tx_id)
        if tx is None:
            return
        if index >= len(tx.hops) or tx.hops[index].server is not server or not tx.hops[index].out:
            raise InvalidValueError('no such hop is out: %d of %d' % (index, tx_id))
        self.router.hop_ended(now, tx.hops[index], ENDINGS[outcome], lasted, complete, remark)
        self.forget(tx_id, tx)

    def on_left(self, now, parts):
        """Record that the client has left."""
        tx_id = non_negative_int(*parts)
        tx = self.txs.get(tx_id)
        if tx is not None:
            self.router.client_gone(now, tx)
            self.forget(tx_id, tx)

    def on_started(self, now, parts):
        """Record the start of a streamed answer, which ends the router's part in the transaction."""
        tx_id, index, server, lasted = parts
        tx_id, index, lasted = non_negative_int(tx_id), non_negative_int(index), number(lasted)
        self.server(server)
        tx = self.txs.get(tx_id)
        if tx is None:
            return
        if index >= len(tx.hops):
            raise InvalidValueError('no such hop: %d of %d' % (index, tx_id))
        tx.hops[index].dropped = True
        self.router.client_gone(now, tx)

    def on_echo(self, now, parts):
        """Check the line of a finished probe; the router sends none."""
        server, outcome, lasted, feedback = parts
        if outcome not in ENDINGS:
            raise InvalidValueError('unknown outcome: %r' % outcome)
        number(lasted)
        self.check_unused(load_report, feedback)
        self.server(server)

    def on_reminder(self, now, parts):
        """Check the line of a due wake-up; decisions are pulled at the end of the batch."""
        non_negative_int(*parts)

    def on_heard(self, now, parts):
        """Check the line of a message from a peer; the router sends none."""
        author, body = parts
        non_negative_int(author)
        self.check_unused(hex_bytes, body)

    def emit_decisions(self, now, write):
        """Pull the router's decisions and write each."""
        for verb, *args in iter(lambda: self.router.decide(now), None):
            getattr(self, 'write_' + verb)(write, *args)

    def write_send(self, write, hop, timeout):
        """Write the start of a hop."""
        timeout_s = '' if timeout is None else format_seconds(timeout)
        write('ASSIGN\t%d\t%d\t%s\t%s\n' % (self.number, hop.tx.ref, hop.server.name, timeout_s or '-'))

    def write_cancel(self, write, hop):
        """Write the cancellation of a hop."""
        write('ABORT_ATTEMPT\t%d\t%d\t%d\n' % (self.number, hop.tx.ref, hop.index))

    def write_roll_back(self, write, tx, after):
        """Write the final answer after which the client may safely retry."""
        write('PUSH_BACK\t%d\t%d\t%s\n' % (self.number, tx.ref, format_seconds(after) if after else '-'))
        self.forget(tx.ref, tx)

    def write_abandon(self, write, tx):
        """Write the final answer of a transaction that may have run."""
        write('RESPOND_ERROR\t%d\t%d\n' % (self.number, tx.ref))
        self.forget(tx.ref, tx)

    def write_watch(self, write):
        """Request changes to the server list."""
        write('STREAM_CHANGES\t%d\t1\n' % self.number)

    def write_wake(self, write, when):
        """Request a wake-up."""
        write('REMIND\t%d\t%s\t0\n' % (self.number, format_seconds(when)))

    def write_log(self, write, text):
        """Write a log line."""
        write('DEBUG\t%d\t%s\n' % (self.number, text))


EVENT_HANDLERS = {
    'ASK': (Instance.on_ask, 8),
    'ANSWER': (Instance.on_answer, 8),
    'LEFT': (Instance.on_left, 1),
    'STARTED': (Instance.on_started, 4),
    'ECHO': (Instance.on_echo, 4),
    'REMINDER': (Instance.on_reminder, 1),
    'HEARD': (Instance.on_heard, 2),
}


class Adapter:
    """Reads batches from one stream and writes the replies to another until the input ends."""

    def __init__(self, source, sink, errors):
        self.source, self.sink, self.errors = source, sink, errors
        self.instances = {}
        self.pools = {}
        self.line = 0
        self.now = None  # time of the batch; None between batches
        self.active = {}
        self.reply = []
        self.pool = None  # [number, rows left, rows read] while a pool is being read

    def run(self):
        """Serve until the end of input. Return the exit status: 1 if the input ends inside a batch."""
        for raw in self.source:
            self.line += 1
            try:
                text = raw.decode('utf-8').rstrip('\r\n')
            except UnicodeDecodeError:
                self.report_error(None, 'not UTF-8')
                continue
            name, *parts = text.split('\t')
            if name == 'ENLIST' and len(parts) > 3:
                parts[2:] = ['\t'.join(parts[2:])]
            try:
                self.read(name, parts)
            except InvalidValueError as err:
                self.report_error(parts, '%s: %s' % (name, err))
        if self.now is not None:
            self.errors.write('line %d: input ended inside a batch\n' % self.line)
            return 1
        return 0

    def report_error(self, parts, text):
        """Report a malformed line on the error stream, and to its instance if there is one."""
        self.errors.write('line %d: %s\n' % (self.line, text))
        self.errors.flush()
        known = parts and parts[0].isascii() and parts[0].isdigit() and int(parts[0])
        if self.now is not None and known is not None and known is not False and known in self.instances:
            self.reply.append('BAIL_OUT\t%d\tline %d: %s\n' % (known, self.line, text))

    def read(self, name, parts):
        """Handle one line."""
        if self.pool and name != 'ROW':
            self.pool = None
            raise InvalidValueError('a list ended early')
        if name == 'TURN':
            self.expect(parts, 1)
            if self.now is not None:
                raise InvalidValueError('a batch inside a batch')
            self.now = to_ticks_floor(number(parts[0]))
        elif self.now is None:
            if name or parts:
                raise InvalidValueError('outside a batch')
        elif name == 'EOF_BATCH':
            self.expect(parts, 0)
            self.answer()
        elif name == 'POOL':
            self.expect(parts, 2)
            self.pool = [non_negative_int(parts[0]), non_negative_int(parts[1]), []]
            self.store_complete_pool()
        elif name == 'ROW':
            self.row(parts)
        elif name == 'ENLIST':
            self.expect(parts, 3)
            key = non_negative_int(parts[0])
            self.instances[key] = self.active[key] = Instance(key, non_negative_int(parts[1]), parts[2])
        elif name == 'RETIRE':
            self.expect(parts, 1)
            instance = self.instance(parts[0])
            self.instances.pop(instance.number)
            self.active.pop(instance.number, None)
        elif name == 'ROSTER_CHANGE':
            self.roster(parts)
        elif name in EVENT_HANDLERS:
            call, count = EVENT_HANDLERS[name]
            self.expect(parts, count + 1)
            instance = self.instance(parts[0])
            call(instance, self.now, parts[1:])
        else:
            raise InvalidValueError('unknown verb')

    @staticmethod
    def expect(parts, count):
        """Raise InvalidValueError unless there are exactly this many values."""
        if len(parts) != count:
            raise InvalidValueError('%d values, not %d' % (len(parts), count))

    def instance(self, text):
        """Return a running instance, whose decisions are pulled at the end of the batch."""
        found = self.instances.get(non_negative_int(text))
        if found is None:
            raise InvalidValueError('no such instance: %s' % text)
        self.active[found.number] = found
        return found

    def row(self, parts):
        """Read one row of a pool."""
        if not self.pool:
            raise InvalidValueError('a row outside a list')
        self.pool[1] -= 1
        try:
            self.expect(parts, 7)
            zone, cell, weight, name, started, state, kind = parts
            if state not in STATES:
                raise InvalidValueError('unknown state: %r' % state)
            started = optional(number, started)
            self.pool[2].append(
                (
                    name,
                    STATES[state],
                    number(weight),
                    to_ticks_ceil(started) if started else None,
                    non_negative_int(zone),
                    non_negative_int(cell),
                    non_negative_int(kind),
                )
            )
        finally:
            self.store_complete_pool()

    def store_complete_pool(self):
        """Store the pool once its last row has been read."""
        if self.pool and not self.pool[1]:
            self.pools[self.pool[0]] = self.pool[2]
            self.pool = None

    def roster(self, parts):
        """Pass a server list, or the failed request for it, to one instance."""
        self.expect(parts, 4)
        instance = self.instance(parts[0])
        mode, records = parts[1], ()
        if mode not in LIST_MODES:
            raise InvalidValueError('unknown mode: %r' % mode)
        if mode != 'unavailable':
            non_negative_int(parts[2])
            records = self.pools.get(non_negative_int(parts[3]))
            if records is None:
                raise InvalidValueError('a list never sent: %s' % parts[3])
        instance.on_roster(self.now, mode, records)

    def answer(self):
        """Write the reply: the decisions of each instance with an event, in the order of the batch."""
        for instance in self.active.values():
            instance.emit_decisions(self.now, self.reply.append)
        self.reply.append('OK\n')
        self.sink.write(''.join(self.reply).encode('utf-8'))
        self.sink.flush()
        self.reply.clear()
        self.active.clear()
        self.now = None
