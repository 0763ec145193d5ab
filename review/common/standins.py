"""Stand-ins of the platform, of hosts and of clients for the cases of the
review. They follow the operators' pages; all of them run in one process and use
loopback addresses only. The programs under test run as separate processes."""

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
import tempfile
import time
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SYN, ACK, FIN, RST = 16, 128, 32, 64
HEAD = struct.Struct(">HHIIBBIIIHI")
PACKETS, READY, CALLS, INTERNAL, HOST = 8172, 8167, 8166, 7720, 8300
HEARTBEAT_S = 1.2
SUM_KEY = b"known to hosts and clients only"


def number(address):
    return int.from_bytes(socket.inet_aton(address), "big")


def text(value):
    return socket.inet_ntoa(value.to_bytes(4, "big"))


class Packet:
    """A packet: a header of 32 bytes and up to 1,200 bytes of data."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0,
                 data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo = flags, seq, ack, echo
        self.data, self.sum = data, 0

    def keyed_sum(self):
        fields = struct.pack(">IHIHBII", self.src, self.sport, self.dst,
                             self.dport, self.flags, self.seq, self.ack)
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def signed(self):
        self.sum = self.keyed_sum()
        return HEAD.pack(self.dport, self.sport, self.dst, self.src,
                         self.flags, 0, self.seq, self.ack, self.sum,
                         len(self.data), self.echo) + self.data

    @staticmethod
    def read(datagram):
        (dport, sport, dst, src, flags, _, seq, ack, total, size,
         echo) = HEAD.unpack(datagram[:32])
        packet = Packet(src, sport, dst, dport, flags, seq, ack, echo,
                        datagram[32:])
        packet.sum = total
        packet.genuine = size == len(packet.data) and \
            total == packet.keyed_sum()
        return packet


async def call(address, port, method, path, body="", timeout=1.0):
    """One HTTP/1.1 request; (status, head, body), or None."""
    async def run():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}"
                         "\r\nContent-Type: application/json\r\n"
                         "Connection: close\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            answer = (await reader.read(-1)).decode()
        finally:
            writer.close()
        head, _, rest = answer.partition("\r\n\r\n")
        return int(head.split()[1]), head, rest
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Machine:
    """A machine of the system with one process of a role."""

    def __init__(self, world, name, role, zone, address):
        self.world, self.name, self.role = world, name, role
        self.zone, self.address = zone, address
        self.process = None
        self.data = f"{world.folder}/{name}-disk"

    def render(self, first_start):
        """Fills in the template of the deploy file as the platform does."""
        control = self.role == "control"
        seeds = [f"{each.address}:{CALLS}" for each in self.world.controls[:3]]
        values = {
            "NodeName": self.name, "Zone": self.zone, "Ip": self.address,
            "InternalPorts.0": INTERNAL,
            "ListenAddrs.DatagramAddr":
                "" if control else f"{self.address}:{PACKETS}",
            "ListenAddrs.Readiness":
                "" if control else f"{self.address}:{READY}",
            "ListenAddrs.ControlPlane":
                f"{self.address}:{CALLS}" if control else "",
            "Bootstrap": first_start, "DataDir": self.data if control else "",
            "HeartbeatMs": int(HEARTBEAT_S * 1000), "Limits.LinkMbps": 1000.0,
            "Limits.MemoryMb": 256, "Limits.DiskMb": 128,
            "Bounds.WarmupOverrun": "", "Bounds.WarmupSlack": "",
        }
        with open(f"{ROOT}/deploy/settings.yaml.in", encoding="utf-8") as file:
            template = file.read()
        zones = sorted({each.zone for each in self.world.controls})
        lists = {"Seeds": seeds, "Zones": zones,
                 "Contracts": ["base", "drain", "config", "flows"]}
        template = re.sub(
            r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n",
            lambda part: "".join(
                part.group(2).replace("{{.|json}}", json.dumps(each))
                .replace("{{@}}", each) for each in lists[part.group(1)]),
            template, flags=re.S)

        def fill(match):
            value = values[match.group(1)]
            if match.group(2) or isinstance(value, bool):
                return json.dumps(value)
            return str(value)
        return re.sub(r"\{\{([A-Za-z0-9.]+)(\|json)?\}\}", fill, template)

    def start(self, first_start=False):
        os.makedirs(self.data, exist_ok=True)
        path = f"{self.world.folder}/{self.name}.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.render(first_start))
        with open(f"{self.world.folder}/{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [f"{ROOT}/target/bin/boragestand-platform-{self.role}",
                 "--settings", path], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.world.note(f"{self.name} started")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number_):
        if self.running():
            self.process.send_signal(number_)

    async def stop(self):
        """A planned stop: SIGTERM, and SIGKILL after GraceS (6 s)."""
        self.world.note(f"{self.name} gets SIGTERM")
        self.signal(signal.SIGTERM)
        end = time.monotonic() + 6.0
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.end()
        self.world.note(f"{self.name} has ended")

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Host(asyncio.DatagramProtocol):
    """Serves requests over flows and answers clients directly."""

    def __init__(self, world, identity, service, zone, address):
        self.world, self.identity = world, identity
        self.service, self.zone, self.address = service, zone, address
        self.name = f"i-{identity:08x}"
        self.flows, self.ended = {}, {}
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.alive = True
        self.acknowledged = None
        self.max_requests = None  # on one flow; the host closes it then

    def connection_made(self, transport):
        self.transport = transport

    def send(self, to, flags, seq, ack, echo, data=b""):
        packet = Packet(to.dst, to.dport, to.src, to.sport, flags, seq, ack,
                        echo, data)
        self.transport.sendto(packet.signed(), (text(to.src), PACKETS))

    def datagram_received(self, data, _):
        if int.from_bytes(data[:8], "big") not in (0, self.identity):
            return
        packet = Packet.read(data[8:])
        if not packet.genuine:
            self.world.note(f"{self.name}: a packet that nobody wrote so")
            return
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self.accept(flow, packet)
            return
        state = self.flows.get(flow)
        if state is None or packet.ack < state["seq"] + 1 or \
                packet.ack > state["next"]:
            self.reject(flow, packet)
            return
        self.take(flow, state, packet)

    def accept(self, flow, packet):
        state = self.flows.get(flow)
        if state is None or state["first"] != packet.seq:
            seq = random.randrange(1 << 31)
            state = {"first": packet.seq, "seq": seq, "next": seq + 1,
                     "expected": packet.seq + 1, "open": False,
                     "echo": packet.echo, "sent": {}, "closed": False,
                     "left": self.max_requests}
            self.flows[flow] = state
            self.ended.pop(flow, None)
        state["echo"] = packet.echo
        self.send(packet, SYN | ACK, state["seq"], packet.seq + 1,
                  state["echo"])

    def reject(self, flow, packet):
        """A packet of a flow that this host does not hold."""
        if packet.flags & RST:
            return
        if flow in self.ended and packet.flags & FIN:
            self.send(packet, ACK, packet.ack, packet.seq + 1, packet.echo)
            return
        if flow in self.ended and not packet.data:
            return
        self.world.note(f"{self.name} resets {text(packet.src)}:{packet.sport}"
                        f": it does not hold that flow")
        self.send(packet, RST | ACK, packet.ack, packet.seq, packet.echo)

    def take(self, flow, state, packet):
        state["echo"] = packet.echo
        if not state["open"]:
            state["open"] = True
            self.world.note(f"flow {text(packet.src)}:{packet.sport} seq "
                            f"{state['first']} opens at {self.name}")
        if packet.flags & RST:
            self.flows.pop(flow, None)
            return
        size = len(packet.data) + (1 if packet.flags & FIN else 0)
        if size == 0:
            return
        if packet.seq != state["expected"]:
            answer = state["sent"].get(packet.seq)
            if answer:
                self.send(packet, *answer[:3], state["echo"], answer[3])
            return
        state["expected"] += size
        if packet.flags & FIN:
            flags = ACK if state["closed"] else FIN | ACK
            answer = (flags, state["next"], state["expected"], b"")
            state["next"] += 0 if state["closed"] else 1
            state["sent"][packet.seq] = answer
            self.send(packet, *answer[:3], state["echo"])
            self.flows.pop(flow, None)
            self.ended[flow] = True
            return
        asyncio.ensure_future(self.run(state, packet))

    async def run(self, state, packet):
        identity = re.search(rb"Request-Id: (\S+)", packet.data).group(1)
        if self.world.on_run:
            self.world.on_run(self, identity.decode())
        await asyncio.sleep(random.uniform(0.01, 0.04))
        body = b"done " + identity
        data = (b"HTTP/1.1 200 OK\r\nServer-Stamp: " + self.name.encode() +
                b"\r\nContent-Length: " + str(len(body)).encode() +
                b"\r\n\r\n" + body)
        if state["left"] is not None:
            state["left"] -= 1
        state["closed"] = state["left"] == 0
        flags = FIN | ACK if state["closed"] else ACK
        answer = (flags, state["next"], state["expected"], data)
        state["next"] += len(data) + (1 if state["closed"] else 0)
        state["sent"][packet.seq] = answer
        self.send(packet, *answer[:3], state["echo"], answer[3])

    async def announce(self):
        controls = self.world.controls
        at = random.randrange(len(controls))
        while self.alive:
            self.sequence += 1
            body = json.dumps({
                "Service": self.service, "Address": f"{self.address}:{HOST}",
                "Zone": self.zone, "Version": "v1", "Capacity": 2,
                "State": self.state, "WarmupLeftMs": 0,
                "Sequence": self.sequence, "born": self.born})
            for _ in controls:
                answer = await call(controls[at].address, CALLS, "POST",
                                    f"/v1/Instances.Heartbeat/{self.name}",
                                    body)
                if answer and 200 <= answer[0] < 300:
                    if '"draining"' in body and not self.acknowledged:
                        self.acknowledged = time.monotonic()
                        self.world.note(f"{self.name}: draining, acknowledged")
                    break
                at = (at + 1) % len(controls)
            await self.pause(HEARTBEAT_S)

    async def pause(self, seconds):
        """Waits for the next heartbeat; a change of state is sent at once."""
        before, end = self.state, time.monotonic() + seconds
        while self.state == before and time.monotonic() < end:
            await asyncio.sleep(0.02)

    async def leave(self, serve_s):
        """A planned shutdown: draining, serving on, deregistered, ended."""
        self.state = "draining"
        if not await self.world.wait_until(lambda: self.acknowledged, 10.0):
            return False
        await asyncio.sleep(serve_s)
        self.alive = False
        body = json.dumps({"born": self.born})
        gone = None
        for control in self.world.controls:
            gone = await call(control.address, CALLS, "POST",
                              f"/v1/Instances.Deregister/{self.name}", body)
            if gone and gone[0] == 200:
                break
        self.transport.close()
        self.world.note(f"{self.name} of service {self.service} has ended")
        return bool(gone and gone[0] == 200)


class Flow:
    """One flow of a client, from its SYN until both ends have sent a FIN."""

    def __init__(self, client, port, destination):
        self.client, self.port, self.destination = client, port, destination
        self.first = random.randrange(1 << 31)
        self.seq, self.ack, self.echo = self.first + 1, 0, 0
        self.host, self.reset = None, None
        self.host_closed, self.closing = False, False
        self.answers = asyncio.Queue()

    def label(self):
        return f"{self.client.address}:{self.port} seq {self.first}"

    def send(self, flags, seq, ack, data=b"", echo=None):
        packet = Packet(number(self.client.address), self.port,
                        number(self.destination[0]), self.destination[1],
                        flags, seq, ack,
                        self.echo if echo is None else echo, data)
        self.client.world.routers.forward(packet, self.client.transport)

    def receive(self, packet, sender):
        if packet.flags & RST:
            self.take_reset(packet, sender)
            return
        if not packet.genuine:
            return
        if packet.flags & SYN:
            # The first answer opens the flow; those of other hosts to a
            # repeated SYN are ignored.
            if self.host is None and packet.ack == self.first + 1:
                self.host, self.echo = sender, packet.echo
                self.ack = packet.seq + 1
                self.answers.put_nowait(packet)
            return
        if sender != self.host:
            return
        self.echo = packet.echo
        size = len(packet.data) + (1 if packet.flags & FIN else 0)
        if size and packet.seq == self.ack:
            self.ack += size
            self.host_closed = bool(packet.flags & FIN)
            self.answers.put_nowait(packet)
        elif self.closing and self.host_closed and packet.ack == self.seq:
            self.answers.put_nowait(packet)

    def take_reset(self, packet, sender):
        of_system = packet.sum == 0
        if not of_system and not packet.genuine:
            return
        if self.host is not None and self.reset is None:
            self.reset = "the system" if of_system else sender
        self.answers.put_nowait(None)

    async def next(self, wait):
        """The next packet; None after a reset; False if none came."""
        try:
            return await asyncio.wait_for(self.answers.get(), wait)
        except asyncio.TimeoutError:
            return False

    async def open(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.first, copy, echo=0)
            answer = await self.next(wait)
            if answer is not False:
                return answer is not None
        return False

    async def exchange(self, flags, data, deadline):
        """Sends data or a FIN and repeats it until the answer comes."""
        seq, wait = self.seq, 0.2
        self.closing = bool(flags & FIN)
        self.seq += len(data) + (1 if flags & FIN else 0)
        end = time.monotonic() + deadline
        while time.monotonic() < end:
            self.send(flags | ACK, seq, self.ack, data)
            answer = await self.next(min(wait, end - time.monotonic()))
            if answer is None:
                return None
            if answer:
                return answer
            wait = min(wait * 2, 1.6)
        return None


class Client(asyncio.DatagramProtocol):
    """The address of some users, with a limited number of source ports."""

    def __init__(self, world, address):
        self.world, self.address, self.flows = world, address, {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, sender):
        packet = Packet.read(data)
        flow = self.flows.get(packet.dport)
        if flow and text(packet.src) == flow.destination[0] and \
                packet.sport == flow.destination[1]:
            flow.receive(packet, sender[0])


class Routers:
    """The platform's routers of one zone: readiness checks twice a second and
    the choice of a node by a hash of the four addresses and ports."""

    def __init__(self, world):
        self.world, self.misses, self.ready = world, {}, {}

    def nodes(self):
        entries = self.world.entries
        ready = [each for each in entries if self.ready.get(each)]
        return ready if 2 * len(ready) >= len(entries) else entries

    def choose(self, packet, count):
        key = struct.pack(">IHIH", packet.src, packet.sport, packet.dst,
                          packet.dport)
        return zlib.crc32(key) % count

    def forward(self, packet, transport):
        nodes = self.nodes()
        node = nodes[self.choose(packet, len(nodes))]
        transport.sendto(packet.signed(), (node.address, PACKETS))

    async def check(self, entry):
        while True:
            began = time.monotonic()
            answer = await call(entry.address, READY, "GET", "/v1/ready",
                                timeout=0.45)
            ready = bool(answer and answer[0] == 200)
            self.misses[entry] = 0 if ready else self.misses.get(entry, 0) + 1
            before = self.ready.get(entry)
            if ready or self.misses[entry] >= 2:
                self.ready[entry] = ready
            if before != self.ready.get(entry):
                self.world.note(
                    f"{entry.name} is {'in' if ready else 'out of'} rotation")
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - began)))


class World:
    """A small deployment: control machines, entry machines, hosts, clients. The
    third octet of its addresses is above 0; routes have addresses with 0."""

    def __init__(self, record):
        self.record = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review_")
        self.network = self.free_network()
        self.controls, self.entries, self.hosts = [], [], []
        self.clients, self.tasks = [], []
        self.routers = Routers(self)
        self.on_run = None  # called with a host and the id of a request

    @staticmethod
    def free_network():
        for _ in range(50):
            network = f"127.{random.randrange(20, 250)}" \
                      f".{random.randrange(1, 250)}"
            try:
                for port in (PACKETS, READY, CALLS, INTERNAL, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.11", port))
                return network
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def note(self, what):
        if self.record.closed:
            return
        self.record.write(f"{time.monotonic() - self.began:8.3f} s  {what}\n")

    def machine(self, name, role, zone, last):
        machine = Machine(self, name, role, zone, f"{self.network}.{last}")
        (self.controls if role == "control" else self.entries).append(machine)
        return machine

    async def add_host(self, identity, service, zone, last):
        address = f"{self.network}.{last}"
        host = Host(self, identity, service, zone, address)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: host, local_addr=(address, HOST))
        self.hosts.append(host)
        self.spawn(host.announce())
        self.note(f"{host.name} of service {service} starts at {address}")
        return host

    async def restart_host(self, former, service):
        """Starts a host at a former one's address under the id it had."""
        return await self.add_host(former.identity, service, former.zone,
                                   int(former.address.split(".")[-1]))

    async def add_client(self, last):
        address = f"{self.network}.{last}"
        client = Client(self, address)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: client, local_addr=(address, PACKETS))
        self.clients.append(client)
        return client

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def order(self, method, path, body=""):
        """A call of the operator: 307 is followed twice."""
        address = random.choice(self.controls).address
        for _ in range(3):
            answer = await call(address, CALLS, method, path, body)
            if not answer or answer[0] != 307:
                return answer
            address = re.search(r"(?i)location: http://([0-9.]+)",
                                answer[1]).group(1)
        return answer

    async def configure(self, body, patience=15.0):
        """Sends a configuration until it is acknowledged."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            answer = await self.order("POST", "/v1/Config.Replace", body)
            if answer and answer[0] == 200:
                self.note("a configuration is acknowledged")
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_until(self, condition, patience):
        end = time.monotonic() + patience
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    def close(self, failed):
        for task in self.tasks:
            task.cancel()
        for machine in self.controls + self.entries:
            machine.end()
        self.record.close()
        if failed and os.environ.get("KEEP_LOGS"):
            print(f"logs are kept in {self.folder}")
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, extra=()):
    """A whole configuration; routes are (hostname, port, service)."""
    services = sorted({each[2] for each in routes} | set(extra))
    return json.dumps({
        "Version": version,
        "Routes": [{"Name": f"r-{port}", "Hostname": hostname,
                    "PathPrefix": f"/{port}/", "Type": "idempotent",
                    "TimeoutMs": 3000, "TargetLatencyMs": 150, "Priority": 2,
                    "Service": service, "Attempts": 2}
                   for hostname, port, service in routes],
        "Services": [{"Name": name, "HealthPath": "/health",
                      "MaxConnections": 2000, "Protocol": "h1", "Tls": False}
                     for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
