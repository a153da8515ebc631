"""Base class for tests that run the program with injected system call failures."""

import os

from lilacdyke.trial.shim import Board

from .crossings import Crossing


class OnFaultyMachine(Crossing):
    """A node process whose system calls fail as its board prescribes."""

    def prepare(self):
        self.board = Board(os.path.join(self.folder.name, 'board'))
        self.addCleanup(self.board.close)
        super().prepare()

    def program(self):
        return ['lilacdyke.trial.shim', self.board.path]
