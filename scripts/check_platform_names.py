"""Checks that no folder of the product holds a name of the users' platform.

The names are the quoted texts of platform/names.h that are special enough to be told from other
words: headers, paths and fields with a dash or a slash.
"""
import pathlib
import re
import sys

FOLDERS = ("src", "programs", "standin")
# Names that the product's own interface, or HTTP itself, uses as well.
SHARED = {"X-Request-Id", "X-Tenant", "Retry-After"}
QUOTED = re.compile(r'"([^"\\]+)"')


def platform_names(root):
    text = (root / "platform" / "names.h").read_text()
    return sorted(name for name in set(QUOTED.findall(text)) - SHARED
                  if ("-" in name or "/" in name) and not name.endswith(".h"))


def main():
    root = pathlib.Path(".")
    names = platform_names(root)
    faults = []
    for folder in FOLDERS:
        for path in sorted((root / folder).glob("**/*")):
            if path.suffix not in (".h", ".cpp") or "generated" in path.parts:
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                faults += [f"{path}:{number}: the platform's name {name} belongs in platform/"
                           for name in names if name in line]
    for fault in faults:
        print(fault)
    print(f"platform names: {len(names)} names, {len(faults)} uses outside platform/")
    sys.exit(1 if faults or not names else 0)


if __name__ == "__main__":
    main()
