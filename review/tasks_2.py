"""For the cases on tasks: three voters, holders, and a command that writes down when it runs."""

import json
import os
import signal
import time

from stand_2 import PYTHON, free_ports

JOB = os.path.join(os.path.dirname(os.path.abspath(__file__)), 'job_2.py')
FLEET = """enabled = true
installation = "review"
seats = 2

%s
[tasks]
folder = "%s"
lease_s = %g
voters = [%s]
"""
PLANNER = """[[planner]]
name = "%s"
address = "127.0.0.1:%d"

"""
VOTERS = ('p0', 'p1', 'p2')


def write_fleet(case, name, ports, lease, voters=VOTERS):
    """Write a fleet file and return its path. ports: by planner."""
    path = case.path(name)
    with open(path, 'w', encoding='utf-8') as file:
        rows = ''.join(PLANNER % row for row in ports.items())
        file.write(FLEET % (rows, case.folder, lease, ', '.join('"%s"' % voter for voter in voters)))
    return path


def start_voter(case, path, name):
    """Start a planner, which votes 1.3 leases after its start."""
    return case.start(name, 'plan', '--file', path, '--name', name)


def start_fleet(case, lease, planners=VOTERS):
    """Create the files of three voters and start them; return the fleet file, ports and processes by name.

    planners: all that the file names.
    """
    ports = dict(zip(planners, free_ports(len(planners)), strict=True))
    path = write_fleet(case, 'fleet.toml', ports, lease)
    for name in VOTERS:
        case.run('task', 'voter', '--file', path, '--name', name)
    return path, ports, {name: start_voter(case, path, name) for name in VOTERS}


def restart_voter(case, path, processes, name, lease):
    """End a planner with SIGTERM, start it again, and wait until it votes."""
    processes[name].send_signal(signal.SIGTERM)
    processes[name].wait()
    add_voter(case, path, processes, name, lease)


def add_voter(case, path, processes, name, lease):
    """Start a planner and wait until it votes, 1.3 leases after its start."""
    count = case.log_text(name).count('planner serves')
    processes[name] = start_voter(case, path, name)
    case.await_log(name, 'planner serves', 10, count + 1)
    time.sleep(1.3 * lease)
    case.note('%s votes' % name)


def start_holder(case, path, name, *command):
    """Start `task hold` for the task `nightly`."""
    return case.start(name, 'task', 'hold', '--file', path, 'nightly', '--', *command)


def job(case, name, seconds):
    """Return the command that runs for so long and writes to NAME.ran when it runs."""
    return [PYTHON, JOB, case.path(name + '.ran'), '%g' % seconds]


def ran(case, name):
    """Return the moments at which a holder's job ran, as it wrote them."""
    try:
        with open(case.path(name + '.ran'), encoding='utf-8') as file:
            rows = [json.loads(line) for line in file if line.endswith('\n')]
    except FileNotFoundError:
        return []
    return [row['at'] for row in rows]


def overlap(case, first, second, least=0.1):
    """Note when two holders' jobs ran; return whether both ran during the same `least` seconds or longer."""
    spans = {}
    for name in (first, second):
        moments = ran(case, name)
        if not moments:
            case.note('%s: its command never ran' % name)
            return False
        spans[name] = moments[0], moments[-1]
        case.note('%s: its command ran from %.3f to %.3f' % (name, case.at(moments[0]), case.at(moments[-1])))
    both = min(spans[first][1], spans[second][1]) - max(spans[first][0], spans[second][0])
    case.note('both ran for %.3f s' % max(0, both))
    return both >= least
