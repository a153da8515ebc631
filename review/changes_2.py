"""For the cases on changes: a changes file, its processes, and what they say."""

import re
import signal

from stand_2 import CannotRunError, free_ports

CHANGES = """enabled = true
installation = "review"
node_rate = 200
stale_after_s = 10.0

[[process]]
name = "w0"
role = "writer"
address = "127.0.0.1:%d"
folder = "%s"

%s[keys]
"limit.reads" = "number"
banner = "text"
maintenance = "flag"
"""


RELAY = """[[process]]
name = "%s"
role = "relay"
address = "127.0.0.1:%d"
above = ["w0"]

"""


def write_changes(case, relays=('r0',)):
    """Write a changes file with a writer and relays; return its path."""
    port, *ports = free_ports(1 + len(relays))
    path = case.path('changes.toml')
    with open(path, 'w', encoding='utf-8') as file:
        rows = ''.join(RELAY % row for row in zip(relays, ports, strict=True))
        file.write(CHANGES % (port, case.folder, rows))
    return path


def start_process(case, path, name):
    """Start a writer or a relay and wait until it serves."""
    count = case.log_text(name).count('event=serves')
    process = case.start(name, 'change', 'run', '--file', path, '--name', name)
    case.await_log(name, 'event=serves', 20, count + 1)
    return process


def restart(case, process, path, name):
    """End a process with SIGTERM and start it again."""
    process.send_signal(signal.SIGTERM)
    process.wait()
    case.note('%s ended: exit %d' % (name, process.returncode))
    return start_process(case, path, name)


def put(case, path, *words):
    """Put a change; return its position (epoch, sequence)."""
    _, text = case.run('change', 'put', '--file', path, *words)
    found = re.search(r'epoch (\d+), sequence (\d+)', text)
    if not found:
        raise CannotRunError('no position: %s' % text)
    return int(found[1]), int(found[2])


def listed(case, path):
    """Return the configuration in force at the writer."""
    _, text = case.run('change', 'list', '--file', path)
    return dict(line.split('=', 1) for line in text.splitlines())
