"""Checks that the names of the platform's wire format, settings and HTTP calls occur only in
platform/."""

import pathlib
import re
import subprocess
import sys

NAMES = [
    "add_nodes", "bootstrap", "catch_up_s", "config_apply_ms", "contact_ms", "datagram_addr", "deregister",
    "goal_ms", "grace_s", "heartbeat_ms", "heartbeat_url", "idle_timeout_ms", "in_tolerance", "internal_port_range",
    "machine_class", "max_flows", "node_name", "path_prefix", "readiness_addr", "seed_lag_s", "timeout_ms", "warmup_left_ms",
    "/-/", "sport", "dport",
]
found = []
names = subprocess.run(
    ["git", "ls-files", "-co", "--exclude-standard", "crates", "examples"], capture_output=True, check=True, text=True,
).stdout.split()
for name in names:
    path = pathlib.Path(name)
    if path.suffix not in {".rs", ".toml"} or not path.exists():
        continue
    for number, line in enumerate(path.read_text().splitlines(), 1):
        for word in NAMES:
            if re.search(rf"(?<![A-Za-z0-9_]){re.escape(word)}(?![A-Za-z0-9_])", line):
                found.append(f"{name}:{number}: `{word}` belongs to platform/")
print("\n".join(found) or "the platform's names stand in platform/ alone")
sys.exit(bool(found))
