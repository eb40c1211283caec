"""Resource limits of a process, as those of a small machine.

    python -m standins.limits MEMORY_MB DESCRIPTORS ARGUMENT...

runs ``coursepitch`` with the arguments.  The kernel does not enforce the limit on
resident memory (RLIMIT_RSS); it only tells the program what the machine has.
"""

from __future__ import annotations

import resource
import runpy
import sys

__all__ = ['MIB']

MIB = 1_048_576


def main() -> None:
    """Run the program under limits."""
    _, memory_mb, descriptors, *arguments = sys.argv
    memory = int(memory_mb) * MIB
    resource.setrlimit(resource.RLIMIT_RSS, (memory, memory))
    count = int(descriptors)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
    sys.argv = ['coursepitch', *arguments]
    runpy.run_module('coursepitch', run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
