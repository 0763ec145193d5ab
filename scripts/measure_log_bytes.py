#!/usr/bin/env python3
"""Submits many plans to three control instances on 127.0.0.0/8, kills all of
them, starts them again and prints peak memory, disk use and the time until the
last plan is served. Arguments: folder of the programs, number of changes."""

import json
import os
import random
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ADDRESSES = [f"127.71.{os.getpid() % 250}.{n}" for n in (1, 2, 3)]
ROUTES, CALLS = 1400, 8200


def make_plan():
    random.seed(4117)
    return {
        "Version": 0,
        "Routes": [{"Name": f"route-{n}-{random.randrange(10**6)}",
                    "Hostname": f"198.18.{n // 250}.{n % 250 + 1}",
                    "PathPrefix": f"/{8000 + n}/", "Type": "idempotent",
                    "TimeoutMs": 2000, "TargetLatencyMs": 400, "Priority": 1,
                    "Backends": [{"Service": f"service-{n % 200}",
                                  "Weight": random.randrange(1, 100)}]}
                   for n in range(ROUTES)],
        "Services": [{"Name": f"service-{n}"} for n in range(200)],
        "Limits": {"IdleTimeoutMs": 15000}}


def start(folder, programs, number, first):
    address, data = ADDRESSES[number], f"{folder}/{number}"
    os.makedirs(data, exist_ok=True)
    seeds = ", ".join(f"'{each}:{CALLS}'" for each in ADDRESSES)
    with open(f"{data}.yaml", "w", encoding="utf-8") as file:
        file.write(f"instance: {{name: control-{number}, data_centre: a}}\n"
                   f"addresses: {{internal: '{address}:7400',"
                   f" announcements: '{address}:{CALLS}'}}\n"
                   f"seeds: [{seeds}]\nfirst_start: {str(first).lower()}\n"
                   f"data_directory: '{data}'\nlog: {{file: '-'}}\n")
    with open(f"{data}.log", "ab") as log:
        return subprocess.Popen([f"{programs}/boragestand-platform-control",
                                 "--settings", f"{data}.yaml"],
                                stdout=log, stderr=log)


def call(method, path, body=None):
    """Asks one instance after the other for a success, for at most 20 s."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        for address in ADDRESSES:
            try:
                request = urllib.request.Request(
                    f"http://{address}:{CALLS}{path}", body, method=method)
                with urllib.request.urlopen(request, timeout=5) as answer:
                    return answer.read()
            except (urllib.error.URLError, OSError):
                continue
        time.sleep(0.01)
    raise SystemExit(f"{path} got no success")


def peak_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        line = next(each for each in file if each.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def disk_mb(folder, number):
    return sum(os.path.getsize(f"{path}/{name}")
               for path, _, names in os.walk(f"{folder}/{number}")
               for name in names) / 2**20


def main():
    programs, changes = sys.argv[1], int(sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        running = [start(folder, programs, n, True) for n in range(3)]
        try:
            plan, disk = make_plan(), 0.0
            for version in range(1, changes + 1):
                plan["Version"] = version
                plan["Routes"][version % ROUTES]["Backends"][0]["Weight"] = (
                    random.randrange(1, 100))
                body = json.dumps(plan).encode()
                call("POST", "/v1/Config.Replace", body)
                if version % 20 == 0:
                    disk = max(disk, *(disk_mb(folder, n) for n in range(3)))
            peak = max(map(peak_mb, running))
            print(f"changes={changes} document_bytes={len(body)} "
                  f"peak_memory_mb={peak:.1f} peak_disk_mb={disk:.1f}")
            for each in running:
                each.kill()
                each.wait()
            began = time.monotonic()
            running = [start(folder, programs, n, False) for n in range(3)]
            served = json.loads(call("GET", "/v1/Config.Get"))
            print(f"served_after_s={time.monotonic() - began:.2f} "
                  f"version={served['Version']} "
                  f"peak_memory_mb={max(map(peak_mb, running)):.1f}")
        finally:
            for each in running:
                each.kill()
                each.wait()


if __name__ == "__main__":
    main()
