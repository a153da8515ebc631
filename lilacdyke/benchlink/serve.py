"""The serving loop: one batch in, one reply out, many instances that share nothing."""

from .. import decode
from ..logic import Router, Server
from ..values import STATES, BadLine, down, hexbytes, number, optional, report, seconds, truth, up, whole

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
WRITE = 4


class Instance:
    """One node's router, with the ids that the wire uses for what the router holds as objects."""

    __slots__ = ('number', 'router', 'origin_kind', 'servers', 'txs', 'unread')

    def __init__(self, number_, seed, text):
        terms, rank, self.origin_kind = decode.decode(text)
        self.number = number_
        self.router = Router(terms, seed, rank)
        self.servers = {}
        self.txs = {}
        self.unread = 0  # reports and peers' messages that were out of form

    def server(self, name):
        """The server of this name; one that no list has named cannot be meant."""
        found = self.servers.get(name)
        if found is None:
            raise BadLine('a server never named: %r' % name)
        return found

    def glance(self, read, text):
        """Check what nothing here depends on. Guards against a report or a message that is out of form taking
        the transaction with it: it is counted, and the first is logged."""
        try:
            optional(read, text)
        except BadLine as err:
            self.unread += 1
            if self.unread == 1:
                self.router.logs.append('not read, counted from here on: %.100s' % err)

    def drop(self, job, tx):
        """Let go of a transaction that has ended with every hop."""
        if tx.done and not tx.out:
            self.txs.pop(job, None)

    def on_roster(self, now, mode, records):
        """A list, or changes to it, or word that asking for it failed."""
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
        """A transaction arrives."""
        job, service, org, key, until, estimate, size, flags = parts
        job, row, limit = whole(job), whole(service), down(number(until))
        optional(number, estimate)
        optional(number, size)
        tenant, bits = optional(whole, org) or 0, optional(whole, flags) or 0
        terms = self.router.terms
        if row >= len(terms.profiles) or tenant >= max(1, len(terms.tenants)):
            raise BadLine('no such profile or tenant')
        if job in self.txs:
            raise BadLine('a transaction taken twice: %d' % job)
        tx = self.router.take(now, row, None if key == '-' else key, limit, bool(bits & WRITE), now)
        tx.ref = job
        self.txs[job] = tx

    def on_answer(self, now, parts):
        """A hop has ended."""
        job, index, server, how, lasted, complete, remark, feedback = parts
        job, index = whole(job), whole(index)
        if how not in ENDINGS:
            raise BadLine('unknown outcome: %r' % how)
        lasted, complete = down(number(lasted)), truth(complete)
        remark = optional(whole, remark) or 0
        self.glance(report, feedback)
        server = self.server(server)
        tx = self.txs.get(job)
        if tx is None:
            return
        if index >= len(tx.hops) or tx.hops[index].server is not server or not tx.hops[index].out:
            raise BadLine('no such hop is out: %d of %d' % (index, job))
        self.router.hop_ended(now, tx.hops[index], ENDINGS[how], lasted, complete, remark)
        self.drop(job, tx)

    def on_left(self, now, parts):
        """The client has gone."""
        job = whole(*parts)
        tx = self.txs.get(job)
        if tx is not None:
            self.router.client_gone(now, tx)
            self.drop(job, tx)

    def on_started(self, now, parts):
        """A streamed answer has begun: the hop is the client's from here."""
        job, index, server, lasted = parts
        job, index, lasted = whole(job), whole(index), number(lasted)
        self.server(server)
        tx = self.txs.get(job)
        if tx is None:
            return
        if index >= len(tx.hops):
            raise BadLine('no such hop: %d of %d' % (index, job))
        tx.hops[index].dropped = True
        self.router.client_gone(now, tx)

    def on_echo(self, now, parts):
        """A probe has ended: the router asks for none, the line is only checked."""
        server, how, lasted, feedback = parts
        if how not in ENDINGS:
            raise BadLine('unknown outcome: %r' % how)
        number(lasted)
        self.glance(report, feedback)
        self.server(server)

    def on_reminder(self, now, parts):
        """A wake-up is due: that the time has come is all there is to it."""
        whole(*parts)

    def on_heard(self, now, parts):
        """A message from a peer: the router sends none, the line is only checked."""
        author, body = parts
        whole(author)
        self.glance(hexbytes, body)

    def decisions(self, now, write):
        """Pull the router's decisions and write each as the wire has it."""
        for verb, *about in iter(lambda: self.router.decide(now), None):
            getattr(self, 'write_' + verb)(write, *about)

    def write_send(self, write, hop, patience):
        """A hop goes out."""
        tail = '' if patience is None else seconds(patience)
        write('ASSIGN\t%d\t%d\t%s\t%s\n' % (self.number, hop.tx.ref, hop.server.name, tail or '-'))

    def write_cancel(self, write, hop):
        """A hop is not waited for any more."""
        write('ABORT_ATTEMPT\t%d\t%d\t%d\n' % (self.number, hop.tx.ref, hop.index))

    def write_roll_back(self, write, tx, after):
        """The client may safely try again."""
        write('PUSH_BACK\t%d\t%d\t%s\n' % (self.number, tx.ref, seconds(after) if after else '-'))
        self.drop(tx.ref, tx)

    def write_abandon(self, write, tx):
        """Nothing can be promised."""
        write('RESPOND_ERROR\t%d\t%d\n' % (self.number, tx.ref))
        self.drop(tx.ref, tx)

    def write_watch(self, write):
        """Ask for the list's changes."""
        write('STREAM_CHANGES\t%d\t1\n' % self.number)

    def write_wake(self, write, when):
        """Ask to be woken."""
        write('REMIND\t%d\t%s\t0\n' % (self.number, seconds(when)))

    def write_log(self, write, text):
        """A line for staff."""
        write('DEBUG\t%d\t%s\n' % (self.number, text))


EVENTS = {
    'ASK': (Instance.on_ask, 8),
    'ANSWER': (Instance.on_answer, 8),
    'LEFT': (Instance.on_left, 1),
    'STARTED': (Instance.on_started, 4),
    'ECHO': (Instance.on_echo, 4),
    'REMINDER': (Instance.on_reminder, 1),
    'HEARD': (Instance.on_heard, 2),
}


class Link:
    """Reads batches from one stream and writes replies to another until the input ends."""

    def __init__(self, source, sink, errors):
        self.source, self.sink, self.errors = source, sink, errors
        self.instances = {}
        self.pools = {}
        self.line = 0
        self.now = None  # the batch's clock; None between batches
        self.touched = {}
        self.reply = []
        self.rows = None  # [pool number, rows left, rows read] while a pool is being read

    def run(self):
        """Serve until the end of input; the process then ends cleanly, or with 1 on a broken batch."""
        for raw in self.source:
            self.line += 1
            try:
                text = raw.decode('utf-8').rstrip('\r\n')
            except UnicodeDecodeError:
                self.complain(None, 'not UTF-8')
                continue
            name, *parts = text.split('\t')
            if name == 'ENLIST' and len(parts) > 3:
                parts[2:] = ['\t'.join(parts[2:])]
            try:
                self.read(name, parts)
            except BadLine as err:
                self.complain(parts, '%s: %s' % (name, err))
        if self.now is not None:
            self.errors.write('line %d: input ended inside a batch\n' % self.line)
            return 1
        return 0

    def complain(self, parts, text):
        """Name the line and what is wrong with it; where an instance is known, in its fault line too."""
        self.errors.write('line %d: %s\n' % (self.line, text))
        self.errors.flush()
        known = parts and parts[0].isascii() and parts[0].isdigit() and int(parts[0])
        if self.now is not None and known is not None and known is not False and known in self.instances:
            self.reply.append('BAIL_OUT\t%d\tline %d: %s\n' % (known, self.line, text))

    def read(self, name, parts):
        """One line of the wire."""
        if self.rows and name != 'ROW':
            self.rows = None
            raise BadLine('a list ended early')
        if name == 'TURN':
            self.expect(parts, 1)
            if self.now is not None:
                raise BadLine('a batch inside a batch')
            self.now = down(number(parts[0]))
        elif self.now is None:
            if name or parts:
                raise BadLine('outside a batch')
        elif name == 'EOF_BATCH':
            self.expect(parts, 0)
            self.answer()
        elif name == 'POOL':
            self.expect(parts, 2)
            self.rows = [whole(parts[0]), whole(parts[1]), []]
            self.rows_read()
        elif name == 'ROW':
            self.row(parts)
        elif name == 'ENLIST':
            self.expect(parts, 3)
            key = whole(parts[0])
            self.instances[key] = self.touched[key] = Instance(key, whole(parts[1]), parts[2])
        elif name == 'RETIRE':
            self.expect(parts, 1)
            instance = self.instance(parts[0])
            self.instances.pop(instance.number)
            self.touched.pop(instance.number, None)
        elif name == 'ROSTER_CHANGE':
            self.roster(parts)
        elif name in EVENTS:
            call, count = EVENTS[name]
            self.expect(parts, count + 1)
            instance = self.instance(parts[0])
            call(instance, self.now, parts[1:])
        else:
            raise BadLine('unknown verb')

    @staticmethod
    def expect(parts, count):
        """So many values, no more and no fewer."""
        if len(parts) != count:
            raise BadLine('%d values, not %d' % (len(parts), count))

    def instance(self, text):
        """A running instance, which will be asked for its decisions at the end of the batch."""
        found = self.instances.get(whole(text))
        if found is None:
            raise BadLine('no such instance: %s' % text)
        self.touched[found.number] = found
        return found

    def row(self, parts):
        """One entry of the list being read."""
        if not self.rows:
            raise BadLine('a row outside a list')
        self.rows[1] -= 1
        try:
            self.expect(parts, 7)
            zone, cell, weight, name, started, state, kind = parts
            if state not in STATES:
                raise BadLine('unknown state: %r' % state)
            started = optional(number, started)
            self.rows[2].append(
                (
                    name,
                    STATES[state],
                    number(weight),
                    up(started) if started else None,
                    whole(zone),
                    whole(cell),
                    whole(kind),
                )
            )
        finally:
            self.rows_read()

    def rows_read(self):
        """Keep the list once its last row is in."""
        if self.rows and not self.rows[1]:
            self.pools[self.rows[0]] = self.rows[2]
            self.rows = None

    def roster(self, parts):
        """Word of the list to one instance."""
        self.expect(parts, 4)
        instance = self.instance(parts[0])
        mode, records = parts[1], ()
        if mode not in LIST_MODES:
            raise BadLine('unknown mode: %r' % mode)
        if mode != 'unavailable':
            whole(parts[2])
            records = self.pools.get(whole(parts[3]))
            if records is None:
                raise BadLine('a list never sent: %s' % parts[3])
        instance.on_roster(self.now, mode, records)

    def answer(self):
        """The reply: what each instance with an event in the batch decides, in the batch's order."""
        for instance in self.touched.values():
            instance.decisions(self.now, self.reply.append)
        self.reply.append('OK\n')
        self.sink.write(''.join(self.reply).encode('utf-8'))
        self.sink.flush()
        self.reply.clear()
        self.touched.clear()
        self.now = None
