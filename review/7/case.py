"""Two control instances are replaced, the second right after the first; then
one disk is lost. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from deployment import (BROKEN, HELD, SMALL, TROUBLE, CannotRun,  # noqa: E402
                        run_case)

CATCH_UP_S, RECOVERY_S, APPLY_S = 4.0, 12.0, 3.0


def play(deployment, operator, record):
    zones = SMALL["zones"]
    a, b, c, d = [deployment.add("control", zone) for zone in zones]
    deployment.seeds = [each.address for each in (a, b, c)]
    for each in (a, b, c, d):
        each.start(first_start=True)
    if not operator.submit(3, 15.0):
        raise CannotRun("the first configuration was not acknowledged")
    time.sleep(5.0)

    # Planned work: the successor first, then the predecessor leaves for good.
    e = deployment.add("control", zones[3])
    e.start()
    record(f"{e.name} added, empty disk, to replace {d.name}")
    time.sleep(2 * CATCH_UP_S)
    if TROUBLE:
        record(f"{d.name} gets SIGTERM and is removed")
        d.stop()
        d.process = None
    time.sleep(1.0)

    # One machine is lost for good and replaced.
    if TROUBLE:
        record(f"{c.name} is killed and is gone for good")
        c.kill()
        c.process = None
    time.sleep(1.0)
    f = deployment.add("control", zones[2])
    f.start()
    record(f"{f.name} added, empty disk, to replace {c.name}")
    time.sleep(4 * CATCH_UP_S)
    if not operator.submit(5, 10.0):
        raise CannotRun("no acknowledgement with four of four running")
    time.sleep(APPLY_S)
    record(f"reads before the last loss: {operator.read()}")

    # One disk is lost.
    if TROUBLE:
        record(f"{a.name} loses its disk")
        a.kill()
        a.lose_disk()
        time.sleep(1.0)
        a.start()
    held = operator.read_until(5, 3 * RECOVERY_S)
    for machine in (a, b, e, f):
        for line in machine.log_lines("member_removed", "group")[-2:]:
            record(f"log: {line}")
    return HELD if held else BROKEN


run_case(FOLDER, SMALL, play)
