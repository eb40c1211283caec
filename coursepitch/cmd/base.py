"""What commands share: errors in one line and exit codes."""

from __future__ import annotations

import traceback

from cleo.commands.command import Command

from coursepitch.errors import CoursepitchError

__all__ = ['BaseCommand']


class BaseCommand(Command):
    """Base of all commands: errors become one line and an exit code."""

    def handle(self) -> int:
        """Run the command; print a traceback only when asked for more output."""
        try:
            return self.work()
        except CoursepitchError as error:
            for line in str(error).splitlines():
                self.line_error(f'{error.category}: {line}')
            if self.io.is_verbose():
                self.line_error(traceback.format_exc())
            return error.exit_code

    def work(self) -> int:
        """Do what the command does and return its exit code."""
        raise CoursepitchError(f'{self.name} does nothing')

    def print_raw(self, text: str) -> None:
        """Print text in which brackets have no meaning."""
        self.io.output.stream.write(text + '\n')
        self.io.output.stream.flush()
