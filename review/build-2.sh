#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the gateway of the deploy file: nothing. Their stand-ins, those
# of test/platform_soak among them, are Python programs; they are compiled here only to see that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
names = [*pathlib.Path("review/common-2").glob("*.py"), *pathlib.Path("test/platform_soak").glob("*.py")]
names += [path for number in range(6, 11) for path in pathlib.Path(f"review/{number}").glob("*.py")]
for path in names:
    compile(path.read_text(), str(path), "exec")
print(f"{len(names)} files can be read")
END
