#!/usr/bin/env python3
"""Holds processes to a share of one core each, in the manner of the kernel's bandwidth control: a process that has
used its share of a period is stopped until the next one (SIGSTOP, SIGCONT). Needs no privileges and leaves the limits
of the machine as they are. Ends when its standard input is closed, and lets all processes go on then.

usage: cpu_quota.py SHARE PID...
"""
import os
import select
import signal
import sys
import time

PERIOD_SECONDS, LOOK_SECONDS = 0.1, 0.002
CPU_CLOCK_OF_PROCESS = 2  # CPUCLOCK_SCHED: the running time of all threads.


def used_seconds(pid):
    """Returns the processor time of all threads of a process so far. Raises OSError if it has exited."""
    return time.clock_gettime((~pid << 3) | CPU_CLOCK_OF_PROCESS)


class Held:
    """One process and the processor time that it may still use."""

    def __init__(self, pid, share):
        self.pid, self.share = pid, share
        self.left, self.used, self.is_stopped = share * PERIOD_SECONDS, used_seconds(pid), False

    def begin_period(self):
        """A process that used more than its share between two looks pays for it in the next periods."""
        self.left = min(self.left, 0) + self.share * PERIOD_SECONDS
        if self.is_stopped and self.left > 0:
            os.kill(self.pid, signal.SIGCONT)
            self.is_stopped = False

    def look(self):
        used = used_seconds(self.pid)
        self.left -= used - self.used
        self.used = used
        if self.left <= 0 and not self.is_stopped:
            os.kill(self.pid, signal.SIGSTOP)
            self.is_stopped = True

    def let_go(self):
        if self.is_stopped:
            os.kill(self.pid, signal.SIGCONT)


def hold(processes):
    next_period = time.monotonic() + PERIOD_SECONDS
    while not select.select([sys.stdin], [], [], LOOK_SECONDS)[0]:
        if time.monotonic() >= next_period:
            next_period += PERIOD_SECONDS
            for each in processes:
                each.begin_period()
        for each in processes:
            each.look()


def main():
    processes = [Held(int(pid), float(sys.argv[1])) for pid in sys.argv[2:]]
    try:
        hold(processes)
    except OSError:
        pass  # A process has exited: the test is over.
    for each in processes:
        try:
            each.let_go()
        except OSError:
            pass


if __name__ == "__main__":
    main()
