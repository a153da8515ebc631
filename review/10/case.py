"""The writer is restarted; its status must not say that all have a change which relays do not have yet."""

import re
import signal
import time

from changes_2 import put, start_process, write_changes
from stand_2 import TROUBLE, CannotRunError, main

RELAYS = ('r0', 'r1', 'r2')
DOWN_SECONDS = 8.0
LINE = re.compile(r'(\w+): w0 at (\d+)\.(\d+), .*, complete below to (\d+)\.(\d+), (\d+) below, behind: (.*)')


def status(case, path, name):
    """Return what the status of a process says: its position, the complete one, and who is behind."""
    asked = time.monotonic()
    _, text = case.run('change', 'status', '--file', path, '--name', name)
    found = LINE.search(text)
    if not found:
        return asked, (0, 0), (0, 0), ''
    at, complete = (int(found[2]), int(found[3])), (int(found[4]), int(found[5]))
    return asked, at, complete, found[7]


def play(case):
    path = write_changes(case, RELAYS)
    writer = start_process(case, path, 'w0')
    for name in RELAYS:
        start_process(case, path, name)
        case.await_log(name, 'event=linked above=w0', 10)
    put(case, path, 'purge', 'object-1')
    time.sleep(3)
    if status(case, path, 'w0')[1:3] != ((1, 1), (1, 1)):
        raise CannotRunError('the first change is not everywhere')
    if TROUBLE:
        writer.send_signal(signal.SIGTERM)
        writer.wait()
        case.note('w0 ended: exit %d' % writer.returncode)
        time.sleep(DOWN_SECONDS)
        start_process(case, path, 'w0')
    position = put(case, path, 'purge', 'object-17')
    for _ in range(5):
        _, _, complete, behind = status(case, path, 'w0')
        # Asked after that: positions never go back, so a relay that lacks the change now lacked it before.
        lacking = [name for name in RELAYS if status(case, path, name)[1] < position]
        case.note('w0 says complete to %s, behind: %s; lacking: %s' % (complete, behind, lacking))
        if lacking and (complete >= position or set(lacking) - set(behind.split(', '))):
            return True
    return False


main(__file__, play)
