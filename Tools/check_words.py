"""Fails if a name of the platform's formats or calls is used outside platform/.

Names that the project's own interface uses too, such as "version", are not listed, because they
can't be distinguished by spelling.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_NAMES = (
    # Header fields.
    "Deadline-Ms", "Expect-Instance", "Expect-Version", "Instance-Id", "Last-Event-Id",
    "Length-Hint", "Not-Executed", "Prefix-Hash", "Request-Priority", "Server-Load",
    "Server-Signature", "Token-Usage", "Weight-Versions",
    # Calls and keys.
    "/kv-", "/stage-", "/manifest/", "/piece/", "op/config", "op/version", "servers/",
    # Fields and values of bodies and settings.
    "route_type", "max_attempts\"", "latency_target_ms", "itl_target_ms", "api_keys", "kv_in_use",
    "kv_size", "per_seq_ms", "context_per_k", "pairs_per_m", "cold_remaining_ms", "switch_mode",
    "allowed_regions\"", "op/evacuate", "cold_per_s", "cold_start_s", "Cold-Start-Ms", "evacuate_ms",
    "cold_overage\"", "cold_slack\"", "has_more", "wait_ms\"", "node_name", "seed_nodes", "internal_ports", "machine_class",
    "PRIMROSECOVE_BOOT", "strict_revoke\"",
)
# Tests that act as callers and operators of the platform.
ALLOWED_FOLDERS = ("Source/UnitTests/",)


def main():
    # Ignores matches that are the end of a longer name.
    pattern = re.compile(r"(?<![\w-])(" + "|".join(map(re.escape, PLATFORM_NAMES)) + ")")
    source_files = subprocess.run(["git", "ls-files", "Source"], cwd=ROOT, capture_output=True,
                                  text=True, check=True).stdout.split()
    found = []
    for name in source_files:
        if name.startswith(ALLOWED_FOLDERS) or not name.endswith((".cc", ".h")):
            continue
        for number, line in enumerate((ROOT / name).read_text().splitlines(), 1):
            if pattern.search(line):
                found.append(f"{name}:{number}: {line.strip()}")
    print("\n".join(found))
    print(f"words: {len(found)} uses of platform names outside platform/")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
