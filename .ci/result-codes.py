"""Prints the table of docs/RESULT-CODES.md from the source of the codes package."""

import pathlib
import re

source = pathlib.Path(__file__).parent.parent / "crates/codes/src/lib.rs"
print("| code | name | meaning | may it have run? |")
print("|---|---|---|---|")
for name, number, run, meaning in re.findall(r'(\w+) = (\d{4}), (\w+), "(.*)";', source.read_text()):
    print(f"| {number} | {name} | {meaning} | {run.lower()} |")
