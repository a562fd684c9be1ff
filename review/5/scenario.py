"""An endpoint deregisters and is confirmed. Its sidecar is killed and started again while a heartbeat
of the endpoint, sent before, is still on its way."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from deployment import BOUNDS, CannotRun, Deployment, run_case

ROUNDS = 3
KILL_AFTER_S = 0.3
DOWN_S = 0.3
HEARTBEAT_DELAY_S = 2.0
SERVES_S = 9.0   # from the confirmation to the end of the endpoint
SETTLE_S = 3.0   # settleWindowMs: the machine is in touch this long after its start
DRAIN_S = BOUNDS["drain_ms"] / 1000


def leave(deployment, machine, endpoint, trouble):
    """Returns the time of the confirmation and the time since when the machine is in touch."""
    late_heartbeat = endpoint.heartbeat_body()
    endpoint.log("sends heartbeat %d, which will be late" % late_heartbeat["sequence"])
    endpoint.beats = False
    sent = time.monotonic()
    if not trouble and not endpoint.heartbeat(late_heartbeat):
        raise CannotRun("the heartbeat is not confirmed")
    endpoint.state = "draining"
    if not endpoint.deregister():
        raise CannotRun("the endpoint's leaving is not confirmed")
    confirmed = deployment.record.now()
    endpoint.log("its leaving is confirmed")
    started = confirmed - SETTLE_S
    if trouble:
        time.sleep(KILL_AFTER_S)
        machine.kill()
        time.sleep(DOWN_S)
        machine.start()
        started = deployment.record.now()
        time.sleep(max(0.0, sent + HEARTBEAT_DELAY_S - time.monotonic()))
        endpoint.log("its late heartbeat arrives, confirmed: %s" %
                     endpoint.heartbeat(late_heartbeat))
    time.sleep(max(0.0, confirmed + SERVES_S - deployment.record.now()))
    endpoint.crash()
    return confirmed, started + SETTLE_S


def scenario(trouble):
    # The last machine has the largest processor share, so that it leads. The clients are on others
    # than those of the endpoints that leave.
    deployment = Deployment({"desk": False}, [("desk",)] * (ROUNDS + 2) + [("desk", 0.5)])
    machines = deployment.machines
    for i, machine in enumerate(machines):
        machine.start()
        deployment.add_endpoint(machine, "e%d" % (i + 1), work_s=0.06)
    deployment.wait_for_service([None], "/safe-desk/x", machines[ROUNDS])
    deployment.start_clients(8, "/unsafe-desk/x", None, machines[ROUNDS:ROUNDS + 2], 0.02)
    time.sleep(3)
    left = []
    for machine, endpoint in list(zip(machines, deployment.endpoints))[:ROUNDS]:
        left.append((endpoint,) + leave(deployment, machine, endpoint, trouble))
        time.sleep(2)
    deployment.clients_run = False
    time.sleep(1.5)
    statuses = {answer[2]: answer[3] for answer in deployment.answers}
    breaks = []
    for endpoint, confirmed, in_touch in left:
        breaks += ["DRAIN: unsafe request %s reaches %s %.3f s after its leaving was confirmed, "
                   "answered %s" % (request_id, endpoint.id, begin - confirmed,
                                    statuses.get(request_id))
                   for begin, _, _, request_id in endpoint.runs
                   if begin > max(confirmed + DRAIN_S, in_touch)]
    lost = sum(1 for line in breaks if not line.endswith("answered 200"))
    return deployment, breaks, "%d requests, %d lost with an endpoint that had left" % (
        len(deployment.answers), lost)


run_case(HERE, scenario)
