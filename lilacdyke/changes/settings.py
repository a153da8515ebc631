"""The changes file: the processes that distribute changes, and the keys of the configuration.

Every error in the file is an InvalidValueError that names the key.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..decode import parse_address
from ..values import InvalidValueError
from .messages import Name
from .writer import KeyType


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables of the file."""


class Process(Table):
    """A process that distributes changes. A writer has a folder for its file; a relay has parents (above)."""

    name: Name
    address: str
    role: Literal['writer', 'relay']
    above: list[Name] = []
    folder: Annotated[str, Meta(min_length=1)] | None = None


class Settings(Table):
    """The whole file."""

    enabled: bool
    installation: Name
    process: Annotated[list[Process], Meta(min_length=1, max_length=4_096)]
    keys: dict[Name, KeyType] = {}
    node_rate: Annotated[int, Meta(ge=8, le=10_000)] = 200  # maximum changes per second sent to a node
    stale_after_s: Annotated[float, Meta(gt=0, le=3_600)] = 10.0

    def named(self, name):
        """Return the process with this name. Raise InvalidValueError if there is none."""
        for process in self.process:
            if process.name == name:
                return process
        raise InvalidValueError('process: no %s' % name)

    @property
    def relays(self):
        """The relays, which nodes dial."""
        return [process for process in self.process if process.role == 'relay']


def check(settings):
    """Check what the types cannot express, and return the settings. Raise InvalidValueError if they are
    invalid."""
    names = [process.name for process in settings.process]
    if len(set(names)) < len(names):
        raise InvalidValueError('process: a name twice')
    roles = {process.name: process.role for process in settings.process}
    for process in settings.process:
        check_process(process, roles)
    if not any(role == 'writer' for role in roles.values()):
        raise InvalidValueError('process: no writer')
    for process in settings.process:
        check_no_cycle(process.name, settings)
    return settings


def check_process(process, roles):
    """Check one process. Raise InvalidValueError if it is invalid."""
    where = 'process %s: ' % process.name
    try:
        parse_address(process.address)
    except InvalidValueError as err:
        raise InvalidValueError('%saddress: %s' % (where, err)) from None
    if process.role == 'writer' and (process.above or process.folder is None):
        raise InvalidValueError('%sa writer requires folder and must not have above' % where)
    if process.role == 'relay' and (not process.above or process.folder is not None):
        raise InvalidValueError('%sa relay requires above and must not have folder' % where)
    unknown = [name for name in process.above if name not in roles]
    if unknown:
        raise InvalidValueError('%sabove: no %s' % (where, unknown[0]))


def check_no_cycle(name, settings):
    """Raise InvalidValueError if this process is among its own ancestors."""
    seen, pending = set(), [name]
    while pending:
        for above in settings.named(pending.pop()).above:
            if above == name:
                raise InvalidValueError('process %s: above: it is above itself' % name)
            if above not in seen:
                seen.add(above)
                pending.append(above)


def read(path):
    """Return the settings in this file. Raise InvalidValueError if it cannot be read or is invalid."""
    try:
        with open(path, 'rb') as file:
            settings = msgspec.toml.decode(file.read(), type=Settings)
    except (msgspec.MsgspecError, OSError, ValueError, RecursionError) as err:
        raise InvalidValueError(' '.join(str(err).split())) from None
    return check(settings)


def require_enabled(settings, installation):
    """Return the settings if they are enabled for this installation, else raise InvalidValueError."""
    if not settings.enabled:
        raise InvalidValueError('enabled: is false')
    if installation != settings.installation:
        raise InvalidValueError(
            'installation: %s here, %s in the page' % (settings.installation, installation or 'none')
        )
    return settings
