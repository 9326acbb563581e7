#!/usr/bin/env python3
"""Runs the simulations required before a merge, one site at a time, and summarizes them in a table.

Usage: tools/owed_runs.py BENCH SYSTEM --why TEXT [--only NAME ...] [--out FOLDER]
       tools/owed_runs.py --table FOLDER

BENCH is the program that simulates sites, SYSTEM the folder with the folders of site files. Each site gets a
score run and a hunt run; the number of days simulated in parallel depends on the size of the site. The output
of each run is written to FOLDER; --table prints the table from an existing folder. docs/BENCH.md describes the
required sites.
"""
import argparse
import pathlib
import re
import subprocess
import sys

# Site file below SYSTEM, number of days to hunt, number of days simulated in parallel.
OWED = [
    ("shifted/ngipin-sked-now-grown.toml", 16, 3),
    ("large/ngipin-sked-large.toml", 8, 1),
    ("demands/amsau-gw-grown.toml", 8, 1),
    ("demands/ttb-tarifas-grown.toml", 8, 1),
    ("newcomers/abo-gateway-grown.toml", 8, 1),
    ("newcomers/tdr-gateway-grown.toml", 8, 1),
    ("further-grown/potepin-gw-grown.toml", 8, 1),
    ("grown/ngipin-sked-grown.toml", 8, 1),
    ("grown/vnf-ops-grown.toml", 8, 1),
    ("further/potepin-gw.toml", 40, 2),
    ("sites/ngipin-sked.toml", 40, 2),
    ("sites/vnf-ops.toml", 40, 2),
]
DAY_LINE = re.compile(r"^(\S.*?)\s+\d+/\d+\s+(?:[\d.]+|-)\s+([\d.]+)\s")
TROUBLE_DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")


def play(bench, site, arguments, out):
    """Runs the simulator and writes its output to a file."""
    with out.open("w") as file:
        command = [bench, arguments[0], str(site), *arguments[1:]]
        done = subprocess.run(command, stdout=file, stderr=subprocess.STDOUT, check=False)
    if done.returncode != 0:
        print(f"{out.name}: exit status {done.returncode}", file=sys.stderr)


def days(path):
    """Parses the worth of each day from the output of a run."""
    if not path.exists():
        return {}
    found = (DAY_LINE.match(line) for line in path.read_text(errors="replace").splitlines())
    return {match[1].strip(): float(match[2]) for match in found if match}


def search(path, pattern):
    """Returns the first group of a pattern in the output of a run."""
    text = path.read_text(errors="replace") if path.exists() else ""
    match = re.search(pattern, text)
    return match[1] if match else "not run"


def row(folder, name):
    """Returns one line of the table."""
    score, hunt = folder / f"score-{name}.txt", folder / f"hunt-{name}.txt"
    worth = days(score)
    trouble = [worth[day] for day in TROUBLE_DAYS if day in worth]
    mean = f"{sum(trouble) / len(trouble):.3f}" if len(trouble) == len(TROUBLE_DAYS) else "partial"
    quiet = f"{worth['quiet-1']:.3f}" if "quiet-1" in worth else "-"
    hunted = days(hunt)
    least = f"{min(hunted.values()):.3f}" if hunted else "-"
    gate = search(score, r"GATE (\w+)")
    broken = search(hunt, r"(\d+ days on \S+, \d+ with a rule broken)")
    return f"| {name} | {gate} | {mean} | {quiet} | {least} | {broken} |"


def print_table(folder):
    """Prints the table of all required sites."""
    print("| site | gate | mean worth, days with trouble | quiet-1 | least hunted day | hunt |")
    print("|---|---|---|---|---|---|")
    for site, _, _ in OWED:
        print(row(folder, pathlib.Path(site).stem))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("bench", nargs="?", help="program that simulates sites")
    parser.add_argument("system", nargs="?", type=pathlib.Path, help="folder with the folders of site files")
    parser.add_argument("--why", help="reason of the runs, passed to the simulator")
    parser.add_argument("--only", nargs="*", help="names of the sites to run (default: all)")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("target/owed"))
    parser.add_argument("--table", type=pathlib.Path, help="print the table of an existing folder and exit")
    options = parser.parse_args()
    if options.table:
        return print_table(options.table)
    if not (options.bench and options.system and options.why):
        parser.error("BENCH, SYSTEM and --why are needed")
    options.out.mkdir(parents=True, exist_ok=True)
    for site, hunted, jobs in OWED:
        name = pathlib.Path(site).stem
        if options.only and name not in options.only:
            continue
        common = ["--jobs", str(jobs), "--why", options.why]
        path = options.system / site
        play(options.bench, path, ["score", *common], options.out / f"score-{name}.txt")
        hunt = ["hunt", "--days", str(hunted), *common]
        play(options.bench, path, hunt, options.out / f"hunt-{name}.txt")
    return print_table(options.out)


if __name__ == "__main__":
    main()
