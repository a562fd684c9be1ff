"""Sidecars beside busy endpoints of a service divided by key are killed and started again."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from deployment import Deployment, run_case
from judge import judge_owners

KEYS = list(range(500, 65536, 2048))
ROUNDS = 12
PAUSE_S = 5.0
DOWN_S = 0.25
WORK_S = 1.0
SPEEDS = [0.8, 1.0, 1.4]
TIMEOUT_MS = 3000


def scenario(trouble):
    # The last machine has the largest processor share, so that it leads. It has no clients.
    deployment = Deployment({"ladder": True, "desk": False},
                            [("ladder",), ("ladder",), ("ladder",), ("desk",), ("desk", 0.5)],
                            timeout_ms=TIMEOUT_MS)
    machines = deployment.machines
    for i, machine in enumerate(machines):
        machine.start()
        if i < len(SPEEDS):
            # The endpoint finishes a request also after its channel has closed.
            deployment.add_endpoint(machine, "e%d" % (i + 1), work_s=WORK_S / SPEEDS[i],
                                    drops=False)
        else:
            deployment.add_endpoint(machine, "e%d" % (i + 1))
    desk = machines[3]
    deployment.wait_for_service(KEYS[::8], "/safe-ladder/x", desk, TIMEOUT_MS)
    deployment.start_clients(24, "/safe-ladder/x", KEYS, [desk], 0.05, TIMEOUT_MS)
    time.sleep(4)
    for turn in range(ROUNDS):
        if trouble:
            leader = deployment.leader()
            victim = [m for m in machines[:len(SPEEDS)] if m is not leader][-1 - turn % 2]
            victim.kill()
            time.sleep(DOWN_S)
            victim.start()
        time.sleep(PAUSE_S)
    deployment.clients_run = False
    time.sleep(TIMEOUT_MS / 1000)
    breaks = judge_owners([e for e in deployment.endpoints if e.sharded], KEYS)
    served = sum(1 for answer in deployment.answers if answer[3] == 200)
    return deployment, breaks, "%d requests, %d served" % (len(deployment.answers), served)


run_case(HERE, scenario)
