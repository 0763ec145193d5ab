#!/usr/bin/env python3
"""Runs a fleet of real processes under random faults and checks the guarantees
to callers, upstreams and the operator. A seed determines the schedule of
faults; the timing of the processes still varies."""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from fleet import Fleet
from peers import Caller, DRAIN_SECONDS, Operator, Upstream, call

RECOVERY_SECONDS = 12.0
SETTLED_SECONDS = 5.0
DESK, MAPS = ("198.18.0.1", 443), ("198.18.0.2", 443)
ADDED_HOST, FIRST_ADDED_PORT = "198.18.1.1", 1000
MAX_ROUTES = 10000


class World:
    def __init__(self, options):
        self.random = random.Random(options.seed)
        # Of its own, so that growth does not change the schedule of faults.
        self.growth = random.Random(options.seed)
        network = f"127.{100 + os.getpid() % 100}.{options.seed % 250}"
        self.folder = tempfile.mkdtemp(prefix="soak_")
        self.fleet = Fleet(options.programs, self.folder, network)
        self.network, self.failures = network, []
        self.routes = [(*DESK, "desk"), (*MAPS, "maps")]
        self.upstreams, self.callers, self.ready = [], [], {}
        self.runs, self.served, self.asked = {}, 0, 0
        self.last_fault_at, self.stopping = time.monotonic(), False
        self.operator = Operator(self)

    def report(self, what):
        self.failures.append(what)
        print(f"violation: {what}", flush=True)

    def run(self, upstream, name):
        service, kind, _ = name.split("/")
        if service != upstream.service:
            self.report(f"{name} ran at an upstream of {upstream.service}")
        self.runs[name] = self.runs.get(name, 0) + 1
        if kind == "once" and self.runs[name] > 1:
            self.report(f"{name} ran {self.runs[name]} times")
        return name + " done"

    def check_drain(self, upstream):
        now = time.monotonic()
        late = upstream.acknowledged and \
            now - upstream.acknowledged > DRAIN_SECONDS
        if late and now - self.last_fault_at > SETTLED_SECONDS + DRAIN_SECONDS:
            self.report(f"a new flow reached {upstream.identity:x} "
                        f"{now - upstream.acknowledged:.1f} s after its leave")

    def route(self, address, port):
        ready = [each for each in self.fleet.entries if self.ready.get(each)]
        ready = ready or self.fleet.entries
        return ready[hash((address, port)) % len(ready)]

    async def check_readiness(self):
        misses = {}
        while not self.stopping:
            for entry in self.fleet.entries:
                answer = await call(entry.address, "GET", "/v1/ready",
                                    timeout=0.4)
                ready = bool(answer and answer[0] == 200)
                misses[entry] = 0 if ready else misses.get(entry, 0) + 1
                if ready or misses[entry] >= 2:
                    self.ready[entry] = ready
            await asyncio.sleep(0.3)

    async def add_upstream(self, identity, service):
        address = f"{self.network}.{40 + identity}"
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_datagram_endpoint(
            lambda: Upstream(self, identity, service, address),
            local_addr=(address, 8300))
        self.upstreams.append(upstream)
        asyncio.ensure_future(upstream.announce())

    async def add_caller(self, index):
        address = f"{self.network}.{101 + index}"
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_datagram_endpoint(
            lambda: Caller(self, address), local_addr=(address, 8100))
        self.callers.append(caller)
        asyncio.ensure_future(self.run_requests(caller, index))

    async def run_requests(self, caller, index):
        count = 0
        while not self.stopping:
            count += 1
            destination, service = ((MAPS, "maps") if count % 4 == 0
                                    else (DESK, "desk"))
            kind = "once" if count % 3 == 0 else "again"
            self.asked += 1
            name = f"{service}/{kind}/{index}-{count}"
            if await caller.request(destination, name):
                self.served += 1
            await asyncio.sleep(0.02)

    # Fault injection; each fault ends by itself.

    async def restart(self, instance, number, wipe=False):
        await instance.end(number)
        if wipe:
            instance.wipe()
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        instance.start()

    async def freeze(self, instance):
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        instance.send(signal.SIGCONT)

    async def disturb_link(self, index):
        proxy = self.fleet.proxies[index]
        proxy.set_mode(self.random.choice(
            ["delay", "reset", "silent", "in", "out"]))
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        proxy.set_mode("reset")
        proxy.set_mode("pass")

    async def drain_one(self):
        leaving = [each for each in self.upstreams if each.state == "ready"
                   and each.service == "desk"]
        if len(leaving) > 2:
            self.random.choice(leaving).state = "draining"

    async def submit_twice(self):
        for each in self.fleet.controls + self.fleet.entries:
            each.send(signal.SIGHUP)
        await asyncio.gather(self.operator.submit(), self.operator.submit())

    async def grow_plan(self, seconds):
        """Adds many routes at a time, beside the faults."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and len(self.routes) < MAX_ROUTES:
            await asyncio.sleep(self.growth.uniform(0.5, 3.0))
            first = FIRST_ADDED_PORT + len(self.routes)
            count = self.growth.randint(200, 1500)
            self.routes += [(ADDED_HOST, port, "desk")
                            for port in range(first, first + count)]
            if not await self.operator.submit():
                self.report(f"a plan of {len(self.routes)} routes was not "
                            "acknowledged within 20 s")

    async def kill_control_group(self):
        await asyncio.gather(*(self.restart(each, signal.SIGKILL)
                               for each in self.fleet.controls))

    def next_fault(self):
        choice = self.random.randrange(10)
        control = self.random.randrange(len(self.fleet.controls))
        entry = self.random.choice(self.fleet.entries)
        instance = self.fleet.controls[control]
        return [lambda: self.restart(instance, signal.SIGKILL),
                lambda: self.restart(instance, signal.SIGTERM),
                lambda: self.freeze(instance),
                lambda: self.disturb_link(control),
                lambda: self.restart(entry, signal.SIGKILL),
                lambda: self.restart(entry, signal.SIGTERM),
                lambda: self.freeze(entry), self.drain_one,
                self.submit_twice, self.kill_control_group][choice]

    async def inject_faults(self, seconds):
        end, busy = time.monotonic() + seconds, set()
        wiped = False
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            if not wiped and not busy:
                # A disk may be lost only while all other instances are up.
                wiped = True
                instance = self.random.choice(self.fleet.controls)
                fault = self.restart(instance, signal.SIGKILL, wipe=True)
                await fault
                await asyncio.sleep(SETTLED_SECONDS)
                self.last_fault_at = time.monotonic()
                continue
            busy = {task for task in busy if not task.done()}
            if len(busy) < 3:
                busy.add(asyncio.ensure_future(self.next_fault()()))
                self.last_fault_at = time.monotonic()
            await self.operator.read()
        await asyncio.gather(*busy)
        self.last_fault_at = time.monotonic()

    async def run_test(self, seconds):
        await self.fleet.start()
        for identity in range(1, 9):
            await self.add_upstream(identity,
                                    "desk" if identity % 3 else "maps")
        if not await self.operator.submit():
            self.report("the first plan was not acknowledged within 20 s")
        asyncio.ensure_future(self.check_readiness())
        for index in range(6):
            await self.add_caller(index)
        await asyncio.sleep(2.0)
        await asyncio.gather(self.inject_faults(seconds),
                             self.grow_plan(seconds))
        await self.check_recovery()
        await self.check_added_routes()
        self.stopping = True
        for upstream in self.upstreams:
            upstream.alive = False

    async def check_recovery(self):
        await asyncio.sleep(RECOVERY_SECONDS - 2.0)
        asked, served = self.asked, self.served
        version = None
        end = time.monotonic() + 4.0
        while version is None and time.monotonic() < end:
            version = await self.operator.read()
            await asyncio.sleep(0.1)
        if version is None:
            self.report("no plan can be read after the faults")
        await asyncio.sleep(2.0)
        asked, served = self.asked - asked, self.served - served
        if served < 0.9 * asked:
            self.report(f"{served} of {asked} requests served after the faults")

    async def check_added_routes(self):
        caller = self.callers[0]
        added = [each for each in self.routes if each[0] == ADDED_HOST]
        for host, port, _ in self.growth.sample(added, 5) + added[-1:]:
            for attempt in range(3):
                name = f"desk/again/added-{port}-{attempt}"
                if await caller.request((host, port), name):
                    break
            else:
                self.report(f"no request to {host}:{port} is served, which was "
                            "added during the faults")


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", default="build/bin")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    world = World(options)
    try:
        await world.run_test(options.seconds)
    finally:
        await world.fleet.stop()
    print(f"seed {options.seed}: asked {world.asked}, served {world.served}, "
          f"plans {world.operator.acknowledged}, "
          f"routes {len(world.routes)}, "
          f"broken {len(world.failures)}", flush=True)
    if world.failures:
        print(f"logs are kept in {world.folder}")
        sys.exit(1)
    shutil.rmtree(world.folder)


if __name__ == "__main__":
    asyncio.run(main())
