"""Checks that includes between the folders of src/ point down the order of modules."""
import pathlib
import re
import sys

# Lowest first. A module may include itself and the modules before it.
ORDER = ["common", "settings", "chart", "http", "wire", "objectstore", "membership", "table", "prefix",
         "engine", "routing", "admission", "claim", "relay", "node"]
# Modules beside the order and what they may include of it.
BACKENDS = ["common", "http", "backends"]
BESIDE = {"backends": BACKENDS, "weights": BACKENDS, "quarantine": ["common"],
          "gateway": BACKENDS + ["admission", "quarantine"],
          "peers": BACKENDS + ["wire", "membership", "admission", "gateway", "quarantine"],
          "operator_client": ["common", "http"], "sim": ORDER, "standin": ORDER,
          "bench": ORDER + ["sim", "standin", "backends", "weights", "quarantine", "gateway", "peers"]}
INCLUDE = re.compile(r'^\s*#\s*include\s+"([a-z_]+)/')


def allowed_modules(module):
    if module in BESIDE:
        return BESIDE[module] + [module]
    return ORDER[: ORDER.index(module) + 1]


def module_of(path):
    parts = path.parts
    return parts[1] if parts[0] == "src" else parts[0]


def faults_of(path):
    module = module_of(path)
    if module not in ORDER and module not in BESIDE:
        return [f"{path}: module {module} has no place in the order; add it to {__file__}"]
    allowed = allowed_modules(module)
    faults = []
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        match = INCLUDE.match(line)
        if match and match.group(1) not in allowed:
            faults.append(f"{path}:{number}: {module} may not include {match.group(1)}/: "
                          f"{line.strip()}")
    return faults


def main():
    root = pathlib.Path(".")
    files = [path for folder in ("src", "standin") for path in root.glob(folder + "/**/*.*")
             if path.suffix in (".h", ".cpp") and "generated" not in path.parts]
    faults = [fault for path in sorted(files) for fault in faults_of(path)]
    for fault in faults:
        print(fault)
    print(f"layers: {len(files)} files, {len(faults)} includes that point up")
    sys.exit(1 if faults or not files else 0)


if __name__ == "__main__":
    main()
