"""Runs clang-format, clang-tidy and check_layers over the project's own files.

clang-tidy's clean results are kept in BUILD/lint-cache by a hash of the file, of all the project's
headers that it includes, of the checks and of the compile command, so that a second run only looks
at what changed.
"""
import argparse
import concurrent.futures
import hashlib
import json
import pathlib
import re
import subprocess
import sys

FOLDERS = ("src", "standin", "programs", "platform", "test")
INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)
TIDY_TIMEOUT_SECONDS = 300


def own_files(root, suffixes):
    return sorted(path for folder in FOLDERS for path in (root / folder).glob("**/*")
                  if path.suffix in suffixes and "generated" not in path.parts)


def check_format(files):
    """Returns the number of files whose format differs."""
    command = ["clang-format", "--dry-run", "-Werror", "--ferror-limit=1"]
    result = subprocess.run(command + [str(path) for path in files], capture_output=True, text=True)
    faults = [line for line in result.stderr.splitlines() if "error:" in line]
    for line in faults:
        print(line)
    if result.returncode != 0 and not faults:
        print(result.stderr)
        return 1
    return len(faults)


class HeaderClosure:
    """Finds the project's own headers that a file includes, directly or not."""

    def __init__(self, root):
        self.root = root
        self.text = {}

    def read(self, path):
        if path not in self.text:
            self.text[path] = path.read_text(errors="replace")
        return self.text[path]

    def resolve(self, including, name):
        places = (self.root / "src", self.root, self.root / "src" / "generated", including.parent)
        return next((place / name for place in places if (place / name).is_file()), None)

    def of(self, path):
        found, waiting = {path}, [path]
        while waiting:
            current = waiting.pop()
            for name in INCLUDE.findall(self.read(current)):
                header = self.resolve(current, name)
                if header and header not in found:
                    found.add(header)
                    waiting.append(header)
        return sorted(found)


def fingerprint(closure, path, command, checks):
    digest = hashlib.sha256(checks + command.encode())
    for part in closure.of(path):
        digest.update(closure.read(part).encode())
    return digest.hexdigest()


def tidy(build, path):
    """Returns the findings of clang-tidy in one file, or None where there is none."""
    command = ["clang-tidy", "--quiet", "-p", str(build), str(path)]
    try:
        result = subprocess.run(command, capture_output=True, text=True,
                                timeout=TIDY_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        return f"{path}: clang-tidy timed out"
    if result.returncode == 0:
        return None
    return result.stdout.strip() or result.stderr.strip()


def check_tidy(root, build, jobs):
    """Returns the number of files with findings."""
    commands = {pathlib.Path(entry["file"]).resolve(): entry["command"]
                for entry in json.loads((build / "compile_commands.json").read_text())}
    cache = build / "lint-cache"
    cache.mkdir(exist_ok=True)
    checks = (root / ".clang-tidy").read_bytes()
    closure = HeaderClosure(root)
    stale = {}
    for path in own_files(root, (".cpp",)):
        if path not in commands:
            print(f"{path}: not in compile_commands.json; build first")
            return 1
        mark = cache / fingerprint(closure, path, commands[path], checks)
        if not mark.exists():
            stale[path] = mark
    faults = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for path, findings in zip(stale, pool.map(lambda each: tidy(build, each), stale)):
            if findings is None:
                stale[path].touch()
                continue
            faults += 1
            print(findings, flush=True)
    print(f"clang-tidy: {len(stale)} files checked, {faults} with findings")
    return faults


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--jobs", type=int, required=True)
    arguments = parser.parse_args()
    root = pathlib.Path(".").resolve()
    files = own_files(root, (".cpp", ".h"))
    format_faults = check_format(files)
    print(f"clang-format: {len(files)} files checked, {format_faults} with another format")
    layers = subprocess.run(["scripts/check_layers.sh"]).returncode
    names = subprocess.run(["python3", "scripts/check_platform_names.py"]).returncode
    tidy_faults = check_tidy(root, arguments.build.resolve(), arguments.jobs)
    sys.exit(1 if format_faults or layers or names or tidy_faults else 0)


if __name__ == "__main__":
    main()
