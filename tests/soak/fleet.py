"""Runs the programs of a fleet as processes on 127.0.0.0/8, with proxies before
the control instances that delay, reset or drop traffic between instances."""

import asyncio
import os
import shutil
import signal
import subprocess

PACKETS, READY, CALLS, INTERNAL, BEHIND = 8100, 8101, 8200, 7400, 7401


class Proxy:
    """Forwards TCP connections; mode is pass, delay, reset, silent, in or out
    (only that direction passes)."""

    def __init__(self, address):
        self.address, self.mode, self.writers = address, "pass", set()

    async def start(self):
        await asyncio.start_server(self.accept, self.address, INTERNAL)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def accept(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            behind = await asyncio.open_connection(self.address, BEHIND)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, behind[1]}
        await asyncio.gather(self.copy(reader, behind[1], "in"),
                             self.copy(behind[0], writer, "out"))
        self.writers -= {writer, behind[1]}

    async def copy(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.2)
                # Data read while the path drops traffic is lost for good.
                if self.mode in ("pass", "delay", "reset", direction):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


class Instance:
    """A process that only the soak test starts, signals and stops."""

    def __init__(self, fleet, name, address, role):
        self.fleet, self.name, self.address, self.role = (fleet, name, address,
                                                          role)
        self.process, self.disturbed_at = None, 0.0
        self.data = f"{fleet.folder}/{name}"

    def settings(self, first_start):
        lines = [
            f"instance: {{name: {self.name}, data_centre: {self.zone()}}}",
            f"addresses: {{internal: '{self.address}:{INTERNAL}',"
            + (f" listen: '{self.address}:{BEHIND}',"
               f" announcements: '{self.address}:{CALLS}'}}"
               if self.role == "control" else
               f" packets: '{self.address}:{PACKETS}',"
               f" readiness: '{self.address}:{READY}'}}"),
            "seeds: [" + ", ".join(
                f"'{each.address}:{CALLS}'"
                for each in self.fleet.controls[:3]) + "]",
            f"first_start: {str(first_start).lower()}",
            f"data_directory: '{self.data}'", "heartbeat_ms: 500",
            "log: {file: '-'}"]
        return "\n".join(lines) + "\n"

    def zone(self):
        return "abcd"[int(self.address.split(".")[-1]) % 4]

    def start(self, first_start=False):
        # Restarts overlap, and a second process would outlive the test.
        if self.running():
            return
        os.makedirs(self.data, exist_ok=True)
        path = f"{self.fleet.folder}/{self.name}.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(first_start))
        with open(f"{self.fleet.folder}/{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [f"{self.fleet.programs}/boragestand-platform-{self.role}",
                 "--settings", path], stdout=log, stderr=log)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.running():
            self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        self.send(number)
        for _ in range(120):
            if not self.running():
                return
            await asyncio.sleep(0.05)
        self.send(signal.SIGKILL)
        self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Fleet:
    def __init__(self, programs, folder, network):
        self.programs, self.folder = programs, folder
        self.controls, self.entries = [], []
        for number in range(4):
            self.controls.append(Instance(self, f"control-{number}",
                                          f"{network}.{11 + number}",
                                          "control"))
        for number in range(4):
            self.entries.append(Instance(self, f"entry-{number}",
                                         f"{network}.{21 + number}", "entry"))
        self.proxies = [Proxy(each.address) for each in self.controls]

    async def start(self):
        for proxy in self.proxies:
            await proxy.start()
        for each in self.controls + self.entries:
            each.start(first_start=True)

    async def stop(self):
        for each in self.controls + self.entries:
            each.send(signal.SIGCONT)
            await each.end()
