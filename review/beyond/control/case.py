"""A host starts again at another address under the id that it had, and leaves.
Two minutes later a new host starts at its first address, and the control
processes end. This takes longer than a case may, so it is none."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common"))

from base_case import TROUBLE, Case, main  # noqa: E402

DRAIN_S, REUSE_DELAY_S = 3.0, 2.0
# Control instances keep the record of an upstream that is gone for 120 s.
GONE_S, AFTER_S = 122.0, 8.0
FIRST, OTHER = 41, 61


class EndOfControl(Case):
    limit_s = 170.0

    def __init__(self):
        super().__init__(HERE)
        self.ends = []

    async def play(self):
        world = self.world
        for machine in world.controls + world.entries:
            self.add_user(self.watch(machine, self.ends))
        host = world.hosts[0]
        await host.leave(DRAIN_S + 0.2)
        await asyncio.sleep(REUSE_DELAY_S + 0.2)
        again = await world.add_host(host.identity, host.service, host.zone,
                                     OTHER if TROUBLE else FIRST)
        await asyncio.sleep(2.0)
        await again.leave(DRAIN_S + 0.2)
        await asyncio.sleep(GONE_S)
        await world.add_host(host.identity + 1, host.service, host.zone, FIRST)
        await asyncio.sleep(AFTER_S)

    def verdict(self):
        return bool(self.ends), ("processes that ended by themselves "
                                 f"{len(self.ends)}")


if __name__ == "__main__":
    main(EndOfControl)
