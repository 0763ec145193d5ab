"""Runs control and entry instances of one small deployment as processes on
127.0.0.0/8, started with the commands of the deploy file, and an operator that
calls them as PROTOCOL.md says. Only the standard library is used."""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit statuses of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The same on all machines of a deployment, as DEPLOY.md says.
PACKETS, READY, CALLS = 8172, 8167, 8166
INTERNAL_FIRST, INTERNAL_LAST, METRICS = 7720, 7735, 9464


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def deploy_command(role):
    """The command of a role in deploy/system.toml, split at spaces."""
    with open(f"{ROOT}/deploy/system.toml", encoding="utf-8") as file:
        text = file.read()
    section = text.split(f"[roles.{role}]", 1)[1].split("[roles.", 1)[0]
    return re.search(r'^run = "(.*)"$', section, re.M).group(1).split()


class Record:
    """Writes what is done, sent and answered to record.txt and the output."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(f"{folder}/record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Machine:
    """A machine of the deployment with the one process that it runs."""

    def __init__(self, deployment, name, address, role, zone):
        self.deployment, self.name, self.address = deployment, name, address
        self.role, self.zone, self.process = role, zone, None
        self.folder = f"{deployment.folder}/{name}"

    def settings(self, first_start):
        """deploy/settings.yaml.in, filled in for this machine."""
        site = self.deployment.site
        control = self.role == "control"
        seeds = "".join(f'  - "{each}:{CALLS}"\n'
                        for each in self.deployment.seeds)
        zones = "".join(f'  - "{each}"\n' for each in site["zones"])
        features = "".join(f'  - "{each}"\n' for each in site["contracts"])
        limits = site["core" if control else "front"]
        return (
            f'instance:\n  name: "{self.name}"\n  data_centre: "{self.zone}"\n'
            f'addresses:\n  internal: "{self.address}:{INTERNAL_FIRST}"\n'
            f'{self.listen()}'
            f'  packets: "{"" if control else f"{self.address}:{PACKETS}"}"\n'
            f'  readiness: "{"" if control else f"{self.address}:{READY}"}"\n'
            f'  announcements: "{f"{self.address}:{CALLS}" if control else ""}"'
            f'\n  metrics: "{self.address}:{METRICS}"\n'
            f'seeds:\n{seeds}first_start: {str(first_start).lower()}\n'
            f'data_directory: "{self.folder + "/data" if control else ""}"\n'
            f'heartbeat_ms: {site["heartbeat_ms"]}\n'
            f'link_mbps: "{limits["link_mbps"]}"\n'
            f'memory_mb: "{limits["memory_mb"]}"\n'
            f'disk_mb: "{limits["disk_mb"]}"\n'
            f'data_centres:\n{zones}features:\n{features}'
            f'warmup_overrun: ""\nwarmup_slack: ""\n'
            f'standing_agreement: true\nlog: {{file: "-"}}\n')

    def listen(self):
        """Where a proxy stands before the internal port, another port."""
        if self.role == "control" and self.deployment.proxied:
            return f'  listen: "{self.address}:{INTERNAL_LAST}"\n'
        return ""

    def start(self, first_start=False):
        os.makedirs(f"{self.folder}/data", exist_ok=True)
        path = f"{self.folder}/local.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(first_start))
        command = [path if word == "/etc/boragestand/local.yaml" else word
                   for word in deploy_command(self.role)]
        with open(f"{self.folder}/log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log,
                                            stderr=log,
                                            stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        """SIGKILL, as at a crash or a loss of the machine."""
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def stop(self, grace_s=6.0):
        """A planned stop: SIGTERM, and SIGKILL after GraceS."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def lose_disk(self):
        shutil.rmtree(f"{self.folder}/data", ignore_errors=True)

    def log_lines(self, *events):
        """Lines of the process's log with one of these events."""
        try:
            with open(f"{self.folder}/log", encoding="utf-8",
                      errors="replace") as file:
                return [line.rstrip() for line in file
                        if any(f"event={each} " in line for each in events)]
        except OSError:
            return []


class Deployment:
    """Machines of one site. site holds zones, contracts, limits and bounds."""

    def __init__(self, site, record):
        self.site, self.record = site, record
        self.folder = tempfile.mkdtemp(prefix="boragestand-case-")
        pid = os.getpid()
        self.network = f"127.{64 + pid // 250 % 128}.{1 + pid % 250}"
        self.machines, self.seeds, self.next_host = [], [], 11
        self.proxied = False  # whether proxies stand before internal ports
        self.destination = ("127.198.0.1", 8001)  # of the first route

    def add(self, role, zone):
        """A machine at an address that no other machine has had."""
        number = sum(each.role == role for each in self.machines) + 1
        machine = Machine(self, f"{role}-{number}",
                          f"{self.network}.{self.next_host}", role, zone)
        self.next_host += 1
        self.machines.append(machine)
        return machine

    def close(self):
        for each in self.machines:
            each.signal(signal.SIGCONT)
            each.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def routes(self, count=2):
        names = self.site["services"]
        return [{"Name": f"r-{i}", "Hostname": f"127.198.0.{1 + i // 250}",
                 "PathPrefix": f"/{8001 + i % 250}/", "Type": "idempotent",
                 "TimeoutMs": 3000, "TargetLatencyMs": 200, "Priority": 1,
                 "Service": names[i % len(names)], "Attempts": 2}
                for i in range(count)]

    def configuration(self, version, routes=None):
        services = [{"Name": name, "HealthPath": "/health",
                     "MaxConnections": 2000, "Protocol": "h1", "Tls": False}
                    for name in self.site["services"]]
        return json.dumps({
            "Version": version, "Routes": routes or self.routes(),
            "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})


def call(address, method, path, body="", timeout_s=1.0, port=CALLS):
    """One HTTP/1.1 request. (status, headers, body), or None if there was no
    whole response within timeout_s."""
    deadline = time.monotonic() + timeout_s
    try:
        with socket.create_connection((address, port), timeout_s) as link:
            data = body.encode()
            link.sendall(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                         f"Content-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n"
                         f"Connection: close\r\n\r\n".encode() + data)
            answer = b""
            while True:
                link.settimeout(max(0.01, deadline - time.monotonic()))
                part = link.recv(65536)
                if not part:
                    break
                answer += part
        head, _, rest = answer.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {name.lower(): value for name, _, value in
                   (line.partition(": ") for line in lines[1:])}
        if len(rest) != int(headers.get("content-length", len(rest))):
            return None
        return int(lines[0].split()[1]), headers, rest.decode()
    except (OSError, ValueError, IndexError):
        return None


def call_redirected(address, method, path, body="", timeout_s=1.0):
    """As call(), following a 307 twice. Also tells who answered."""
    for _ in range(3):
        answer = call(address, method, path, body, timeout_s)
        if answer is None or answer[0] != 307:
            return address, answer
        target = re.match(r"http://([\d.]+):\d+(/.*)",
                          answer[1].get("location", ""))
        if not target:
            return address, answer
        address, path = target.group(1), target.group(2)
    return address, answer


class Operator:
    """Submits and reads configurations at the control instances given to it."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    def controls(self):
        return [each for each in self.deployment.machines
                if each.role == "control" and each.process is not None]

    def submit(self, version, within_s, routes=None):
        """Sends a configuration, unchanged, to one node after the other until
        one acknowledges it. Returns the machine's address, or None."""
        body = self.deployment.configuration(version, routes)
        end, pause, tries = time.monotonic() + within_s, 0.05, 0
        while time.monotonic() < end:
            nodes = self.controls()
            node = nodes[tries % len(nodes)]
            tries += 1
            who, answer = call_redirected(node.address, "POST",
                                          "/v1/Config.Replace", body)
            if answer and answer[0] == 200:
                self.record(f"configuration {version} acknowledged by {who}")
                return who
            if answer and answer[0] in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration {version}: {answer[0]} "
                                f"{answer[2]}")
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        self.record(f"configuration {version} not acknowledged in {within_s} s "
                    f"({tries} calls)")
        return None

    def submit_many(self, first, count):
        """Sends count configurations one after the other, each until it is
        acknowledged. Returns the version of the last one."""
        node = self.controls()[0].address
        for version in range(first, first + count):
            body = self.deployment.configuration(version)
            for _ in range(20):
                node, answer = call_redirected(node, "POST",
                                               "/v1/Config.Replace", body)
                if answer and answer[0] == 200:
                    break
                time.sleep(0.1)
                node = self.controls()[version % 3].address
            else:
                raise CannotRun(f"configuration {version} not acknowledged")
        return first + count - 1

    def read(self):
        """Reads at every node once. Lists (machine, status, version)."""
        seen = []
        for node in self.controls():
            _, answer = call_redirected(node.address, "GET", "/v1/Config.Get")
            version = None
            if answer and answer[0] == 200:
                version = json.loads(answer[2])["Version"]
            seen.append((node.name, answer[0] if answer else None, version))
        return seen

    def read_until(self, version, within_s):
        """Reads at all nodes, again and again, until one returns this version
        or a higher one. Returns whether one did."""
        end, calls, statuses = time.monotonic() + within_s, 0, {}
        while time.monotonic() < end:
            for name, status, found in self.read():
                calls += 1
                statuses[status] = statuses.get(status, 0) + 1
                if found is not None and found >= version:
                    self.record(f"{name} reads configuration {found}")
                    return True
            time.sleep(0.5)
        told = ", ".join(f"{'no response' if k is None else k}: {v}"
                         for k, v in statuses.items())
        self.record(f"no node read configuration {version} in {within_s} s: "
                    f"{calls} reads ({told})")
        return False


def run_case(folder, site, play):
    """Plays a case and exits with its status. play(deployment, operator,
    record) returns HELD or BROKEN."""
    record = Record(os.environ.get("RECORD_FOLDER", folder))
    if not os.path.exists(f"{ROOT}/{deploy_command('control')[0]}"):
        record("the programs are not built")
        sys.exit(COULD_NOT_RUN)
    deployment = Deployment(site, record)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        outcome = play(deployment, Operator(deployment, record), record)
    except CannotRun as cause:
        record(f"could not run: {cause}")
        outcome = COULD_NOT_RUN
    finally:
        deployment.close()
    record({HELD: "the rule held", BROKEN: "the rule was broken",
            COULD_NOT_RUN: "could not run"}[outcome])
    sys.exit(outcome)


# sites/tiktak-port-louis.toml: may lose 1 machine with a disk
SMALL = {
    "zones": ["mu-north-a", "mu-north-b", "mu-north-c", "mu-north-d"],
    "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
    "services": ["loan-desk", "manuals"],
    "heartbeat_ms": 1200,
    "core": {"link_mbps": 170.0, "memory_mb": 256, "disk_mb": 128},
    "front": {"link_mbps": 1000.0, "memory_mb": 260, "disk_mb": 0},
}

# grown/tiktak-port-louis-grown.toml: may lose 2 machines with a disk
GROWN = {
    "zones": ["mu-north-a", "mu-north-b", "mu-north-c", "mu-north-d",
              "mu-north-e"],
    "contracts": ["base", "drain", "config", "cost", "recover", "health",
                  "flows"],
    "services": ["loan-desk", "manuals"],
    "heartbeat_ms": 1200,
    "core": {"link_mbps": 170.0, "memory_mb": 256, "disk_mb": 128},
    "front": {"link_mbps": 2.8, "memory_mb": 80, "disk_mb": 0},
}
