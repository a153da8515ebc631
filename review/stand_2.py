"""What the cases of the second review share: a case's processes, its record, and its end.

All addresses are loopback addresses, all ports are free ones, all files but the record lie in a temporary
folder. Times are of the machine's monotonic clock, in seconds since the case began.
"""

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PYTHON = os.path.join(ROOT, '.venv', 'bin', 'python')
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MAX_SECONDS = 115


class CannotRunError(Exception):
    """Raised if the case could not be brought about, so that it says nothing of the rule."""


class Case:
    """One run of a case: a context manager that ends all processes that were started in it."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix='lilacdyke-review-')
        self.record = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')  # noqa: SIM115
        self.started, self.logs = [], []
        self.note('trouble=%d' % TROUBLE)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.started:
            end(process.pid, process)
        for pid in self.commands():
            end(pid)
        for log in self.logs:
            log.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def commands(self):
        """Return the processes that name this case's folder: commands that task holders have started."""
        found = []
        for name in filter(str.isdigit, os.listdir('/proc')):
            try:
                with open('/proc/%s/cmdline' % name, 'rb') as file:
                    if self.folder.encode() in file.read():
                        found.append(int(name))
            except OSError:
                pass
        return found

    def at(self, moment=None):
        """Return a moment of the monotonic clock, by default now, in seconds since the case began."""
        return (time.monotonic() if moment is None else moment) - self.began

    def note(self, text, moment=None):
        """Write one line to the record and to standard output."""
        line = '%8.3f %s' % (self.at(moment), text)
        print(line, file=self.record, flush=True)
        print(line, flush=True)

    def path(self, name):
        """Return the path of a file in the case's temporary folder."""
        return os.path.join(self.folder, name)

    def start(self, name, *words, shell=None, **environment):
        """Start a process in a process group of its own, with its output in a log of the folder.

        shell: a line of the deploy file, for `/bin/sh -c`, instead of the words of a lilacdyke command.
        """
        log = open(self.path(name + '.log'), 'ab')  # noqa: SIM115
        self.logs.append(log)
        command = ['/bin/sh', '-c', shell] if shell else [PYTHON, '-m', 'lilacdyke', *words]
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, 'PYTHONUNBUFFERED': '1', **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        self.started.append(process)
        self.note('started %s, pid %d' % (name, process.pid))
        return process

    def run(self, *words, check=True, seconds=20):
        """Run a lilacdyke command to its end; return its exit code and its output in one string."""
        done = subprocess.run(
            [PYTHON, '-m', 'lilacdyke', *words],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=seconds,
            check=False,
        )
        text = done.stdout.decode(errors='replace').strip()
        self.note('command %s: exit %d: %s' % (' '.join(words[:2]), done.returncode, text))
        if check and done.returncode:
            raise CannotRunError('%s: exit %d' % (' '.join(words), done.returncode))
        return done.returncode, text

    def log_text(self, name):
        """Return what a process has written so far."""
        try:
            with open(self.path(name + '.log'), encoding='utf-8', errors='replace') as file:
                return file.read()
        except FileNotFoundError:
            return ''

    def await_log(self, name, text, seconds, count=1):
        """Wait until a process has written a text so many times."""
        self.until(lambda: self.log_text(name).count(text) >= count, seconds, '%s: %s' % (name, text))

    def until(self, condition, seconds, what):
        """Wait until a condition holds, and return its value."""
        last = time.monotonic() + seconds
        while not (value := condition()):
            if time.monotonic() > last:
                raise CannotRunError('not within %g s: %s' % (seconds, what))
            if self.at() > MAX_SECONDS:
                raise CannotRunError('the case ran for too long')
            time.sleep(0.02)
        return value


def end(pid, process=None):
    """Kill a process that this case started, and its process group."""
    for kill in (os.killpg, os.kill):
        try:
            kill(pid, signal.SIGCONT)
            kill(pid, signal.SIGKILL)
        except (ProcessLookupError, PermissionError):
            pass
    if process is not None:
        process.wait()


def free_ports(count):
    """Return ports of 127.0.0.1 that are free now, below those that the system gives to connections."""
    found = []
    while len(found) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def main(folder, play):
    """Run a case and exit with its code. play(case) returns whether the rule was broken."""
    code = CANNOT_RUN
    try:
        with Case(os.path.dirname(os.path.abspath(folder))) as case:
            try:
                broken = play(case)
                case.note('rule broken' if broken else 'rule held')
                code = BROKEN if broken else HELD
            except CannotRunError as err:
                case.note('cannot run: %s' % err)
                for process in {os.path.basename(log.name) for log in case.logs}:
                    case.note('log of %s:\n%s' % (process, case.log_text(process[:-4])[-3000:]))
    except Exception:
        traceback.print_exc()
    sys.exit(code)
