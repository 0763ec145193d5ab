"""The hosts of a service start again in turn, each under its id at another
address; later hosts of another service get their former addresses. The limit
that this breaks is of the gate and no rule by name, so it is no case."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common"))

from base_case import TROUBLE, Case, main  # noqa: E402
from standins import Flow  # noqa: E402

DRAIN_S, REUSE_DELAY_S = 3.0, 2.0
RATE, CALM_S, GAP_S, AFTER_S = 20.0, 4.0, 1.0, 40.0
DEADLINE_S = 3.0
MAX_FAILED = 0.6


class FormerAddresses(Case):
    def __init__(self):
        super().__init__(HERE)
        self.failed, self.port = 0, 20000

    async def try_once(self, client):
        """Each try opens a new flow from a new port."""
        self.port += 1
        flow = Flow(client, self.port, self.routes["desk"])
        client.flows[flow.port] = flow
        done = await self.open(flow) and await self.request(flow, "desk")
        if done:
            await self.close(flow)
        del client.flows[flow.port]
        return done

    async def one_request(self, client):
        """A request with the client's two retries, until its deadline."""
        loop = asyncio.get_running_loop()
        end = loop.time() + DEADLINE_S
        for _ in range(3):
            if await self.try_once(client):
                return
            if loop.time() >= end:
                break
        self.failed += 1

    async def send(self, client):
        while not self.stopping:
            self.add_user(self.one_request(client))
            await asyncio.sleep(1 / RATE)

    async def play(self):
        world = self.world
        former = [each for each in world.hosts if each.service == "desk"]
        for index, host in enumerate(former):
            await host.leave(DRAIN_S + 0.2)
            await world.add_host(host.identity, "desk", host.zone, 61 + index)
        await asyncio.sleep(REUSE_DELAY_S + 0.5)
        client = await world.add_client(101)
        self.add_user(self.send(client))
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            for index, host in enumerate(former):
                await world.add_host(0x7a000001 + index, "maps", host.zone,
                                     int(host.address.split(".")[-1]))
                await asyncio.sleep(GAP_S)
        await asyncio.sleep(AFTER_S)

    def verdict(self):
        done = self.served + self.failed
        return self.failed > MAX_FAILED * done, (
            f"failed {self.failed} of {done} finished requests")


if __name__ == "__main__":
    main(FormerAddresses)
