"""What a voter keeps beyond its own life: a bound on the numbers that it has noted, and who the voters were.

Owns one small file. Must never lose what it said was kept, nor take a file that it cannot read for an empty
one.
"""

import json
import os

from ..values import BadLine

VERSION = 1


class BookUnreadableError(BadLine):
    """The file cannot be read now, which says nothing of what is in it."""


class Book:
    """One voter's file: {version, bound, voters, lease}. lease: the longest that it may have promised, ticks.
    A change is written beside it, forced to the disk, and put in its place by one call to the system."""

    def __init__(self, folder, name):
        self.folder, self.path = folder, os.path.join(folder, name + '.numbers')
        self.bound, self.voters, self.lease = None, None, 0

    def read(self):
        """What was kept last. A BadLine says why there is nothing to go by: the voter must not vote."""
        try:
            with open(self.path, encoding='utf-8') as file:
                told = json.load(file)
            version, bound, voters, lease = told['version'], told['bound'], told['voters'], told['lease']
            if (
                version != VERSION
                or type(bound) is not int
                or bound < 0
                or type(lease) is not int
                or lease < 0
                or not all(type(name) is str for name in voters)
            ):
                raise ValueError('no book of version %d' % VERSION)
        except FileNotFoundError:
            raise BadLine('%s: there is none: lilacdyke task voter makes one' % self.path) from None
        except OSError as err:
            raise BookUnreadableError('%s: %s' % (self.path, err.strerror)) from None
        except (ValueError, KeyError, TypeError) as err:
            raise BadLine('%s: %s' % (self.path, ' '.join(str(err).split()) or type(err).__name__)) from None
        self.bound, self.voters, self.lease = bound, list(voters), lease
        return self

    def write(self, bound, voters, lease):
        """Keep this from now on, also through a crash of the machine. An OSError: it is not kept."""
        new = self.path + '.new'
        with open(new, 'w', encoding='utf-8') as file:
            json.dump({'version': VERSION, 'bound': bound, 'voters': voters, 'lease': lease}, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.path)
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.bound, self.voters, self.lease = bound, list(voters), lease


def step(before, after):
    """Whether any majority of the one and any of the other have a voter in common, whoever goes by which: one
    voter more, or one less, at a time."""
    return len(set(before) ^ set(after)) <= 1
