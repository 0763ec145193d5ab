#!/usr/bin/env python3
"""Measures how long release notes take until they are in effect on every
instance, and how many bytes of control traffic each process sends. Runs 3
control and 6 entry instances as processes on 127.0.0.0/8.

Usage: scripts/measure_notes.py [--notes N] [--bin FOLDER]

Prints one line of key=value pairs for each result. Times are the run time of
`boragestandctl submit` in seconds, so they include the start of that program.
"""

import argparse
import json
import os
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time

NETWORK = 127 << 24 | 41 << 16
CONTROL_IDS = (101, 102, 103)
ENTRY_IDS = (1, 2, 3, 4, 5, 6)
DATA_CENTRES = ("tx-waco", "tx-temple", "tx-bryan", "tx-killeen")
TARGET_IDLE_S = 3.0
TARGET_KILL_S = 6.0
BYTES_INTERVAL_S = 10


def address(group, number, port):
    value = NETWORK | group << 8 | number
    octets = ".".join(str(value >> shift & 255) for shift in (24, 16, 8, 0))
    return f"{octets}:{port}"


def control_http(identity):
    return address(2, identity - 100, 7200)


def entry_member(identity):
    return {
        "id": identity,
        "name": f"entry-{identity}",
        "data_centre": DATA_CENTRES[identity % len(DATA_CENTRES)],
        "fabric": address(1, identity, 6081),
        "peers": address(1, identity, 7001),
        "http": address(1, identity, 7080),
    }


def control_members():
    return [{"id": i, "name": f"control-{i}", "http": control_http(i)}
            for i in CONTROL_IDS]


class System:
    """Starts the processes of the system and stops those that it started."""

    def __init__(self, binaries, folder):
        self.binaries = binaries
        self.folder = folder
        self.processes = {}

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file)  # JSON is valid YAML
        return path

    def start(self, name, program, settings):
        path = self.write(f"{name}.yaml", settings)
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.binaries, program), "--settings", path],
                stdout=log, stderr=log)

    def start_control(self, identity):
        folder = os.path.join(self.folder, f"data-{identity}")
        os.makedirs(folder, exist_ok=True)
        self.start(f"control-{identity}", "boragestand-control", {
            "instance": {"id": identity, "name": f"control-{identity}",
                         "data_centre": DATA_CENTRES[identity % 4]},
            "addresses": {"http": control_http(identity)},
            "data_directory": folder,
            "members": control_members(),
            "entries": [{"id": i, "name": f"entry-{i}"} for i in ENTRY_IDS],
            "director": {"address": address(9, 2, 7300), "path": "/v1/wake"},
        })

    def start_entry(self, identity):
        member = entry_member(identity)
        self.start(f"entry-{identity}", "boragestand-entry", {
            "instance": {key: member[key]
                         for key in ("id", "name", "data_centre")},
            "addresses": {key: member[key]
                          for key in ("fabric", "peers", "http")},
            "callers_via": address(9, 1, 6081),
            "members": [entry_member(i) for i in ENTRY_IDS],
            "control": control_members(),
        })

    def ctl(self, *arguments):
        command = [os.path.join(self.binaries, "boragestandctl"), *arguments]
        for identity in CONTROL_IDS:
            command += ["--control", control_http(identity)]
        return subprocess.run(command, capture_output=True, text=True,
                              check=False)

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for name, process in self.processes.items():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                print(f"warning={name}_did_not_stop", file=sys.stderr)
                process.kill()


def release_note(number):
    service = {"name": "member-desk", "hold_limit_ms": 2000 + number}
    if number == 1:
        service |= {"address": "10.0.0.1:443", "protocol": "tcp",
                  "idempotent": False, "work": "short"}
        return {"number": number, "added": {"services": [service]}}
    return {"number": number, "changed": {"services": [service]}}


def submit(system, number, *options):
    path = system.write("note.yaml", release_note(number))
    begin = time.monotonic()
    result = system.ctl("submit", path, "--timeout", "20", *options)
    return time.monotonic() - begin, result


def wait_until_ready(system):
    end = time.monotonic() + 20
    while time.monotonic() < end:
        _, result = submit(system, 1)
        if result.returncode == 0:
            return
        time.sleep(0.2)
    sys.exit(f"the system did not start: {result.stdout}{result.stderr}")


def leader_name(system):
    result = system.ctl("status", "--json")
    for status in json.loads(result.stdout)["control"]:
        if status["role"] == "leader":
            return f"control-{status['instance']}"
    sys.exit("no control instance is the leader")


def measure_times(system, name, first, count, target, kill_at=None):
    times = []
    failed = 0
    for number in range(first, first + count):
        if number - first == kill_at:
            system.kill(leader_name(system))
        elapsed, result = submit(system, number)
        times.append(elapsed)
        failed += result.returncode != 0
    print(f"measurement=notes case={name} notes={count} failed={failed} "
          f"median_s={statistics.median(times):.3f} worst_s={max(times):.3f} "
          f"target_s={target} met={str(max(times) < target and not failed).lower()}",
          flush=True)


def tcp_bytes_sent(system):
    """Returns the bytes that each process sent on its open TCP connections."""
    output = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True,
                            check=True).stdout
    names = {p.pid: name for name, p in system.processes.items()}
    sent = dict.fromkeys(names.values(), 0)
    owner = None
    for line in output.splitlines():
        if not line[:1].isspace():
            found = re.search(r"pid=(\d+)", line)
            owner = names.get(int(found.group(1))) if found else None
        found = re.search(r"bytes_sent:(\d+)", line)
        if owner and found:
            sent[owner] += int(found.group(1))
    return sent


def udp_bytes_sent(identity):
    """Returns the bytes sent to other entry instances, from the metrics."""
    url = f"http://{entry_member(identity)['http']}/metrics"
    text = subprocess.run(["curl", "-s", "--http2-prior-knowledge", url],
                          capture_output=True, text=True, check=True).stdout
    found = re.search(r"boragestand_control_bytes_sent_total (\d+)", text)
    return int(found.group(1))


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kib(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))


def read_counters(system):
    sent = tcp_bytes_sent(system)
    for identity in ENTRY_IDS:
        sent[f"entry-{identity}"] += udp_bytes_sent(identity)
    cpu = {n: cpu_seconds(p) for n, p in system.processes.items()}
    return time.monotonic(), sent, cpu


def measure_bytes(system, name, first, notes_per_second):
    begin, sent_before, cpu_before = read_counters(system)
    number = first
    while time.monotonic() - begin < BYTES_INTERVAL_S:
        if notes_per_second == 0:
            time.sleep(0.5)
            continue
        submit(system, number, "--no-wait")
        number += 1
        due = begin + (number - first) / notes_per_second
        time.sleep(max(0.0, due - time.monotonic()))
    end, sent_after, cpu_after = read_counters(system)
    seconds = end - begin
    for process in sorted(system.processes):
        bytes_sent = sent_after[process] - sent_before[process]
        cpu = cpu_after[process] - cpu_before[process]
        print(f"measurement=control_bytes case={name} process={process} "
              f"notes_per_second={(number - first) / seconds:.1f} "
              f"bytes_per_second={bytes_sent / seconds:.0f} "
              f"cpu_percent={100 * cpu / seconds:.2f} "
              f"rss_kib={resident_kib(system.processes[process])}",
              flush=True)
    return number


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--notes", type=int, default=200)
    parser.add_argument("--bin", default="build/bin")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        system = System(options.bin, folder)
        try:
            for identity in CONTROL_IDS:
                system.start_control(identity)
            for identity in ENTRY_IDS:
                system.start_entry(identity)
            wait_until_ready(system)
            number = measure_bytes(system, "idle", 2, 0)
            number = measure_bytes(system, "notes", number, 10)
            measure_times(system, "no_kill", number, options.notes,
                          TARGET_IDLE_S)
            measure_times(system, "leader_killed", number + options.notes,
                          options.notes, TARGET_KILL_S,
                          kill_at=options.notes // 2)
        finally:
            system.stop()


if __name__ == "__main__":
    main()
