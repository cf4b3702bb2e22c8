"""Renders docs/CAPACITY.md from docs/CAPACITY.md.in and the slopes in docs/capacity.json.

    python3 .ci/capacity.py          checks that the page is what the slopes give
    python3 .ci/capacity.py page     writes the page
    python3 .ci/capacity.py slopes   reads the output of `cargo bench --bench capacity` on standard input and writes
                                     docs/capacity.json

In the template, `{{ expression }}` is replaced by the expression's value. It may use a slope by the name of its figure
(without `capacity.`), its standard error by the same name with `_error`, and its value at size 0 with `_base`.
"""

import json
import pathlib
import re
import sys

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PAGE, SLOPES, TEMPLATE = DOCS / "CAPACITY.md", DOCS / "capacity.json", DOCS / "CAPACITY.md.in"


def number(value):
    """Formats a value: strings and whole numbers in full, other numbers with three significant
    digits, or without decimals from 100 on."""
    if isinstance(value, str):
        return value
    if value == int(value):
        return f"{int(value):,}"
    digits = 2 - len(f"{abs(value):.0f}") + (1 if abs(value) >= 1 else 0)
    return f"{value:,.{max(digits, 0)}f}" if abs(value) >= 1 else f"{value:.3g}"


def names():
    """The names available to expressions."""
    known = {"min": min, "max": max, "verdict": lambda value, bound: "met" if value <= bound else "MISSED"}
    for name, slope in json.loads(SLOPES.read_text()).items():
        short = name.removeprefix("capacity.")
        known[short] = slope["value"]
        known[f"{short}_error"] = slope.get("error", 0)
        known[f"{short}_base"] = slope.get("intercept", 0)
    return known


def render():
    """The text of the rendered page."""
    known = names()
    for name, value in re.findall(r"^    (\w+) = ([\d_.]+)", TEMPLATE.read_text(), re.M):
        known[name] = float(value)
    return re.sub(r"\{\{ (.+?) \}\}", lambda match: number(eval(match[1], {}, known)), TEMPLATE.read_text())


def slopes(lines):
    """The slopes among the printed figures, by figure name."""
    figures = [json.loads(line) for line in lines if line.startswith('{"figure":"capacity.')]
    return {figure.pop("figure"): figure for figure in figures}


match sys.argv[1:]:
    case ["slopes"]:
        SLOPES.write_text(json.dumps(slopes(sys.stdin), indent=1, sort_keys=True) + "\n")
    case ["page"]:
        PAGE.write_text(render())
    case []:
        if PAGE.read_text() != render():
            sys.exit("docs/CAPACITY.md is not what docs/capacity.json gives; run: python3 .ci/capacity.py page")
        print("docs/CAPACITY.md holds the measured slopes")
    case _:
        sys.exit(__doc__)
