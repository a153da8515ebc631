"""A writer's or a relay's process: its address, its signals, its file.

Owns the process. Must never end for what a peer sends.
"""

import gc
import os
import signal
import time
from random import Random

from twisted.internet.error import CannotListenError

from ..decode import address
from ..net.logs import say, warn
from ..net.sockets import Reactor
from ..net.system import System
from ..values import SECOND
from .host import Host
from .replica import Replica
from .store import DiskError, Store
from .writer import NotKeptError, Writer

STATS_INTERVAL = 10 * SECOND
START_ATTEMPTS, START_RETRY_DELAY_S = 20, 0.25


def retry_disk(call):
    """What a call gives that writes or reads the file. Guards against a start that fails because the disk
    does for a moment. Raises BadLine."""
    for attempts_left in reversed(range(START_ATTEMPTS)):
        try:
            return call()
        except (DiskError, NotKeptError) as err:
            if not attempts_left:
                raise
            warn('disk failed at the start', reason=err)
            time.sleep(START_RETRY_DELAY_S)


def make_writer(settings, process, replica):
    """The writer of a process of the file. Raises BadLine."""
    store = retry_disk(lambda: Store(process.folder))
    writer = Writer(
        replica, settings.keys, lambda line: retry_disk(lambda: store.keep(line)), store.lines
    )  # it writes down its epoch
    writer.keep = store.keep
    return writer


def make_host(settings, process, reactor, system=System):
    """The host of one process of the file. Raises BadLine where a writer's file cannot be read."""
    is_writer = process.role == 'writer'
    replica = Replica(process.name, process.name if is_writer else None)
    parents = [(name, address(settings.named(name).address)) for name in process.parents]
    random = Random(os.urandom(8)).random
    # A relay's neighbours below that are relays too are not held to a node's rate.
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
    """A line of counts, again and again."""
    replica = host.replica
    status = host.status()
    say(
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
    """Run one process of the file until SIGTERM; the exit code. Raises BadLine."""
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
        host.listen(*address(process.address))
    except CannotListenError as err:
        warn('cannot listen', reason=err)
        return 1
    host.start()
    log_counts(host)
    say('serves', name=name, role=process.role, address=process.address)
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    say('stopped', **host.counts)
    return 0
