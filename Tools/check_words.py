"""Fails when a name of the platform's formats or calls is used outside platform/.

The list holds words that mean nothing in the product's own interface; those that both use, such as
"version", can't be told apart by their spelling.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORDS = (
    # Header fields.
    "Deadline-Ms", "Expect-Instance", "Expect-Version", "Instance-Id", "Last-Event-Id",
    "Length-Hint", "Not-Executed", "Prefix-Hash", "Request-Priority", "Server-Load",
    "Server-Signature", "Token-Usage", "Weight-Versions",
    # Calls and keys.
    "/kv-", "/stage-", "/manifest/", "/piece/", "op/config", "op/version", "servers/",
    # Fields and words of bodies and settings.
    "route_type", "max_attempts\"", "latency_target_ms", "itl_target_ms", "api_keys", "kv_in_use",
    "kv_size", "per_seq_ms", "context_per_k", "pairs_per_m", "cold_remaining_ms", "switch_mode",
    "has_more", "wait_ms\"", "node_name", "seed_nodes", "internal_ports", "machine_class",
    "PRIMROSECOVE_BOOT", "strict_revoke\"",
)
# Tests that speak as callers and operators of the platform do.
ALLOWED = ("Source/UnitTests/",)


def main():
    # Not as a part of a longer name of the product's own.
    pattern = re.compile(r"(?<![\w-])(" + "|".join(map(re.escape, WORDS)) + ")")
    listed = subprocess.run(["git", "ls-files", "Source"], cwd=ROOT, capture_output=True, text=True,
                            check=True).stdout.split()
    found = []
    for name in listed:
        if name.startswith(ALLOWED) or not name.endswith((".cc", ".h")):
            continue
        for number, line in enumerate((ROOT / name).read_text().splitlines(), 1):
            if pattern.search(line):
                found.append(f"{name}:{number}: {line.strip()}")
    print("\n".join(found))
    print(f"words: {len(found)} uses of the platform's names outside platform/")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
