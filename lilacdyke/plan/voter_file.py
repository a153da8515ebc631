"""The state that a voter persists: an upper bound on the lease numbers it recorded, and the voters.

A write that succeeded survives a crash, and an unreadable file is never treated as an empty one.
"""

import json
import os

from ..values import InvalidValueError

VERSION = 1


class VoterFileUnreadableError(InvalidValueError):
    """The file cannot be read now, because of an I/O error rather than its contents."""


class VoterFile:
    """One voter's file: {version, bound, voters, lease}. lease: the longest it may have promised, in ticks.

    A new version is written to a temporary file, synced, and renamed into place.
    """

    def __init__(self, folder, name):
        self.folder, self.path = folder, os.path.join(folder, name + '.numbers')
        self.bound, self.voters, self.lease = None, None, 0

    def read(self):
        """Load the file and return self. Raise InvalidValueError if it is missing or invalid: then the voter
        must not vote."""
        try:
            with open(self.path, encoding='utf-8') as file:
                content = json.load(file)
            version, bound, voters, lease = (
                content['version'],
                content['bound'],
                content['voters'],
                content['lease'],
            )
            if (
                version != VERSION
                or type(bound) is not int
                or bound < 0
                or type(lease) is not int
                or lease < 0
                or not all(type(name) is str for name in voters)
            ):
                raise ValueError('not a voter file of version %d' % VERSION)
        except FileNotFoundError:
            raise InvalidValueError(
                '%s: does not exist; create it with lilacdyke task voter' % self.path
            ) from None
        except OSError as err:
            raise VoterFileUnreadableError('%s: %s' % (self.path, err.strerror)) from None
        except (ValueError, KeyError, TypeError) as err:
            raise InvalidValueError(
                '%s: %s' % (self.path, ' '.join(str(err).split()) or type(err).__name__)
            ) from None
        self.bound, self.voters, self.lease = bound, list(voters), lease
        return self

    def write(self, bound, voters, lease):
        """Store this durably, so that it survives a crash of the machine. Raise OSError if that fails."""
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
    """Return whether two lists of voters differ by at most one voter, so that any majority of one shares a
    voter with any majority of the other."""
    return len(set(before) ^ set(after)) <= 1
