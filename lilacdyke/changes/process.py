"""The process of a writer or relay: its listening address, signals and file.

Nothing that a peer sends ends the process.
"""

import gc
import os
import signal
import time
from random import Random

from twisted.internet.error import CannotListenError

from ..decode import parse_address
from ..net.logs import log_event, log_warning
from ..net.sockets import Reactor
from ..net.system import System
from ..values import SECOND
from .host import Host
from .replica import Replica
from .store import DiskError, Store
from .writer import NotStoredError, Writer

STATS_INTERVAL = 10 * SECOND
START_ATTEMPTS, START_RETRY_DELAY_S = 20, 0.25


def retry_disk(call):
    """Return the result of a call that reads or writes the file, retrying transient disk errors at a start.

    Raise InvalidValueError if it keeps failing.
    """
    for attempts_left in reversed(range(START_ATTEMPTS)):
        try:
            return call()
        except (DiskError, NotStoredError) as err:
            if not attempts_left:
                raise
            log_warning('disk failed at the start', reason=err)
            time.sleep(START_RETRY_DELAY_S)


def make_writer(settings, process, replica):
    """Return the writer of this process. Raise InvalidValueError if its file cannot be read or written."""
    store = retry_disk(lambda: Store(process.folder))
    writer = Writer(
        replica, settings.keys, lambda line: retry_disk(lambda: store.append_record(line)), store.lines
    )  # stores its epoch
    writer.append_record = store.append_record
    return writer


def make_host(settings, process, reactor, system=System):
    """Return the host of this process. Raise InvalidValueError if a writer's file cannot be read or
    written."""
    is_writer = process.role == 'writer'
    replica = Replica(process.name, process.name if is_writer else None)
    parents = [(name, parse_address(settings.named(name).address)) for name in process.above]
    random = Random(os.urandom(8)).random
    # The rate limit of nodes does not apply to children that are relays.
    relays = frozenset(each.name for each in settings.process)
    host = Host(
        reactor,
        system.elapsed,
        random,
        replica,
        settings.installation,
        parents,
        node_rate=lambda name: None if name in relays else settings.node_rate,
    )
    if is_writer:
        host.writer = make_writer(settings, process, replica)
        host.wall_ms = lambda: int(System.wall() * 1_000)
    return host


def log_counts(host, system=System):
    """Log the counts periodically."""
    replica = host.replica
    status = host.status()
    log_event(
        'figures',
        links=len(host.links),
        below=status.below,
        behind=len(status.behind),
        ages_ms={origin: age // 10 for origin, age in status.ages.items()},
        memory_kb=system.memory_kb(),
        **replica.counts,
        **host.counts,
    )
    host.deadlines.at(host.clock() + STATS_INTERVAL, lambda _: log_counts(host, system), 0)


def run(settings, name):
    """Run the process with this name until SIGTERM and return its exit code. Raise InvalidValueError if it
    fails."""
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    installReactor(reactor)
    process = settings.named(name)
    host = make_host(settings, process, reactor)
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: reactor.callFromThread(reactor.stop))
    try:
        host.listen(*parse_address(process.address))
    except CannotListenError as err:
        log_warning('cannot listen', reason=err)
        return 1
    host.start()
    log_counts(host)
    log_event('serves', name=name, role=process.role, address=process.address)
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    log_event('stopped', **host.counts)
    return 0
