"""The changes file: which processes pass changes on, and which keys the configuration has.

Owns the form of that file. Whatever is wrong with it is a BadLine that names the key.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..decode import address
from ..values import BadLine
from .messages import Name
from .writer import KeyType


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


class Process(Table):
    """One process that passes changes on. A writer has a folder for its file; a relay has processes above
    it."""

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
    node_rate: Annotated[int, Meta(ge=8, le=10_000)] = 200  # changes a second that a node is sent at the most
    stale_after_s: Annotated[float, Meta(gt=0, le=3_600)] = 10.0

    def named(self, name):
        """The process of this name; a BadLine where there is none."""
        for process in self.process:
            if process.name == name:
                return process
        raise BadLine('process: no %s' % name)

    @property
    def relays(self):
        """Processes that nodes ask."""
        return [process for process in self.process if process.role == 'relay']


def check(settings):
    """What types cannot tell."""
    names = [process.name for process in settings.process]
    if len(set(names)) < len(names):
        raise BadLine('process: a name twice')
    roles = {process.name: process.role for process in settings.process}
    for process in settings.process:
        check_process(process, roles)
    if not any(role == 'writer' for role in roles.values()):
        raise BadLine('process: no writer')
    for process in settings.process:
        check_no_cycle(process.name, settings)
    return settings


def check_process(process, roles):
    """What types cannot tell of one process."""
    where = 'process %s: ' % process.name
    try:
        address(process.address)
    except BadLine as err:
        raise BadLine('%saddress: %s' % (where, err)) from None
    if process.role == 'writer' and (process.above or process.folder is None):
        raise BadLine('%sa writer has a folder and nobody above' % where)
    if process.role == 'relay' and (not process.above or process.folder is not None):
        raise BadLine('%sa relay has somebody above and no folder' % where)
    unknown = [name for name in process.above if name not in roles]
    if unknown:
        raise BadLine('%sabove: no %s' % (where, unknown[0]))


def check_no_cycle(name, settings):
    """Refuse a circle of processes above each other."""
    seen, pending = set(), [name]
    while pending:
        for above in settings.named(pending.pop()).above:
            if above == name:
                raise BadLine('process %s: above: it is above itself' % name)
            if above not in seen:
                seen.add(above)
                pending.append(above)


def read(path):
    """The settings in this file."""
    try:
        with open(path, 'rb') as file:
            settings = msgspec.toml.decode(file.read(), type=Settings)
    except (msgspec.MsgspecError, OSError, ValueError, RecursionError) as err:
        raise BadLine(' '.join(str(err).split())) from None
    return check(settings)


def enabled(settings, installation):
    """Refuse what was not turned on, here and by name: nobody turns it on by accident."""
    if not settings.enabled:
        raise BadLine('enabled: is false')
    if installation != settings.installation:
        raise BadLine(
            'installation: %s here, %s in the page' % (settings.installation, installation or 'none')
        )
    return settings
