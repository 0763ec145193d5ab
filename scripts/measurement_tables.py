#!/usr/bin/env python3
"""Puts result lines of boragestand-model as tables into a Markdown page.

Usage: measurement_tables.py RESULTS PAGE COMMIT COMMAND

The table of a measurement replaces what stands between the lines
"<!-- NAME: begin -->" and "<!-- NAME: end -->"; the rest of the page stays.
"""

import re
import shlex
import sys

LEFT_OUT = {"event", "measurement", "seed"}


def parsed(path):
    """Result lines as dictionaries, grouped by measurement."""
    groups = {}
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            pairs = dict(item.split("=", 1) for item in shlex.split(line))
            groups.setdefault(pairs["measurement"], []).append(pairs)
    return groups


def shown(value):
    """A number without needless digits; any other text as it is."""
    if re.fullmatch(r"-?\d+\.\d+", value):
        return f"{float(value):.4g}"
    return value


def table(rows, commit, command):
    """A Markdown table with the source of its figures."""
    columns = []
    for row in rows:
        columns += [key for key in row if key not in columns]
    columns = [key for key in columns if key not in LEFT_OUT]
    lines = [
        f"Commit {commit}, seed {rows[0]['seed']}: `{command}`",
        "",
        "| " + " | ".join(columns) + " |",
        "| " + " | ".join("---" for _ in columns) + " |",
    ]
    for row in rows:
        cells = (shown(row.get(key, "")) for key in columns)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main():
    results, page, commit, command = sys.argv[1:]
    with open(page, encoding="utf-8") as source:
        text = source.read()
    for name, rows in parsed(results).items():
        begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
        if begin not in text or end not in text:
            sys.exit(f"{page} has no place for the measurement {name!r}")
        head, rest = text.split(begin, 1)
        tail = rest.split(end, 1)[1]
        text = f"{head}{begin}\n{table(rows, commit, command)}\n{end}{tail}"
    with open(page, "w", encoding="utf-8") as target:
        target.write(text)


if __name__ == "__main__":
    main()
