"""Memory of a process as seen from outside."""

LOOK_SECONDS = 0.1
KILOBYTE = 1024


def peak_bytes(pid):
    """Returns the most resident memory that a process had so far (VmHWM); 0 where it has ended."""
    try:
        with open(f"/proc/{pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * KILOBYTE
    except (FileNotFoundError, ProcessLookupError):
        pass
    return 0  # A process that has ended but was not waited for tells no memory.
