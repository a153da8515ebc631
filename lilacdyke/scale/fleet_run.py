"""A scale run: a writer, two levels of relays and thousands of hollow nodes as processes on loopback, under a
steady load of changes.

The run starts and stops its own processes, ends after the given time, and sends to this machine only.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from statistics import median
from typing import NamedTuple

import tomli_w

from ..changes.cli import read_frame
from ..changes.messages import Item, PutAnswer, PutRequest, pack, unpack
from .page import KILLED_SUFFIX
from .rows import Row, machine

NODES_PER_PROCESS = 250
TOP_RELAYS = 2
PURGE_RATE, CONFIGURATION_RATE = 55.0, 10 * 5_300 / 86_400  # per second
SETTLE_S, DRAIN_S = 4.0, 6.0  # before the load and after it
RELAY_DOWN_S = 3.0
PROGRAM = (sys.executable, '-m', 'lilacdyke')


class RunOptions(NamedTuple):
    """Options of a run."""

    nodes: int
    relays: int  # of the lower level, which nodes dial
    seconds: float
    kill_relay: bool


def free_ports(count):
    """Return ports on which nothing listens at present."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def write_changes_file(folder, relays):
    """Write the changes files of a run. Return their paths, the writer's address and the relays by level."""
    top = ['t%d' % number for number in range(TOP_RELAYS)]
    lower = ['r%d' % number for number in range(relays)]
    ports = iter(free_ports(1 + len(top) + len(lower)))
    rows = [{'name': 'w0', 'role': 'writer', 'folder': folder}]
    rows += [{'name': name, 'role': 'relay', 'above': ['w0']} for name in top]
    for number, name in enumerate(lower):
        turn = number % len(top)
        rows.append({'name': name, 'role': 'relay', 'above': top[turn:] + top[:turn]})
    for row in rows:
        row['address'] = '127.0.0.1:%d' % next(ports)
    content = {'enabled': True, 'installation': 'scale', 'process': rows, 'keys': {'limit': 'number'}}
    path = os.path.join(folder, 'changes.toml')
    with open(path, 'wb') as file:
        tomli_w.dump(content, file)
    # Nodes dial any relay in their file, so theirs lists only the lower level.
    node_path = os.path.join(folder, 'nodes.toml')
    nodes_rows = [rows[0], *({**row, 'above': ['w0']} for row in rows if row['name'] in lower)]
    with open(node_path, 'wb') as file:
        tomli_w.dump({**content, 'process': nodes_rows}, file)
    return path, node_path, rows[0]['address'], top, lower


def cpu_seconds(pid):
    """Return the processor seconds that a process has used."""
    with open('/proc/%d/stat' % pid, encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def peak_memory_mb(pid):
    """Return the peak memory of a process in MB."""
    with open('/proc/%d/status' % pid, encoding='ascii') as file:
        return next(int(row.split()[1]) for row in file if row.startswith('VmHWM')) / 1_024


class FleetRun:
    """The processes of one run."""

    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.path, self.node_path, self.writer_address, self.top, self.lower = write_changes_file(
            folder, options.relays
        )
        self.processes, self.result_paths = {}, []

    def start(self, name):
        """Start a writer or a relay."""
        command = (*PROGRAM, 'change', 'run', '--file', self.path, '--name', name, '--log-level', 'error')
        self.processes[name] = subprocess.Popen(command, stderr=subprocess.DEVNULL)

    def start_all(self):
        """Start all processes, the writer first."""
        for name in ('w0', *self.top, *self.lower):
            self.start(name)
        time.sleep(1.0)
        for first in range(0, self.options.nodes, NODES_PER_PROCESS):
            out = os.path.join(self.folder, 'seen-%d.json' % first)
            self.result_paths.append(out)
            count = min(NODES_PER_PROCESS, self.options.nodes - first)
            seconds = SETTLE_S + self.options.seconds + DRAIN_S
            command = (sys.executable, '-m', 'lilacdyke.scale.hollow', '--file', self.node_path, '--out', out)
            sizes = ('--count', str(count), '--first', str(first), '--seconds', str(seconds))
            self.processes['hollow-%d' % first] = subprocess.Popen(command + sizes, stderr=subprocess.DEVNULL)

    def stop_all(self):
        """Kill the processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def load(self):
        """Put changes at their rates. Return how many of each kind."""
        host, _, port = self.writer_address.rpartition(':')
        started, counts = time.monotonic(), {'purge': 0, 'config': 0}
        rates = {'purge': PURGE_RATE, 'config': CONFIGURATION_RATE}
        killed_at = restarted_at = None
        with socket.create_connection((host, int(port)), 5) as connection:
            while (now := time.monotonic() - started) < self.options.seconds:
                if self.options.kill_relay and killed_at is None and now > self.options.seconds / 2:
                    self.processes['r0'].send_signal(signal.SIGKILL)
                    self.processes['r0'].wait()
                    killed_at = now
                if killed_at is not None and restarted_at is None and now > killed_at + RELAY_DOWN_S:
                    self.start('r0')
                    restarted_at = now
                for kind, rate in rates.items():
                    if counts[kind] < now * rate:
                        self.put(connection, kind, counts[kind])
                        counts[kind] += 1
                time.sleep(0.002)
        return counts

    @staticmethod
    def put(connection, kind, number):
        """Put one change."""
        item = Item('limit', str(number)) if kind == 'config' else Item('object-%d' % number)
        connection.sendall(pack(PutRequest(kind, [item])))
        answer = unpack(read_frame(connection), PutAnswer)
        if answer.position is None:
            raise RuntimeError(answer.refused)

    def execute(self):
        """Execute the whole run and return its figures."""
        try:
            self.start_all()
            time.sleep(SETTLE_S)
            before = {name: cpu_seconds(process.pid) for name, process in self.processes.items()}
            counts = self.load()
            # A restarted relay counts from zero.
            cpu = {
                name: cpu_seconds(process.pid)
                - (0 if name == 'r0' and self.options.kill_relay else before[name])
                for name, process in self.processes.items()
            }
            memory = {name: peak_memory_mb(process.pid) for name, process in self.processes.items()}
            for name, process in self.processes.items():
                if name.startswith('hollow'):
                    process.wait(SETTLE_S + DRAIN_S + 30)
            return self.compute_figures(counts, cpu, memory)
        finally:
            self.stop_all()

    def compute_figures(self, counts, cpu, memory):
        """Return (value, unit) by name of figure."""
        results = []
        for out in self.result_paths:
            with open(out, encoding='utf-8') as file:
                results.append(json.load(file))
        latest, counted = {}, {}
        for part in results:
            for key, latency in part['latest'].items():
                latest[key] = max(latest.get(key, 0), latency)
                counted[key] = counted.get(key, 0) + part['counted'][key]
        nodes, seconds = self.options.nodes, self.options.seconds
        found = {}
        for kind in ('purge', 'config'):
            times = sorted(latency for key, latency in latest.items() if key.startswith(kind))
            found['%s-everywhere-median' % kind] = (median(times), 'ms')
            found['%s-everywhere-p99' % kind] = (times[min(len(times) - 1, int(len(times) * 0.99))], 'ms')
            found['%s-everywhere-most' % kind] = (times[-1], 'ms')
        received_by_all = sum(counted[key] == nodes for key in latest)
        found['changes-put'] = (sum(counts.values()), '')
        found['changes-one-by-one-at-all'] = (received_by_all, '')
        found['snapshots-taken'] = (sum(part['snapshots'] for part in results), '')
        found['nodes-at-the-end'] = (
            sum(part['nodes'] for part in results if len(part['positions']) == 1),
            '',
        )
        total_s = sum(part['seconds'] * part['nodes'] for part in results)
        found['node-bytes-in'] = (sum(part['bytes_in'] for part in results) / total_s, 'B/s')
        found['node-bytes-out'] = (sum(part['bytes_out'] for part in results) / total_s, 'B/s')
        hollow_cpu = sum(cpu[name] for name in cpu if name.startswith('hollow'))
        found['node-core'] = (100 * hollow_cpu / seconds / nodes, '% of a core')
        found['relay-core'] = (100 * max(cpu[name] for name in self.lower) / seconds, '% of a core')
        found['top-relay-core'] = (100 * max(cpu[name] for name in self.top) / seconds, '% of a core')
        found['writer-core'] = (100 * cpu['w0'] / seconds, '% of a core')
        found['relay-memory'] = (max(memory[name] for name in self.lower), 'MB')
        found['writer-memory'] = (memory['w0'], 'MB')
        return found


def to_rows(options, found):
    """Return the figures of a run as rows."""
    command = 'lilacdyke scale run --nodes %d --relays %d --seconds %g' % options[:3]
    command += ' --kill-relay' * options.kill_relay
    suffix = KILLED_SUFFIX if options.kill_relay else ''
    return [
        Row(name + suffix, options.nodes, unit, [round(float(value), 4)], command, 0, machine())
        for name, (value, unit) in found.items()
    ]


def run(options):
    """Execute one run and return its rows."""
    with tempfile.TemporaryDirectory() as folder:
        return to_rows(options, FleetRun(options, folder).execute())
