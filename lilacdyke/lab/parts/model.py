"""Queueing model of a cache server: cores, queue, cached values, warm-up, overload failure, deduplication.

Has no I/O; connections are in servers.py. The origin is a server that has every value. The clock and the
random source are passed in.
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
        self.done = done  # called once with the job, after outcome is set
        self.state, self.timer, self.began, self.outcome, self.miss = 'new', None, 0, None, False


class Fleet:
    """State shared by all servers: idempotency keys by group, versions of values, and misses."""

    def __init__(self):
        self.servers, self.origin = {}, None
        self.first_runs = {}  # (scope, idempotency key) -> time of the first run
        self.versions = {}  # key -> number of writes
        self.missed = {}  # request id -> servers that missed its key

    def scope(self, server, job):
        """Return the scope within which servers drop repeats of a job's idempotency key."""
        return 'all' if job.group == 'all' else (server.zone if job.group == 'zone' else server.cell)


class Model:
    """One server. clock(), later(microseconds, call, *args) and drop(timer) belong to the environment."""

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
        rng,
        record_event,
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
        self.clock, self.later, self.drop, self.rng, self.record_event = clock, later, drop, rng, record_event
        self.started = started  # start time in microseconds of the run; 0: long before it
        self.kept = OrderedDict()  # key -> (version, expiry)
        self.fetching = {}  # key -> jobs waiting for this server's own fetch (mode through)
        self.running, self.waiting = {}, deque()
        self.recent_work, self.load = deque(), 0.0  # (time, work) within the overload window, and its sum
        self.slow, self.hung, self.draining, self.fallen, self.stalled_until = 1.0, False, False, False, 0
        self.on_fall = lambda: None  # called at an overload failure
        self.unanswered = deque()  # finished jobs of a hung server

    def capacity_share(self, at=None):
        """Return the share of the full capacity that is available, below 1 during warm-up."""
        if not self.started:
            return 1.0
        age = ((self.clock() if at is None else at) - self.started) / (self.rules.warm_s * 1e6)
        return 1.0 if age >= 1 else self.rules.cold_from + (1 - self.rules.cold_from) * max(0.0, age)

    # --- values -----------------------------------------------------------------------------------------

    def store(self, key, version=None):
        """Cache a value and evict the least recently used ones beyond the limit."""
        self.kept[key] = (
            self.fleet.versions.get(key, 0) if version is None else version,
            self.clock() + int(self.caches.ttl_s * 1e6),
        )
        self.kept.move_to_end(key)
        while len(self.kept) > self.keeps:
            self.kept.popitem(last=False)

    def has_fresh(self, key):
        """Return whether an unexpired value is cached."""
        if self.origin:
            return True
        entry = self.kept.get(key)
        if entry is None:
            return False
        if entry[1] <= self.clock():
            del self.kept[key]
            return False
        self.kept.move_to_end(key)
        return True

    def fetch_running(self, key):
        """Return whether the origin is fetching a key, so that a miss is reported as `pending`."""
        origin = self.fleet.origin
        if not self.caches.coalesce or origin is None:
            return False
        return any(job.key == key and not job.write for job in (*origin.running.values(), *origin.waiting))

    def void(self, key):
        """Drop a value that a write has changed."""
        self.kept.pop(key, None)

    # --- work -------------------------------------------------------------------------------------------

    def offer(self, job):
        """Accept a complete hop. Return False if it is declined, in which case it never runs."""
        now = self.clock()
        self.track_load(now, job.work)
        if self.fallen:
            return True  # no answer: its connections are being reset
        if self.draining or job.until <= now or len(self.waiting) >= self.queue_limit:
            return False
        if len(self.running) < self.cores and now >= self.stalled_until:
            self.start(job)
        else:
            job.state = 'waiting'
            self.waiting.append(job)
        return True

    def track_load(self, now, work):
        """Add work to the overload window and fail if it exceeds the multiple of the capacity.

        Only the origin and servers in warm-up fail.
        """
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
                self.record_event(
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
        """Finish a job, after the end of a stall if there is one."""
        if self.clock() < self.stalled_until:
            job.timer = self.later(self.stalled_until - self.clock(), self.finish, job)
            return
        job.timer = None
        self.record_event('worked', job.hop, self.clock() - job.began)
        del self.running[job.hop]
        job.state = 'done'
        self.complete(job)
        self.start_waiting()
        if self.hung:
            self.unanswered.append(job)
        elif job.outcome is not None:
            job.done(job)

    def complete(self, job):
        """Determine a job's outcome and apply its effect."""
        fleet = self.fleet
        if self.rng.random() < self.error_rate:
            job.outcome = 'error'
            self.apply(job)
            return
        if job.miss:
            self.record_event('missed', job.hop, int(self.capacity_share() < 1))
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
        """Apply a job's effect, unless its idempotency key has run within the window."""
        fleet = self.fleet
        dedup_key, now = (fleet.scope(self, job), job.idempotency_key), self.clock()
        first = fleet.first_runs.get(dedup_key) if job.idempotency_key else None
        if first is not None and now - first <= job.window:
            self.record_event('repeat', job.hop, job.id, job.idempotency_key)
            return
        if job.idempotency_key:
            fleet.first_runs[dedup_key] = now
        self.record_event('effect', job.hop, job.id, job.idempotency_key)
        if job.write:
            fleet.versions[job.key] = fleet.versions.get(job.key, 0) + 1
            for server in fleet.servers.values():
                server.void(job.key)

    def fetch(self, job):
        """Fetch a key from the origin in mode `through`; concurrent reads share one fetch."""
        if job.key in self.fetching and not job.write:
            self.fetching[job.key].append(job)
            return
        self.fetching.setdefault(job.key, []).append(job)
        origin = self.fleet.origin
        origin_job = Job(
            '%s/%s' % (self.name, job.hop), job.id, '', job.key, FetchProfile, job.work * 1.5, job.until, None
        )
        origin_job.done = lambda _: self.fetched(job.key, True)
        if origin is None or not origin.offer(origin_job) or origin.fallen:
            self.later(1, self.fetched, job.key, False)

    def fetched(self, key, succeeded):
        """Complete the jobs that waited for a fetch."""
        jobs = self.fetching.pop(key, [])
        if succeeded:
            self.store(key)
        for job in jobs:
            job.outcome = 'served' if succeeded else 'error'
            self.record_event('effect', job.hop, job.id, job.idempotency_key)
            if not self.hung:
                job.done(job)

    def start_waiting(self):
        """Start waiting jobs in order, skipping cancelled ones and declining those past their deadline."""
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
        """Cancel a job, unless the server continues running work."""
        if job.state == 'waiting':
            job.state = 'gone'
            self.record_event('dropped', job.hop, 0)
        elif job.state == 'running' and not self.caches.work_goes_on and not self.origin:
            if job.timer is not None:
                self.drop(job.timer)
            job.state = 'gone'
            del self.running[job.hop]
            self.record_event('dropped', job.hop, 1)
            self.record_event('worked', job.hop, self.clock() - job.began)
            self.start_waiting()

    # --- faults -----------------------------------------------------------------------------------------

    def end_hang(self):
        """End a hang and answer the jobs finished meanwhile."""
        self.hung = False
        while self.unanswered:
            job = self.unanswered.popleft()
            if job.outcome is not None:
                job.done(job)

    def stall(self, until):
        """Stall all cores until the given time."""
        self.stalled_until = until
        self.later(max(1, until - self.clock()), self.start_waiting)

    def clear_all(self):
        """Discard all jobs and cached values at the end of the process."""
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
    """Profile of a fetch by the server itself."""

    write, effect, group, window_s = False, 'free', 'all', 1.0
