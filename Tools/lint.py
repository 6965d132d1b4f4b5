"""Runs clang-tidy on the project's sources, one process per core."""

import concurrent.futures
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def run_clang_tidy(build, source):
    command = ["clang-tidy", "--quiet", "-p", build, str(source)]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return result.returncode, result.stdout


def main():
    build = sys.argv[1]
    sources = sys.argv[2:] or sorted(
        str(it) for folder in ("Source", "platform") for it in (ROOT / folder).rglob("*.cc"))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for exit_code, output in pool.map(lambda it: run_clang_tidy(build, it), sources):
            if exit_code != 0:
                failed += 1
                print(output)
    print(f"lint: {len(sources) - failed} files clean, {failed} with findings")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
