"""Draws the state charts of charts/ as Mermaid diagrams in docs/STATE-CHARTS.md.

With --check nothing is written; the exit status tells whether the page is current.
"""
import argparse
import pathlib
import re
import sys
import xml.etree.ElementTree as ElementTree

NAMESPACE = "{http://www.w3.org/2005/07/scxml}"
INTRODUCTION = """# State charts

Life cycles stated in the files of `charts/`, which are compiled into the program and checked when
they are loaded (`src/chart/`). `test/process/spec_charts.sh` compares them with the models of
`spec/`. The charts `engine` and `table_change` are compared only: `src/engine/` and `src/table/`
do not interpret them yet. This page is written by `scripts/draw_charts.py`; change the charts and
run it again.
"""


def description(text):
    """Returns the sentences of the comment in front of the chart."""
    comment = re.search(r"<!--(.*?)-->", text, re.DOTALL)
    if not comment:
        return ""
    return "\n".join(line.strip() for line in comment.group(1).strip().splitlines())


def diagram(root):
    lines = ["stateDiagram-v2", f"    [*] --> {root.get('initial')}"]
    for state in root.iter(NAMESPACE + "state"):
        for transition in state.findall(NAMESPACE + "transition"):
            lines.append(f"    {state.get('id')} --> {transition.get('target')}: "
                         f"{transition.get('event')}")
    lines += [f"    {final.get('id')} --> [*]" for final in root.iter(NAMESPACE + "final")]
    return "\n".join(lines)


def page(charts):
    parts = [INTRODUCTION]
    for path in sorted(charts.glob("*.scxml")):
        text = path.read_text()
        root = ElementTree.fromstring(text.encode())
        parts.append(f"## {path.stem}\n\n{description(text)}\n\n```mermaid\n{diagram(root)}\n```\n")
    return "\n".join(parts)


def main():
    root = pathlib.Path(__file__).resolve().parents[1]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    target = root / "docs" / "STATE-CHARTS.md"
    drawn = page(root / "charts")
    if not arguments.check:
        target.write_text(drawn)
        return
    if not target.exists() or target.read_text() != drawn:
        sys.exit("docs/STATE-CHARTS.md is not current: run scripts/draw_charts.py")
    print("docs/STATE-CHARTS.md is current")


if __name__ == "__main__":
    main()
