"""Stand-ins of callers, upstreams and the operator. Each checks the guarantees
that it can observe and reports violations."""

import asyncio
import json
import random
import struct
import time

from fleet import CALLS, PACKETS, READY

SYN, ACK, FIN, RST = 16, 128, 32, 64
HEAD = struct.Struct(">HHIIBBIIIHI")
DRAIN_SECONDS = 4.0


def number(address):
    return int.from_bytes(bytes(map(int, address.split("."))), "big")


def text(value):
    return ".".join(map(str, value.to_bytes(4, "big")))


def pack(dport, sport, dst, src, flags, seq, ack, token, data=b"", key=1):
    return HEAD.pack(dport, sport, dst, src, flags, 0, seq, ack, key, len(data),
                     token) + data


async def call(address, method, path, body="", timeout=1.0):
    """One HTTP/1.1 request; (status, headers, body), or None."""
    async def run():
        reader, writer = await asyncio.open_connection(address, CALLS
                                                       if path != "/v1/ready"
                                                       else READY)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nhost: {address}\r\n"
                         f"connection: close\r\n"
                         f"content-length: {len(body)}\r\n\r\n{body}".encode())
            answer = (await reader.read(-1)).decode()
        finally:
            writer.close()
        head, _, rest = answer.partition("\r\n\r\n")
        return int(head.split()[1]), head, rest
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Upstream(asyncio.DatagramProtocol):
    """Serves requests and answers callers directly."""

    def __init__(self, world, identity, service, address):
        self.world, self.identity = world, identity
        self.service, self.address = service, address
        self.flows, self.sequence, self.state = {}, 0, "ready"
        self.born, self.acknowledged = int(time.time() * 1000), None
        self.alive = True

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        if not self.alive or int.from_bytes(data[:8], "big") != self.identity:
            return
        dport, sport, dst, src, flags, _, seq, _, key, size, token = \
            HEAD.unpack(data[8:40])
        flow = (src, sport)
        def answer(bits, payload=b""):
            packet = pack(sport, dport, src, dst, bits, self.identity & 0xffff,
                          seq + 1, token, payload, key)
            self.transport.sendto(packet, (text(src), PACKETS))
        if flags & SYN:
            self.world.check_drain(self)
            self.flows.setdefault(flow, None)
            answer(SYN | ACK)
        elif flow not in self.flows:
            answer(RST)
        elif size:
            if self.flows[flow] is None:
                self.flows[flow] = self.world.run(self, data[40:].decode())
            answer(ACK | FIN, self.flows[flow].encode())

    async def announce(self):
        while self.alive:
            self.sequence += 1
            body = json.dumps({
                "Service": self.service, "Address": f"{self.address}:8300",
                "Zone": "abcd"[self.identity % 4], "Version": "v1",
                "Capacity": 2, "State": self.state, "WarmupLeftMs": 0,
                "Sequence": self.sequence, "born": self.born})
            for control in random.sample(self.world.fleet.controls, 4):
                answer = await call(control.address, "POST",
                                    f"/v1/Instances.Heartbeat/i-"
                                    f"{self.identity:08x}", body)
                if answer and answer[0] == 200:
                    if self.state == "draining" and not self.acknowledged:
                        self.acknowledged = time.monotonic()
                    break
            await asyncio.sleep(0.5)


class Caller(asyncio.DatagramProtocol):
    """Opens a flow for each request and retransmits unanswered packets."""

    def __init__(self, world, address):
        self.world, self.address, self.next_port = world, address, 1024
        self.waiting = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        dport, _, _, _, flags, _, _, _, key, _, token = HEAD.unpack(data[:32])
        if dport in self.waiting:
            self.waiting[dport].put_nowait((flags, key, token, data[32:]))

    async def request(self, destination, name):
        """Returns True if the complete answer arrived."""
        self.next_port += 1
        port, answers = self.next_port, asyncio.Queue()
        self.waiting[port] = answers
        try:
            return await self.exchange(destination, name, port, answers)
        finally:
            del self.waiting[port]

    def send(self, destination, port, flags, seq, ack, token, data=b""):
        entry = self.world.route(self.address, port)
        if entry:
            self.transport.sendto(
                pack(destination[1], port, number(destination[0]),
                     number(self.address), flags, seq, ack, token, data),
                (entry.address, PACKETS))

    async def exchange(self, destination, name, port, answers):
        answer = None
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(destination, port, SYN, 7, copy, 0)
            answer = await self.next(answers, wait)
            if answer:
                break
        if not answer or answer[0] & RST:
            return False
        token = answer[2]
        for wait in (0.2, 0.4, 0.8, 1.6):
            self.send(destination, port, ACK, 8, 1, token, name.encode())
            while answer := await self.next(answers, wait):
                if answer[0] & RST and answer[1] == 0:
                    self.world.report(f"{name}: reset by the fleet on an open "
                                      f"flow, port {port}")
                if answer[0] & RST:
                    return False
                if answer[0] & FIN:
                    self.send(destination, port, ACK | FIN, 9, 2, token)
                    if answer[3].decode() != name + " done":
                        self.world.report(f"{name}: answer of another request")
                    return True
        return False

    @staticmethod
    async def next(answers, wait):
        try:
            return await asyncio.wait_for(answers.get(), wait)
        except asyncio.TimeoutError:
            return None


class Operator:
    """Submits plans, also repeatedly and concurrently, and reads them back."""

    def __init__(self, world):
        self.world, self.version = world, 0
        self.acknowledged, self.sent = 0, {}

    def plan(self, version, routes):
        services = [{"Name": name, "HealthPath": "/h", "MaxConnections": 2000}
                    for name in sorted({each[2] for each in routes})]
        return json.dumps({
            "Version": version, "Services": services, "Routes": [
                {"Name": f"r{port}", "Hostname": host,
                 "PathPrefix": f"/{port}/", "Type": "idempotent",
                 "TimeoutMs": 1000 + version, "Service": service}
                for host, port, service in routes]})

    async def submit(self, patience=20.0):
        self.version += random.randint(1, 4)
        version = self.version
        body = self.plan(version, self.world.routes)
        self.sent.setdefault(version, set()).add(body)
        end = time.monotonic() + patience
        while time.monotonic() < end:
            answer = await self.ask("POST", "/v1/Config.Replace", body)
            if answer and answer[0] == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if answer and 400 <= answer[0] < 500:
                self.world.report(f"plan {version} refused: {answer[0]}")
            await asyncio.sleep(0.2)
        return False

    async def ask(self, method, path, body=""):
        address = random.choice(self.world.fleet.controls).address
        for _ in range(3):
            answer = await call(address, method, path, body)
            if not answer or answer[0] != 307:
                return answer
            location = [line.split("//")[1] for line in answer[1].split("\r\n")
                        if line.lower().startswith("location:")]
            address = location[0].split(":")[0]
        return None

    async def read(self):
        known = self.acknowledged
        answer = await self.ask("GET", "/v1/Config.Get")
        if not answer or answer[0] != 200:
            return None
        version = json.loads(answer[2])["Version"]
        if version < known:
            self.world.report(f"read {version} after {known} was acknowledged")
        if answer[2] not in self.sent.get(version, set()):
            self.world.report(f"read other content under version {version}")
        return version
