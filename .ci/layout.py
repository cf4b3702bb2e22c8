"""Checks what the compiler does not: module documentation, tests only in test files, and src/lib.rs
in each package of crates/."""

import pathlib
import subprocess
import sys

names = subprocess.run(
    ["git", "ls-files", "-co", "--exclude-standard", "*.rs"],
    capture_output=True, check=True, text=True,
).stdout.split()
faults = []
for name in names:
    path = pathlib.Path(name)
    if not path.exists():
        continue
    text = path.read_text()
    if not text.startswith(("//!", "#![")):
        faults.append(f"{name}: no doc comment of the module")
    if "tests" not in path.parts and "#[test]" in text:
        faults.append(f"{name}: a test outside of a test file")
for package in sorted(pathlib.Path("crates").iterdir()):
    if not (package / "src/lib.rs").exists():
        faults.append(f"{package}: no src/lib.rs")
print("\n".join(faults) or "all in place")
sys.exit(bool(faults))
