#!/usr/bin/env python3
"""Writes result lines of boragestand-model as tables to a Markdown page.

Usage: measurement_tables.py RESULTS PAGE COMMIT COMMAND

The table of a measurement replaces the text between the lines
"<!-- NAME: begin -->" and "<!-- NAME: end -->".
"""

import re
import shlex
import sys

OMITTED_KEYS = {"event", "measurement", "seed"}


def parse_results(path):
    """Reads result lines as dictionaries, grouped by measurement."""
    groups = {}
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            pairs = dict(item.split("=", 1) for item in shlex.split(line))
            groups.setdefault(pairs["measurement"], []).append(pairs)
    return groups


def format_value(value):
    """Rounds a decimal number to 4 significant digits; keeps other text."""
    if re.fullmatch(r"-?\d+\.\d+", value):
        return f"{float(value):.4g}"
    return value


def format_table(rows, commit, command):
    """Returns a Markdown table headed by commit, seed and command."""
    columns = []
    for row in rows:
        columns += [key for key in row if key not in columns]
    columns = [key for key in columns if key not in OMITTED_KEYS]
    lines = [
        f"Commit {commit}, seed {rows[0]['seed']}: `{command}`",
        "",
        "| " + " | ".join(columns) + " |",
        "| " + " | ".join("---" for _ in columns) + " |",
    ]
    for row in rows:
        cells = (format_value(row.get(key, "")) for key in columns)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main():
    results, page, commit, command = sys.argv[1:]
    with open(page, encoding="utf-8") as source:
        text = source.read()
    for name, rows in parse_results(results).items():
        begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
        if begin not in text or end not in text:
            sys.exit(f"{page} has no begin and end markers for the measurement {name!r}")
        head, rest = text.split(begin, 1)
        tail = rest.split(end, 1)[1]
        text = f"{head}{begin}\n{format_table(rows, commit, command)}\n{end}{tail}"
    with open(page, "w", encoding="utf-8") as target:
        target.write(text)


if __name__ == "__main__":
    main()
