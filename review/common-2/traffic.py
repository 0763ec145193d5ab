"""Stand-ins of a host, of the clients with the platform's routers, and of the
links of entry instances, as PROTOCOL.md and DEPLOY.md describe them."""

import asyncio
import json
import os
import socket
import struct
import threading
import time
import zlib

from deployment import CALLS, PACKETS, READY, call, call_redirected

SYN, ACK, FIN, RST = 16, 128, 32, 64
HEAD = struct.Struct(">HHIIBBIIIHI")
SUM = 1  # the key of the sums is not disclosed
HOST_PORT = 8300
MASK = 0xffffffff


def number(address):
    return int.from_bytes(socket.inet_aton(address), "big")


def text(value):
    return socket.inet_ntoa(value.to_bytes(4, "big"))


class Packet:
    def __init__(self, data):
        (self.dport, self.sport, self.dst, self.src, self.flags, _, self.seq,
         self.ack, _, size, self.echo) = HEAD.unpack(data[:32])
        self.data = data[32:32 + size]


def pack(dport, sport, dst, src, flags, seq, ack, echo, data=b""):
    return HEAD.pack(dport, sport, dst, src, flags, 0, seq & MASK, ack & MASK,
                     SUM, len(data), echo) + data


class Host:
    """A host of a service: sends heartbeats, accepts flows and answers each
    request with one packet."""

    def __init__(self, deployment, identity, service, zone):
        self.deployment, self.identity = deployment, identity
        self.service, self.zone = service, zone
        self.address = f"{deployment.network}.{100 + identity % 100}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.flows, self.runs, self.resets, self.closed = {}, 0, [], False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.address, HOST_PORT))
        self.socket.settimeout(0.2)
        for work in (self.serve, self.announce):
            threading.Thread(target=work, daemon=True).start()

    def serve(self):
        while not self.closed:
            try:
                data, _ = self.socket.recvfrom(2048)
            except socket.timeout:
                continue
            except OSError:
                return
            if int.from_bytes(data[:8], "big") in (0, self.identity):
                self.handle(Packet(data[8:]))

    def handle(self, packet):
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        own = zlib.crc32(repr((flow, self.identity)).encode())

        def answer(flags, data=b"", seq=own + 1):
            out = pack(packet.sport, packet.dport, packet.src, packet.dst,
                       flags, seq, packet.seq + max(1, len(packet.data)),
                       packet.echo, data)
            self.socket.sendto(out, (text(packet.src), PACKETS))

        if packet.flags & SYN:
            answer(SYN | ACK, seq=own)
        elif flow not in self.flows and packet.ack != own + 1 & MASK:
            # It may have answered the SYN, but the flow opened elsewhere.
            self.resets.append((time.monotonic(), flow[:2]))
            answer(RST)
        else:
            runs = self.flows.setdefault(flow, {})
            if packet.data and packet.seq not in runs:
                self.runs += 1
                runs[packet.seq] = packet.ack
            if packet.data:
                last = not packet.data.startswith(b"more")
                answer(ACK | FIN if last else ACK, b"done " + packet.data,
                       runs[packet.seq])

    def announce(self):
        """A heartbeat every HeartbeatMs, to the next node after a failure."""
        nodes = 0
        while not self.closed:
            self.sequence += 1
            body = json.dumps({
                "Service": self.service, "Zone": self.zone, "Version": "v1",
                "Address": f"{self.address}:{HOST_PORT}", "Capacity": 2,
                "State": "ready", "WarmupLeftMs": 0, "born": self.born,
                "Sequence": self.sequence})
            controls = [each for each in self.deployment.machines
                        if each.role == "control"]
            for _ in controls:
                node = controls[nodes % len(controls)]
                _, answer = call_redirected(
                    node.address, "POST",
                    f"/v1/Instances.Heartbeat/i-{self.identity:x}", body)
                if answer and answer[0] == 200:
                    break
                nodes += 1
            time.sleep(self.deployment.site["heartbeat_ms"] / 1000)

    def close(self):
        self.closed = True
        self.socket.close()


class Rotation:
    """The platform's routers: nodes that answer the readiness check."""

    def __init__(self, deployment):
        self.deployment, self.misses, self.closed = deployment, {}, False
        threading.Thread(target=self.check, daemon=True).start()

    def entries(self):
        return [each for each in self.deployment.machines
                if each.role == "entry"]

    def check(self):
        while not self.closed:
            for each in self.entries():
                answer = call(each.address, "GET", "/v1/ready", timeout_s=0.4,
                              port=READY)
                good = answer is not None and answer[0] == 200
                self.misses[each.name] = (0 if good else
                                          self.misses.get(each.name, 2) + 1)
            time.sleep(0.5)

    def ready(self):
        return [each for each in self.entries()
                if self.misses.get(each.name, 2) < 2]

    def node_for(self, flow):
        nodes = self.ready()
        if 2 * len(nodes) < len(self.entries()):
            nodes = self.entries()
        return nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]


class Client:
    """Opens a flow for each request and retransmits as PROTOCOL.md says."""

    def __init__(self, deployment, rotation, last_octet=200):
        self.rotation, self.port = rotation, 20000
        self.address = f"{deployment.network}.{last_octet}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.address, PACKETS))

    def receive(self, until, port):
        while True:
            left = until - time.monotonic()
            if left <= 0:
                return None
            self.socket.settimeout(left)
            try:
                packet = Packet(self.socket.recvfrom(2048)[0])
            except (socket.timeout, struct.error):
                return None
            if packet.dport == port:
                return packet

    def request(self, destination, data, deadline_s):
        """One attempt. "served", or how it ended otherwise."""
        self.port += 1
        port, (host, service_port) = self.port, destination
        flow = (self.address, port, host, service_port)
        isn = zlib.crc32(repr(flow).encode())

        def send(flags, seq, ack, echo, payload=b""):
            out = pack(service_port, port, number(host), number(self.address),
                       flags, seq, ack, echo, payload)
            node = self.rotation.node_for(flow)
            self.socket.sendto(out, (node.address, PACKETS))

        start, opened = time.monotonic(), None
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            send(SYN, isn, copy, 0)
            opened = self.receive(time.monotonic() + pause, port)
            if opened:
                break
        if opened is None:
            return "not opened"
        if opened.flags & RST:
            return "reset"
        pause = 0.2
        while time.monotonic() - start < deadline_s:
            send(ACK, isn + 1, opened.seq + 1, opened.echo, data)
            answer = self.receive(time.monotonic() + pause, port)
            pause = min(2 * pause, 1.6)
            if answer is None:
                continue
            if answer.flags & RST:
                return "reset"
            if answer.data == b"done " + data:
                send(ACK | FIN, isn + 1 + len(data), answer.seq + 1,
                     answer.echo)
                return "served"
        return "deadline"


def owner_of(port, machines):
    """The machine whose process has a TCP socket with this local port."""
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    inodes = {f"socket:[{row[9]}]" for row in rows
              if int(row[1].rpartition(":")[2], 16) == port}
    for each in machines:
        if not each.is_running():
            continue
        folder = f"/proc/{each.process.pid}/fd"
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") in inodes:
                    return each.name
            except OSError:
                continue
    return None


class Partitions:
    """TCP proxies before the control instances that can cut some of them off
    from the others, silently and in both directions."""

    def __init__(self, deployment, listen_port):
        self.deployment, self.listen_port = deployment, listen_port
        self.cut = set()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, machine, port):
        future = asyncio.run_coroutine_threadsafe(asyncio.start_server(
            lambda r, w: self.accept(machine, r, w), machine.address, port),
            self.loop)
        future.result(5)

    async def accept(self, machine, reader, writer):
        port = writer.get_extra_info("peername")[1]
        ends = {machine.name, owner_of(port, self.deployment.machines)}
        try:
            behind = await asyncio.open_connection(machine.address,
                                                   self.listen_port)
        except OSError:
            writer.transport.abort()
            return
        state = {"lost": False}
        await asyncio.gather(self.copy(reader, behind[1], ends, state),
                             self.copy(behind[0], writer, ends, state))

    async def copy(self, reader, writer, ends, state):
        """What is sent during a cut is lost, and with it the connection."""
        try:
            while data := await reader.read(65536):
                if self.cut & ends:
                    state["lost"] = True
                if state["lost"]:
                    if not self.cut & ends:
                        break
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


class Links:
    """TCP proxies before the control instances. What they send to an entry
    instance passes at the rate of its link; the rest passes at once."""

    def __init__(self, deployment, listen_port, rate):
        self.deployment, self.listen_port, self.rate = (deployment, listen_port,
                                                        rate)
        self.free_at = {}
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, address, port):
        future = asyncio.run_coroutine_threadsafe(asyncio.start_server(
            lambda r, w: self.accept(address, r, w), address, port), self.loop)
        future.result(5)

    async def accept(self, address, reader, writer):
        try:
            behind = await asyncio.open_connection(address, self.listen_port)
        except OSError:
            writer.transport.abort()
            return
        known = {}
        await asyncio.gather(self.requests(reader, behind[1], known),
                             self.responses(behind[0], writer, known))

    async def requests(self, reader, writer, known):
        """A directory request holds the address of its sender."""
        try:
            while data := await reader.read(65536):
                for each in self.deployment.machines:
                    mark = b"\xce" + socket.inet_aton(each.address)
                    if each.role == "entry" and mark in data:
                        known["entry"] = each.name
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def responses(self, reader, writer, known):
        try:
            while data := await reader.read(4096):
                entry = known.get("entry")
                if entry:
                    now = time.monotonic()
                    start = max(now, self.free_at.get(entry, now))
                    self.free_at[entry] = start + len(data) / self.rate
                    await asyncio.sleep(self.free_at[entry] - now)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class LongFlow:
    """A flow that stays open for many requests, with pauses between them. All
    packets that it gets set the echo of its next ones; with
    ignores_late_answers all but further answers to its SYN do."""

    ignores_late_answers = False

    def __init__(self, address, port, destination, rotation, sock):
        self.flow = (address, port) + destination
        self.rotation, self.socket = rotation, sock
        self.isn = zlib.crc32(repr(self.flow).encode())
        self.seq, self.ack, self.echo = self.isn + 1 & MASK, None, 0
        self.answers, self.ended, self.event = {}, None, threading.Event()
        self.syn_answers, self.opened_at = 0, None

    def send(self, flags, seq, ack, echo, data=b""):
        address, port, host, service_port = self.flow
        out = pack(service_port, port, number(host), number(address), flags,
                   seq, ack, echo, data)
        self.socket.sendto(out, (self.rotation.node_for(self.flow).address,
                                 PACKETS))

    def take(self, packet):
        """Called with each packet for this flow."""
        if packet.flags & RST:
            self.ended = "reset"
            self.event.set()
            return
        late = packet.flags & SYN and self.ack is not None
        if not (late and self.ignores_late_answers):
            self.echo = packet.echo
        if packet.flags & SYN:
            self.syn_answers += 1
            if self.ack is None:
                self.ack = packet.seq + 1 & MASK
                self.opened_at = time.monotonic()
        elif packet.data and packet.seq == self.ack:
            self.ack = packet.seq + len(packet.data) & MASK
            self.answers[packet.ack] = packet.data
        self.event.set()

    def wait(self, seconds, done):
        end = time.monotonic() + seconds
        while not done() and not self.ended:
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.event.wait(left)
            self.event.clear()
        return not self.ended

    def open(self):
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.isn, copy, 0)
            if self.wait(pause, lambda: self.ack is not None):
                return True
            if self.ended:
                break
        self.ended = self.ended or "not opened"
        return False

    def request(self, data, deadline_s=4.0):
        start, pause = time.monotonic(), 0.2
        awaited = self.seq + len(data) & MASK
        while time.monotonic() - start < deadline_s:
            self.send(ACK, self.seq, self.ack, self.echo, data)
            if self.wait(pause, lambda: awaited in self.answers):
                self.seq = awaited
                return True
            if self.ended:
                return False
            pause = min(2 * pause, 1.6)
        self.ended = "deadline"
        return False


class LongFlowClient:
    """Opens long flows from one address."""

    def __init__(self, deployment, rotation, last_octet):
        self.rotation, self.flows, self.port = rotation, {}, 30000
        self.address = f"{deployment.network}.{last_octet}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.address, PACKETS))
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while True:
            packet = Packet(self.socket.recvfrom(2048)[0])
            if packet.dport in self.flows:
                self.flows[packet.dport].take(packet)

    def add(self, destination):
        self.port += 1
        self.flows[self.port] = LongFlow(self.address, self.port, destination,
                                         self.rotation, self.socket)
        return self.flows[self.port]
