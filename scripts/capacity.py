#!/usr/bin/env python3
"""Estimates the load of each role at fleet size from measured slopes.

Usage: scripts/capacity.py [--write]

Reads docs/capacity-slopes.txt and prints the table of docs/CAPACITY.md; with
--write it replaces the table between the markers on that page.
"""

import os
import sys

FOLDER = os.path.join(os.path.dirname(__file__), "..", "docs")
SLOPES = os.path.join(FOLDER, "capacity-slopes.txt")
PAGE = os.path.join(FOLDER, "CAPACITY.md")
BEGIN = "<!-- capacity: begin -->\n"
END = "<!-- capacity: end -->\n"

NODES = 4900
CONTROL = 11
UPSTREAMS = 25000
SERVICES = 9800
FLOWS = 87e6
NEW_FLOWS = 510e3
DATA_CENTRES = 15
REGIONS = 5
CHANGES_PER_DAY = 4400
# Packets that a caller sends per flow.
PACKETS_PER_FLOW = 40
CORE_LIMIT_PERCENT = 3.4
MEMORY_LIMIT_MB = 64
BYTES_PER_SECOND_LIMIT = 30000


def read_slopes():
    slopes = {}
    with open(SLOPES, encoding="utf-8") as file:
        for line in file:
            if not line.startswith("#") and line.strip():
                name, value, _ = line.split(maxsplit=2)
                slopes[name] = float(value)
    return slopes


def row(*cells):
    return "| " + " | ".join(cells) + " |\n"


def verdict(value, limit):
    return "within" if value <= limit else "over"


def table(slopes):
    entries = NODES - CONTROL
    flows = FLOWS / entries
    new_flows = NEW_FLOWS / entries
    packets = new_flows * PACKETS_PER_FLOW
    entries_per_data_centre = entries / DATA_CENTRES
    upstreams = UPSTREAMS / DATA_CENTRES
    changes = CHANGES_PER_DAY / 86400
    data_cpu = (packets * slopes["decision_ns_500k"] +
                new_flows * slopes["new_flow_ns"]) / 1e9 * 100
    memory = (slopes["entry_base_kib"] * 1024 + flows * slopes["flow_bytes"])
    # Load reports and lease renewals are sent to every peer, so the bytes grow
    # with peers x upstreams. The measured system of 6 instances and 14
    # upstreams has 5 x 14 such pairs.
    pair_bytes = ((slopes["loaded_control_bytes"] - slopes["entry_idle_bytes"])
                  / (5 * 14))
    mesh = (slopes["entry_idle_bytes"] +
            pair_bytes * (entries_per_data_centre - 1) * upstreams)
    pairs = (BYTES_PER_SECOND_LIMIT - slopes["entry_idle_bytes"]) / pair_bytes
    direct = entries * changes * slopes["control_note_bytes"] / 6
    relayed = REGIONS * changes * slopes["control_note_bytes"] / 6
    keepalive = (slopes["control_idle_bytes"] / 6) * entries / CONTROL
    rows = [
        row("role", "quantity", "at fleet size", "limit", "verdict",
            "mechanism that carries it"),
        row("---", "---", "---", "---", "---", "---"),
        row("entry", "open flows", f"{flows:,.0f}", "", "", "owner in the "
            "flow's data centre"),
        row("entry", "new flows a second", f"{new_flows:,.0f}", "", "",
            "rendezvous ownership"),
        row("entry", "data path, % of a core", f"{data_cpu:.2f}", "", "",
            f"{PACKETS_PER_FLOW} packets a flow (assumed)"),
        row("entry", "control, % of a core",
            f"{slopes['entry_idle_cpu_percent']:.2f}",
            f"{CORE_LIMIT_PERCENT}",
            verdict(slopes["entry_idle_cpu_percent"], CORE_LIMIT_PERCENT),
            "probes of constant number; measured with 6 members"),
        row("entry", "memory, MB", f"{memory / 1e6:.1f}",
            f"{MEMORY_LIMIT_MB}", verdict(memory / 1e6, MEMORY_LIMIT_MB),
            "64-byte flow records"),
        row("entry", "control bytes a second, full mesh (built)",
            f"{mesh:,.0f}", f"{BYTES_PER_SECOND_LIMIT:,}",
            verdict(mesh, BYTES_PER_SECOND_LIMIT),
            "load reports and renewals to each peer: breaks first"),
        row("entry", "peers x upstreams that the budget carries",
            f"{pairs:,.0f}", "", "",
            "subsets of upstreams (not built)"),
        row("control", "bytes a second for changes, direct streams (built)",
            f"{direct:,.0f}", f"{BYTES_PER_SECOND_LIMIT:,}",
            verdict(direct, BYTES_PER_SECOND_LIMIT),
            "one stream for each instance"),
        row("control", "bytes a second for changes, region relays",
            f"{relayed:,.0f}", f"{BYTES_PER_SECOND_LIMIT:,}",
            verdict(relayed, BYTES_PER_SECOND_LIMIT), "tree of relays (not built)"),
        row("control", "idle bytes a second, streams spread over 11",
            f"{keepalive:,.0f}", f"{BYTES_PER_SECOND_LIMIT:,}",
            verdict(keepalive, BYTES_PER_SECOND_LIMIT),
            "keep-alive frames and reports; relays (not built)"),
        row("control", "changes, % of a core",
            f"{changes * slopes['control_note_cpu_ms'] / 10:.4f}",
            f"{CORE_LIMIT_PERCENT}", "within", "replicated log"),
        row("control", "memory, MB",
            f"{slopes['control_base_kib'] * 1024 / 1e6:.1f} + configuration",
            f"{MEMORY_LIMIT_MB}", "not measured at 9,800 services",
            "snapshots"),
    ]
    return "".join(rows)


def main():
    text = table(read_slopes())
    if "--write" not in sys.argv[1:]:
        print(text, end="")
        return
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    before, rest = page.split(BEGIN)
    _, after = rest.split(END)
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(before + BEGIN + text + END + after)


if __name__ == "__main__":
    main()
