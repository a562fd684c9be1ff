"""Most machines of a service divided by key lose power. Their sidecars come back, their endpoints
are lost for good, and the endpoint of one machine has lived on."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from deployment import Deployment, run_case

KEYS = list(range(500, 65536, 2048))
LADDERS = 6
DOWN_S = 0.3
RECOVER_S = 15
WATCHED_S = 20


def served_share(answers, begin, end):
    statuses = [status for sent, _, _, status, _, _ in answers if begin <= sent < end]
    return sum(1 for status in statuses if status == 200) / max(1, len(statuses)), len(statuses)


def scenario(trouble):
    # The last machine has the largest processor share, so that it leads.
    deployment = Deployment({"ladder": True, "desk": False},
                            [("ladder",)] * LADDERS + [("desk",), ("desk", 0.5)])
    machines = deployment.machines
    for i, machine in enumerate(machines):
        machine.start()
        deployment.add_endpoint(machine, "e%d" % (i + 1), work_s=0.02)
    desk = machines[LADDERS]
    deployment.wait_for_service(KEYS, "/safe-ladder/x", desk)
    deployment.start_clients(4, "/safe-ladder/x", KEYS, [desk], 0.04)
    time.sleep(5)
    record = deployment.record
    before, _ = served_share(deployment.answers, record.now() - 4, record.now())
    lost = [m for m in machines[:LADDERS] if m is not deployment.leader()][:LADDERS - 1]
    if trouble:
        for machine in lost:
            deployment.endpoints[machines.index(machine)].crash()
            machine.kill()
        time.sleep(DOWN_S)
        for machine in lost:
            machine.start()
    deployment.wait_until(lambda: all(m.is_ready() for m in lost), 5)
    back = record.now()
    time.sleep(RECOVER_S + WATCHED_S)
    deployment.clients_run = False
    time.sleep(1)
    after, count = served_share(deployment.answers, back + RECOVER_S, record.now())
    breaks = []
    if before >= 0.25 > after:
        breaks.append("RECOVER: %.2f of %d requests served later than %d s after the machines were "
                      "back, %.2f before" % (after, count, RECOVER_S, before))
    return deployment, breaks, "served %.2f before, %.2f after" % (before, after)


run_case(HERE, scenario)
