"""What tests of a failing machine stand on: the very program over a shim beneath its libraries."""

import os

from lilacdyke.trial.shim import Board

from .crossings import Crossing


class OnFaultyMachine(Crossing):
    """One node as a process whose machine fails as its board says."""

    def prepare(self):
        self.board = Board(os.path.join(self.folder.name, 'board'))
        self.addCleanup(self.board.close)
        super().prepare()

    def program(self):
        return ['lilacdyke.trial.shim', self.board.path]
