"""A cache server as a queue: cores, speed, what waits, what is kept, cold starts, falling over, repeats by
mark.

Owns what a server does with work, without I/O: bytes are servers.py's. The origin is one of these that has
every value. Must never use a clock or chance but those it is given.
"""

from collections import OrderedDict, deque


class Job:
    """One hop at a server."""

    __slots__ = (
        'hop',
        'id',
        'idempotency_key',
        'key',
        'write',
        'effect',
        'group',
        'window',
        'work',
        'until',
        'done',
        'state',
        'timer',
        'began',
        'outcome',
        'miss',
    )

    def __init__(self, hop, id_, idempotency_key, key, profile, work, until, done):
        self.hop, self.id, self.idempotency_key, self.key, self.work, self.until = (
            hop,
            id_,
            idempotency_key,
            key,
            work,
            until,
        )
        self.write, self.effect = profile.write, profile.effect
        self.group, self.window = profile.group, int(profile.window_s * 1e6)
        self.done = done  # called with the job once: outcome is set
        self.state, self.timer, self.began, self.outcome, self.miss = 'new', None, 0, None, False


class Fleet:
    """What the servers know of each other, as the platform gives it: marks by group, values, who missed
    what."""

    def __init__(self):
        self.servers, self.origin = {}, None
        self.first_runs = {}  # (scope, mark) -> when it first ran
        self.versions = {}  # key -> how often it was written
        self.missed = {}  # id -> servers that lacked its key

    def scope(self, server, job):
        """Who drops the repeats of a mark that this server has run."""
        return 'all' if job.group == 'all' else (server.zone if job.group == 'zone' else server.cell)


class Model:
    """One server. clock(), later(microseconds, call, *given) and drop(what later gave) are the ground's."""

    def __init__(
        self,
        name,
        scenario,
        kind,
        zone,
        cell,
        fleet,
        clock,
        later,
        drop,
        chance,
        see,
        started=0,
        origin=False,
    ):
        self.name, self.zone, self.cell, self.origin, self.fleet = name, zone, cell, origin, fleet
        self.kind, self.caches, self.rules = kind.name, scenario.caches, scenario.rules
        self.cores, self.speed, self.queue_limit = kind.cores, kind.speed, kind.queue
        self.keeps = getattr(kind, 'keeps', 0)
        self.overload_multiple = scenario.origin.fall_multiple if origin else scenario.rules.fall_multiple
        self.fall_us = int(1e6 * (scenario.origin.fall_s if origin else scenario.rules.fall_s))
        self.down_us = int(1e6 * (scenario.origin.down_s if origin else scenario.caches.down_s))
        self.error_rate = getattr(kind, 'error_rate', 0.0)
        self.clock, self.later, self.drop, self.chance, self.see = clock, later, drop, chance, see
        self.started = started  # 0: long ago; else when, microseconds of the run
        self.kept = OrderedDict()  # key -> (version, until when)
        self.fetching = {}  # key -> jobs that wait for a fetch of this server's own (mode through)
        self.running, self.waiting = {}, deque()
        self.recent_work, self.load = deque(), 0.0  # work that came lately, for falling over
        self.slow, self.hung, self.draining, self.fallen, self.stalled_until = 1.0, False, False, False, 0
        self.on_fall = lambda: None  # told when it falls over
        self.unanswered = deque()  # jobs that a hung server has finished and does not answer

    def capacity_share(self, at=None):
        """What it can do of its whole capacity at that time."""
        if not self.started:
            return 1.0
        age = ((self.clock() if at is None else at) - self.started) / (self.rules.warm_s * 1e6)
        return 1.0 if age >= 1 else self.rules.cold_from + (1 - self.rules.cold_from) * max(0.0, age)

    # --- values -----------------------------------------------------------------------------------------

    def store(self, key, version=None):
        """Take a value in; the one used longest ago makes way."""
        self.kept[key] = (
            self.fleet.versions.get(key, 0) if version is None else version,
            self.clock() + int(self.caches.ttl_s * 1e6),
        )
        self.kept.move_to_end(key)
        while len(self.kept) > self.keeps:
            self.kept.popitem(last=False)

    def has_fresh(self, key):
        """Whether a value is here and good."""
        if self.origin:
            return True
        held = self.kept.get(key)
        if held is None:
            return False
        if held[1] <= self.clock():
            del self.kept[key]
            return False
        self.kept.move_to_end(key)
        return True

    def fetch_running(self, key):
        """Whether the origin is at work on a fetch of a key: then a miss is `pending`, where servers tell
        so."""
        origin = self.fleet.origin
        if not self.caches.coalesce or origin is None:
            return False
        return any(job.key == key and not job.write for job in (*origin.running.values(), *origin.waiting))

    def void(self, key):
        """A write has changed it."""
        self.kept.pop(key, None)

    # --- work -------------------------------------------------------------------------------------------

    def offer(self, job):
        """A hop has come whole. False: it is declined, and surely never ran."""
        now = self.clock()
        self.track_load(now, job.work)
        if self.fallen:
            return True  # its connections are being reset
        if self.draining or job.until <= now or len(self.waiting) >= self.queue_limit:
            return False
        if len(self.running) < self.cores and now >= self.stalled_until:
            self.start(job)
        else:
            job.state = 'waiting'
            self.waiting.append(job)
        return True

    def track_load(self, now, work):
        """Guards nobody: a server that is sent more than the multiple of what it can do, for the time, falls
        over."""
        if not self.origin and not self.started:
            return
        recent_work = self.recent_work
        recent_work.append((now, work))
        self.load += work
        while recent_work and recent_work[0][0] <= now - self.fall_us:
            self.load -= recent_work.popleft()[1]
        capacity = self.cores * self.speed * self.capacity_share() * self.fall_us
        if self.load > 1.15 * self.overload_multiple * capacity + 2 * work and not self.fallen:
            if self.origin or self.capacity_share() < 1:
                self.fallen = True
                self.see(
                    'server',
                    self.name,
                    'fell',
                    self.kind,
                    self.zone,
                    self.cores,
                    self.speed,
                    self.started,
                    self.origin,
                )
                self.on_fall()

    def start(self, job):
        now = self.clock()
        job.state, job.began = 'running', now
        self.running[job.hop] = job
        job.miss = not job.write and not self.has_fresh(job.key)
        if job.write and not self.origin and self.caches.mode == 'aside':
            job.miss = True
        work = job.work * (self.caches.miss_cost if job.miss else 1.0)
        duration = int(work * self.slow / (self.speed * self.capacity_share())) + 1
        job.timer = self.later(duration, self.finish, job)

    def finish(self, job):
        """Its work is done, unless all stands still."""
        if self.clock() < self.stalled_until:
            job.timer = self.later(self.stalled_until - self.clock(), self.finish, job)
            return
        job.timer = None
        self.see('worked', job.hop, self.clock() - job.began)
        del self.running[job.hop]
        job.state = 'done'
        self.complete(job)
        self.start_waiting()
        if self.hung:
            self.unanswered.append(job)
        elif job.outcome is not None:
            job.done(job)

    def complete(self, job):
        """What came of it, and what it changed."""
        fleet = self.fleet
        if self.chance.random() < self.error_rate:
            job.outcome = 'error'
            self.apply(job)
            return
        if job.miss:
            self.see('missed', job.hop, int(self.capacity_share() < 1))
            if self.caches.mode == 'through':
                self.fetch(job)
                return
            fleet.missed.setdefault(job.id, []).append(self.name)
            job.outcome = 'miss'
            return
        job.outcome = 'served'
        self.apply(job)
        if self.origin and not job.write:
            for name in fleet.missed.pop(job.id, ()):
                if name in fleet.servers and not fleet.servers[name].fallen:
                    fleet.servers[name].store(job.key)

    def apply(self, job):
        """It takes effect, unless its mark is known."""
        fleet = self.fleet
        dedup_key, now = (fleet.scope(self, job), job.idempotency_key), self.clock()
        first = fleet.first_runs.get(dedup_key) if job.idempotency_key else None
        if first is not None and now - first <= job.window:
            self.see('repeat', job.hop, job.id, job.idempotency_key)
            return
        if job.idempotency_key:
            fleet.first_runs[dedup_key] = now
        self.see('effect', job.hop, job.id, job.idempotency_key)
        if job.write:
            fleet.versions[job.key] = fleet.versions.get(job.key, 0) + 1
            for server in fleet.servers.values():
                server.void(job.key)

    def fetch(self, job):
        """Mode through: the server itself asks the origin, over a way of its own."""
        if job.key in self.fetching and not job.write:
            self.fetching[job.key].append(job)
            return
        self.fetching.setdefault(job.key, []).append(job)
        origin = self.fleet.origin
        asked = Job(
            '%s/%s' % (self.name, job.hop), job.id, '', job.key, FetchProfile, job.work * 1.5, job.until, None
        )
        asked.done = lambda _: self.fetched(job.key, True)
        if origin is None or not origin.offer(asked) or origin.fallen:
            self.later(1, self.fetched, job.key, False)

    def fetched(self, key, well):
        """The origin has answered, or not."""
        jobs = self.fetching.pop(key, [])
        if well:
            self.store(key)
        for job in jobs:
            job.outcome = 'served' if well else 'error'
            self.see('effect', job.hop, job.id, job.idempotency_key)
            if not self.hung:
                job.done(job)

    def start_waiting(self):
        """The one that waited longest; who is over its time, or gone, is dropped unrun."""
        now = self.clock()
        while self.waiting and len(self.running) < self.cores and now >= self.stalled_until:
            job = self.waiting.popleft()
            if job.state != 'waiting':
                continue
            if job.until <= now:
                job.state, job.outcome = 'done', 'declined'
                job.done(job)
                continue
            self.start(job)

    def cancel(self, job):
        """Nobody waits for it any more."""
        if job.state == 'waiting':
            job.state = 'gone'
            self.see('dropped', job.hop, 0)
        elif job.state == 'running' and not self.caches.work_goes_on and not self.origin:
            if job.timer is not None:
                self.drop(job.timer)
            job.state = 'gone'
            del self.running[job.hop]
            self.see('dropped', job.hop, 1)
            self.see('worked', job.hop, self.clock() - job.began)
            self.start_waiting()

    # --- troubles ---------------------------------------------------------------------------------------

    def thaw(self):
        """A hung server answers again what it has done meanwhile."""
        self.hung = False
        while self.unanswered:
            job = self.unanswered.popleft()
            if job.outcome is not None:
                job.done(job)

    def stall(self, until):
        """All its cores stand still until then."""
        self.stalled_until = until
        self.later(max(1, until - self.clock()), self.start_waiting)

    def clear_all(self):
        """The process has ended: what it worked on and kept is gone."""
        for job in self.running.values():
            if job.timer is not None:
                self.drop(job.timer)
            job.state = 'gone'
        self.running.clear()
        for job in self.waiting:
            job.state = 'gone'
        self.waiting.clear()
        self.unanswered.clear()
        self.kept.clear()
        self.fetching.clear()
        self.recent_work.clear()
        self.load = 0.0


class FetchProfile:
    """What a fetch of a server's own is, as a profile."""

    write, effect, group, window_s = False, 'free', 'all', 1.0
