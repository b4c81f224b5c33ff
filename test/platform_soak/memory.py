"""Reads the memory use of a process from /proc."""

LOOK_SECONDS = 0.1
KILOBYTE = 1024


def peak_bytes(pid):
    """Returns the peak resident memory of a process in bytes (VmHWM); 0 if it has exited."""
    try:
        with open(f"/proc/{pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * KILOBYTE
    except (FileNotFoundError, ProcessLookupError):
        pass
    return 0  # A zombie process has no VmHWM line.
