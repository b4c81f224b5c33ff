"""Compares the state charts with the models: both must name the same states and transitions.

A model marks each step that is a transition of a chart by a comment
/* chart <name>: <from> -<event>-> <to> */. Both directions are compared: a transition without a
mark and a mark without a transition are differences.
"""
import pathlib
import re
import sys
import xml.etree.ElementTree as ElementTree

# Which model covers which chart. node.scxml is the life of a process, which no model covers.
MODEL_OF_CHART = {
    "attempt": "stream.pml",
    "claim": "claim.pml",
    "engine": "ownership.pml",
    "request": "stream.pml",
    "table_change": "table.pml",
}
CHARTS_WITHOUT_MODEL = {"node"}
NAMESPACE = "{http://www.w3.org/2005/07/scxml}"
MARK = re.compile(r"/\* chart (\w+): (\w+) -(\w+)-> (\w+) \*/")


def chart_transitions(path):
    """Returns the chart's transitions as "from -event-> to"."""
    root = ElementTree.parse(path).getroot()
    return {f"{state.get('id')} -{transition.get('event')}-> {transition.get('target')}"
            for state in root.iter(NAMESPACE + "state")
            for transition in state.findall(NAMESPACE + "transition")}


def marked_transitions(path):
    """Returns {chart name: transitions} of all marks of a model."""
    marks = {}
    for chart, source, event, target in MARK.findall(path.read_text()):
        marks.setdefault(chart, set()).add(f"{source} -{event}-> {target}")
    return marks


def differences(charts, models):
    """Compares a folder of charts with a folder of models; returns one line for each difference.

    The model that covers a chart marks all its transitions; any other model may mark some of them.
    """
    found = []
    drawn = {path.stem: chart_transitions(path) for path in sorted(charts.glob("*.scxml"))}
    marks = {path.name: marked_transitions(path) for path in sorted(models.glob("*.pml"))}
    for chart in sorted(set(drawn) - CHARTS_WITHOUT_MODEL):
        model = MODEL_OF_CHART.get(chart)
        covered = marks.get(model, {}).get(chart, set())
        found += [f"chart {chart}: {model} lacks {line}" for line in sorted(drawn[chart] - covered)]
    for model, by_chart in marks.items():
        found += [f"chart {chart}: only {model} has {line}" for chart, marked in by_chart.items()
                  for line in sorted(marked - drawn.get(chart, set()))]
    found += [f"chart {chart} is not there" for chart in sorted(set(MODEL_OF_CHART) - set(drawn))]
    return found


def main():
    root = pathlib.Path(__file__).resolve().parents[2]
    found = differences(root / "charts", root / "spec")
    for line in found:
        print(line)
    print(f"{len(found)} differences between charts/ and spec/")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
