"""Stand-ins for case 11: machines with the project's programs, hosts,
clients, the operator and the platform's routers, all on loopback addresses."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SYN, ACK, FIN, RST = 16, 128, 32, 64
HEAD = struct.Struct(">HHIIBBIIIHI")
MASK = 0xffffffff


def number(address):
    return int.from_bytes(bytes(map(int, address.split("."))), "big")


def text(value):
    return ".".join(map(str, value.to_bytes(4, "big")))


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells."""
    def look_up(name, scopes):
        if name == ".":
            return scopes[-1][0]
        if name == "@":
            return scopes[-1][1]
        for scope, _ in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
            if value is not None:
                return value
        return None

    def plain(value, as_json):
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    def fill(part, scopes):
        section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)

        def repeat(match):
            value = look_up(match[1], scopes) or []
            items = value.items() if isinstance(value, dict) else enumerate(
                value)
            return "".join(fill(match[2], scopes + [(each, key)])
                           for key, each in items)

        part = section.sub(repeat, part)
        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}",
                      lambda m: plain(look_up(m[1], scopes), m[2]), part)

    return fill(template, [(fields, None)])


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(
            map(str, words))
        self.file.write(line + "\n")
        self.file.flush()


class Machine:
    """One machine with the process of its role."""

    def __init__(self, fleet, name, address, role, zone):
        self.fleet, self.name, self.address = fleet, name, address
        self.role, self.zone, self.process = role, zone, None
        self.data = f"{fleet.folder}/{name}"
        self.seeds = None

    def fields(self, bootstrap):
        entry = self.role == "entry"
        fleet = self.fleet
        listen = ({"DatagramAddr": f"{self.address}:{fleet.datagram}",
                   "Readiness": f"{self.address}:{fleet.ready}"}
                  if entry else
                  {"ControlPlane": f"{self.address}:{fleet.control}"})
        return {
            "NodeName": self.name, "Ip": self.address, "Zone": self.zone,
            "Zones": {each: "region" for each in fleet.zones},
            "ListenAddrs": listen,
            "InternalPorts": [fleet.internal, fleet.internal + 15],
            "Seeds": [f"{each}:{fleet.control}" for each in
                      (self.seeds or fleet.seeds())],
            "Bootstrap": bootstrap, "CountsAsLoss": not entry,
            "Limits": {"LinkMbps": 1000.0, "MemoryMb": 256,
                       "DiskMb": 0 if entry else 128},
            "DataDir": None if entry else self.data, "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover",
                          "flows"],
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": {}}

    def write_settings(self, bootstrap):
        with open(f"{ROOT}/deploy/settings.yaml.in", encoding="utf-8") as file:
            rendered = render(file.read(), self.fields(bootstrap))
        path = f"{self.fleet.folder}/{self.name}.yaml"
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(rendered)
        os.replace(path + ".new", path)
        return path

    def start(self, bootstrap=False):
        os.makedirs(self.data, exist_ok=True)
        path = self.write_settings(bootstrap)
        log = open(f"{self.fleet.folder}/{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [f"{ROOT}/target/bin/boragestand-platform-{self.role}",
             "--settings", path], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.fleet.record("start", self.name, "process", self.process.pid)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, signal_number):
        if self.running():
            self.fleet.record("signal", signal.Signals(signal_number).name,
                              "to", self.name)
            self.process.send_signal(signal_number)

    async def ended(self, seconds=10.0):
        end = time.monotonic() + seconds
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return not self.running()


class Fleet:
    def __init__(self, record, zones=("z1",)):
        self.record, self.zones = record, list(zones)
        self.folder = tempfile.mkdtemp(prefix="boragestand-case-")
        self.datagram, self.ready, self.control = 8172, 8167, 8166
        self.internal = 7720
        self.controls, self.entries, self.seed_list = [], [], None
        self.network = self.free_network()

    def free_network(self):
        """A part of 127.0.0.0/8 on which the ports of a day are free."""
        while True:
            network = (f"127.{random.randint(20, 220)}."
                       f"{random.randint(1, 250)}")
            try:
                for last in (11, 12, 13, 14, 31, 32):
                    for port in (self.ready, self.control, self.internal,
                                 9464):
                        with socket.socket() as probe:
                            probe.bind((f"{network}.{last}", port))
                return network
            except OSError:
                continue

    def add_control(self, index, zone=None):
        machine = Machine(self, f"control-{index}",
                          f"{self.network}.{10 + index}", "control",
                          zone or self.zones[index % len(self.zones)])
        self.controls.append(machine)
        return machine

    def add_entry(self, index, zone=None):
        machine = Machine(self, f"entry-{index}", f"{self.network}.{30 + index}",
                          "entry", zone or self.zones[index % len(self.zones)])
        self.entries.append(machine)
        return machine

    def seeds(self):
        return self.seed_list or [each.address for each in self.controls[:3]]

    def close(self):
        machines = self.controls + self.entries
        for each in machines:
            if each.running():
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
        for each in machines:
            if each.process is not None:
                each.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, port, method, path, body="", timeout=1.0):
    """One HTTP/1.1 call: (status, headers, body), or None without an answer."""
    async def run():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Connection: close\r\n"
                    f"Content-Length: {len(body.encode())}\r\n\r\n")
            writer.write((head + body).encode())
            answer = (await reader.read(-1)).decode()
        finally:
            writer.close()
        first, _, rest = answer.partition("\r\n\r\n")
        lines = first.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in
                   (each.partition(":") for each in lines[1:])}
        return int(lines[0].split()[1]), headers, rest
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Operator:
    """Sends and reads configurations at the machines that serve control."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def one(self, method, path, body, address):
        for _ in range(3):
            answer = await call(address, self.fleet.control, method, path, body)
            self.fleet.record(method, path, "at", address, "->",
                              answer[0] if answer else "no answer")
            if not answer or answer[0] != 307:
                return answer
            address = answer[1]["location"].split("//")[1].split(":")[0]
        return answer

    async def order(self, method, path, body="", seconds=20.0, at=None):
        """Repeats the call at one machine after the other until it is
        acknowledged or refused."""
        pause, end = 0.1, time.monotonic() + seconds
        nodes = at or [each.address for each in self.fleet.controls]
        position = 0
        while time.monotonic() < end:
            answer = await self.one(method, path, body,
                                    nodes[position % len(nodes)])
            position += 1
            if answer and (answer[0] == 200 or
                           answer[0] in (400, 409, 412, 413, 422)):
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.0)
        return None

    @staticmethod
    def configuration(version, routes, services, timeout=3000):
        """routes: (name, host address, port, service)."""
        return json.dumps({
            "Version": version,
            "Routes": [{"Name": name, "Hostname": host,
                        "PathPrefix": f"/{port}/", "Type": "idempotent",
                        "TimeoutMs": timeout, "TargetLatencyMs": 200,
                        "Priority": 1, "Service": service, "Attempts": 2}
                       for name, host, port, service in routes],
            "Services": [{"Name": name, "HealthPath": "/health",
                          "MaxConnections": 2000, "Protocol": "h1",
                          "Tls": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})


class Routers:
    """The platform's routers of one zone: readiness is checked twice a second,
    two misses take a machine out, and a hash picks one by `mod`."""

    def __init__(self, fleet, entries):
        self.fleet, self.entries = fleet, entries
        self.misses = {each.name: 2 for each in entries}
        self.task = None

    def start(self):
        self.task = asyncio.create_task(self.check())

    async def check(self):
        while True:
            await asyncio.gather(*(self.check_one(each)
                                   for each in self.entries))
            await asyncio.sleep(0.5)

    async def check_one(self, entry):
        answer = await call(entry.address, self.fleet.ready, "GET", "/v1/ready",
                            timeout=0.4)
        before = self.misses[entry.name]
        ready = answer is not None and answer[0] == 200
        self.misses[entry.name] = 0 if ready else before + 1
        if (before >= 2) != (self.misses[entry.name] >= 2):
            self.fleet.record("router:", entry.name,
                              "in rotation" if ready else "out of rotation")

    def in_rotation(self):
        ready = [each for each in self.entries if self.misses[each.name] < 2]
        return ready if 2 * len(ready) >= len(self.entries) else self.entries

    def pick(self, client, sport, destination, dport):
        nodes = self.in_rotation()
        mixed = hash((number(client), sport, number(destination), dport))
        return nodes[mixed % len(nodes)]


def pack(dport, sport, dst, src, flags, seq, ack, echo, data=b""):
    key = (dport * 31 + sport * 17 + seq * 7 + ack * 3 + flags) & MASK
    return HEAD.pack(dport, sport, dst, src, flags, 0, seq & MASK, ack & MASK,
                     key, len(data), echo) + data


class Packet:
    def __init__(self, data):
        (self.dport, self.sport, self.dst, self.src, self.flags, _, self.seq,
         self.ack, self.key, self.size, self.echo) = HEAD.unpack(data[:32])
        self.data = data[32:]

    def is_sound(self):
        return self.key == (self.dport * 31 + self.sport * 17 + self.seq * 7 +
                            self.ack * 3 + self.flags) & MASK


class Host(asyncio.DatagramProtocol):
    """A host: answers SYNs, runs one request for each piece of data, and sends
    RST for packets of flows that it does not hold."""

    def __init__(self, fleet, name, identity, service, address, zone="z1",
                 port=8300):
        self.fleet, self.name, self.identity = fleet, name, identity
        self.service, self.address, self.zone = service, address, zone
        self.port, self.state = port, "ready"
        self.flows, self.sequence = {}, 0
        self.born = int(time.time() * 1000)
        self.transport = self.task = None

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port))
        self.task = asyncio.create_task(self.beat())

    def connection_made(self, transport):
        self.transport = transport

    def body(self):
        return json.dumps({
            "Service": self.service, "Address": f"{self.address}:{self.port}",
            "Zone": self.zone, "Version": "v1", "Capacity": 2,
            "State": self.state, "WarmupLeftMs": 0, "Sequence": self.sequence,
            "born": self.born})

    async def beat(self):
        position = random.randrange(100)
        while True:
            self.sequence += 1
            for _ in self.fleet.controls:
                node = self.fleet.controls[position % len(self.fleet.controls)]
                answer = await call(
                    node.address, self.fleet.control, "POST",
                    f"/v1/Instances.Heartbeat/i-{self.identity:08x}",
                    self.body())
                if answer and 200 <= answer[0] < 300:
                    break
                position += 1
            await asyncio.sleep(1.2)

    def send(self, packet, flags, seq, ack, echo, data=b""):
        """Answers the client of a packet directly."""
        reply = pack(packet.sport, packet.dport, packet.src, packet.dst, flags,
                     seq, ack, echo, data)
        self.transport.sendto(reply,
                              (text(packet.src), self.fleet.datagram))

    def datagram_received(self, data, _):
        if int.from_bytes(data[:8], "big") not in (0, self.identity):
            return
        packet = Packet(data[8:])
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        held = self.flows.get(flow)
        what = "SYN" if packet.flags & SYN else (
            packet.data.decode(errors="replace") or "flags " +
            str(packet.flags))
        self.fleet.record(self.name, "gets", what, "of flow", packet.sport,
                          "echo", f"{packet.echo:08x}",
                          "" if held or packet.flags & SYN
                          else "(not its flow)",
                          "" if packet.is_sound() else "CHANGED")
        if packet.flags & SYN:
            if held is None or held["isn"] != packet.seq:
                held = {"isn": packet.seq, "own": random.randrange(1 << 30),
                        "open": False, "expected": packet.seq + 1, "sent": 0}
                self.flows[flow] = held
            held["echo"] = packet.echo
            self.send(packet, SYN | ACK, held["own"], packet.seq + 1,
                      held["echo"])
            return
        if held is None:
            if not packet.flags & RST:
                self.send(packet, RST | ACK, packet.ack, packet.seq,
                          packet.echo)
            return
        if not held["open"]:
            if packet.ack != held["own"] + 1:
                # The client has acknowledged another host.
                self.fleet.record(self.name, "ignores it: acknowledges",
                                  "another host's number")
                return
            held["open"] = True
            self.fleet.record(self.name, "holds flow", packet.sport)
        held["echo"] = packet.echo
        if packet.size and packet.seq == held["expected"]:
            held["expected"] += packet.size
            answer = b"answer to " + packet.data
            seq = held["own"] + 1 + held["sent"]
            held["sent"] += len(answer)
            held["last"] = (seq, answer)
            self.fleet.record(self.name, "runs", packet.data.decode())
            self.send(packet, ACK, seq, held["expected"], held["echo"], answer)
        elif packet.size and "last" in held:
            seq, answer = held["last"]
            self.send(packet, ACK, seq, held["expected"], held["echo"], answer)


class ClientFlow:
    """A client's end of one flow, kept open for many requests."""

    def __init__(self, client, sport, destination, dport):
        self.client, self.sport = client, sport
        self.destination, self.dport = destination, dport
        self.seq, self.echo, self.peer = random.randrange(1 << 30), 0, None
        self.expected, self.reset, self.answers = None, None, asyncio.Queue()
        self.opened, self.first = asyncio.Event(), b""

    def send(self, flags, seq, ack, data=b""):
        echo = 0 if flags & SYN else self.echo
        node = self.client.routers.pick(self.client.address, self.sport,
                                        self.destination, self.dport)
        self.client.fleet.record(
            "client flow", self.sport, "sends",
            "SYN copy " + str(ack) if flags & SYN else data.decode() or "ACK",
            "through", node.name, "echo", f"{echo:08x}")
        self.client.transport.sendto(
            pack(self.dport, self.sport, number(self.destination),
                 number(self.client.address), flags, seq, ack, echo, data),
            (node.address, self.client.fleet.datagram))

    async def open(self, first=""):
        """Opens the flow; the first request goes with the acknowledgement."""
        self.first = first.encode()
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, copy)
            try:
                await asyncio.wait_for(self.opened.wait(), wait)
                return True
            except asyncio.TimeoutError:
                continue
        return False

    async def request(self, name, seconds=6.0):
        """Sends one request and repeats it after 200 ms, doubled up to 1.6 s;
        returns whether the whole answer came."""
        data = name.encode()
        sent, wait = data == self.first, 0.2
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.reset is None:
            if not sent:
                self.send(ACK, self.sent_seq, self.expected, data)
            sent = False
            try:
                answer = await asyncio.wait_for(self.answers.get(), wait)
            except asyncio.TimeoutError:
                wait = min(wait * 2, 1.6)
                continue
            if answer is None:
                break
            if answer == b"answer to " + data:
                self.sent_seq += len(data)
                return True
            self.client.fleet.record("client flow", self.sport,
                                     "gets another answer", answer)
        return False

    def receive(self, packet):
        self.client.fleet.record(
            "client flow", self.sport, "gets",
            "RST" if packet.flags & RST else
            "SYN+ACK" if packet.flags & SYN else
            packet.data.decode(errors="replace") or "ACK", "echo",
            f"{packet.echo:08x}")
        if packet.flags & RST:
            if self.reset is None:
                self.reset = packet
                self.answers.put_nowait(None)
            return
        # PROTOCOL.md, Packets: the last echo that came on the flow.
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.opened.is_set():
                self.expected = packet.seq + 1
                self.sent_seq = self.seq + 1
                self.send(ACK, self.sent_seq, self.expected, self.first)
                self.opened.set()
            return
        if packet.size and packet.seq == self.expected:
            self.expected += packet.size
            self.answers.put_nowait(packet.data)


class Client(asyncio.DatagramProtocol):
    def __init__(self, fleet, routers, address):
        self.fleet, self.routers, self.address = fleet, routers, address
        self.flows, self.transport = {}, None

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.fleet.datagram))

    def connection_made(self, transport):
        self.transport = transport

    def flow(self, sport, destination, dport):
        self.flows[sport] = ClientFlow(self, sport, destination, dport)
        return self.flows[sport]

    def datagram_received(self, data, _):
        packet = Packet(data)
        if packet.dport in self.flows:
            self.flows[packet.dport].receive(packet)


async def until(check, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        await asyncio.sleep(0.05)
    return False


class NotRunnable(Exception):
    pass


def run_case(folder, case, trouble):
    """Runs a case, with its disruption if trouble is set; exits with 1 if it
    reports broken rules, 0 if not, 2 if it couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    record("trouble", "on" if trouble else "off")
    fleet = None

    async def main():
        nonlocal fleet
        fleet = Fleet(record, ("z1", "z2", "z3", "z4"))
        return await asyncio.wait_for(case(fleet, trouble), 115)

    status = 2
    try:
        broken = asyncio.run(main())
        for each in broken:
            record("BROKEN", each)
            print("broken:", each)
        if not broken:
            record("all rules held")
        status = 1 if broken else 0
    except Exception as fault:  # an error of the stand-ins is no verdict
        record("could not run:", repr(fault))
        print("could not run:", repr(fault))
    finally:
        if fleet:
            fleet.close()
    record("exit status", status)
    sys.exit(status)
