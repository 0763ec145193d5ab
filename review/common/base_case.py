"""What the cases share: a small deployment that has started, users that send
requests, and the verdict."""

import asyncio
import os
import random
import signal
import sys
import traceback

from standins import ACK, FIN, Flow, World, configuration

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """One run of a case; a case overrides play() and verdict()."""

    limit_s = 110.0
    entries = 3
    services = ("desk",) * 4 + ("maps",) * 2  # of the hosts
    routes = {"desk": ("127.198.0.1", 8443), "maps": ("127.198.0.2", 8080)}
    max_requests = None  # on one flow, after which the host closes it

    def __init__(self, folder):
        self.world = World(os.path.join(folder, "record.txt"))
        self.asked = self.served = self.opened = 0
        self.users, self.stopping = [], False

    async def play(self):
        """Brings the disruption about."""
        raise NotImplementedError

    def verdict(self):
        """(whether the rule was broken, what was seen)."""
        raise NotImplementedError

    async def prepare(self):
        """Starts the system with a configuration and all hosts."""
        world = self.world
        for last, zone in ((11, "zone-a"), (12, "zone-b"), (13, "zone-c")):
            world.machine(f"core-{zone}-1", "control", zone, last)
        for index in range(self.entries):
            world.machine(f"frontend-zone-a-{index + 1}", "entry", "zone-a",
                          21 + index)
        for machine in world.controls + world.entries:
            machine.start(first_start=True)
        for index, service in enumerate(self.services):
            host = await world.add_host(random.randrange(1, 1 << 32), service,
                                        f"zone-{'abc'[index % 3]}", 41 + index)
            host.max_requests = self.max_requests
        for entry in world.entries:
            world.spawn(world.routers.check(entry))
        routes = [(*place, service) for service, place in self.routes.items()]
        started = await world.configure(configuration(1, routes)) and \
            await world.wait_until(
                lambda: all(world.routers.ready.get(each)
                            for each in world.entries), 10.0)
        await asyncio.sleep(2.0)
        return started

    def stop(self):
        """Ends all users; the processes are ended by World.close()."""
        self.stopping = True
        for user in self.users:
            user.cancel()

    async def watch(self, machine, ends):
        """The platform starts a process that has ended by itself again."""
        while not self.stopping:
            if not machine.running():
                ends.append(machine)
                self.world.note(f"{machine.name} ends by itself, status "
                                f"{machine.process.returncode}")
                await asyncio.sleep(0.5)
                machine.start()
            await asyncio.sleep(0.05)

    def add_user(self, work):
        self.users.append(asyncio.ensure_future(work))

    async def request(self, flow, service, index=0):
        """One request on an open flow; False if it was not answered."""
        self.asked += 1
        name = f"{service}-{flow.first:x}-{index}"
        answer = await flow.exchange(
            0, f"GET /{service} HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n"
            .encode(), 3.0)
        if not answer or name.encode() not in answer.data:
            return False
        self.served += 1
        flow.send(ACK, flow.seq, flow.ack)
        return True

    async def open(self, flow):
        if await flow.open():
            self.opened += 1
            return True
        self.world.note(f"flow {flow.label()}: not opened")
        return False

    async def close(self, flow):
        """False if the host did not close the flow, too."""
        if not await flow.exchange(FIN, b"", 3.0):
            return False
        flow.send(ACK, flow.seq, flow.ack)
        return True

    async def use_new_ports(self, client, port, step, services):
        """Opens a flow for each request, each from a new port."""
        while not self.stopping:
            service = random.choice(services)
            flow = Flow(client, port, self.routes[service])
            client.flows[port] = flow
            if await self.open(flow) and await self.request(flow, service):
                await self.close(flow)
            del client.flows[port]
            port += step
            await asyncio.sleep(random.uniform(0.05, 0.25))

    async def run(self):
        if not await self.prepare():
            print("the system did not start")
            return 2
        await self.play()
        self.stop()
        broken, seen = self.verdict()
        if not broken and 2 * self.served < self.asked:
            seen += "; too little was served to judge"
            broken = None
        status = {True: 1, False: 0, None: 2}[broken]
        summary = (f"flows opened {self.opened}, requests {self.asked}, served "
                   f"{self.served}; {seen}; status {status}")
        self.world.note(summary)
        print(summary)
        return status


async def run_limited(case):
    status = 2
    run = asyncio.ensure_future(case.run())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, run.cancel)
    try:
        status = await asyncio.wait_for(run, case.limit_s)
    except asyncio.TimeoutError:
        print("the case took too long")
    except asyncio.CancelledError:
        print("the case was stopped")
    except Exception:  # a fault of the case is no verdict
        traceback.print_exc()
    finally:
        case.stop()
        case.world.close(status != 0)
    return status


def main(make_case):
    status = 2
    try:
        status = asyncio.run(run_limited(make_case()))
    except Exception:
        traceback.print_exc()
    sys.exit(status)
