"""A small deployment on loopback: the platform's store, endpoints, clients and the sidecars.

The stand-ins speak the published protocol. Times are seconds of the monotonic clock since the start
of the record.
"""

import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

from http11 import Server, call, format_answer, free_ports, is_closed

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEYS = 65536
PROGRAM = os.path.join(ROOT, "target", "bulrushgw")
HEARTBEAT_S = 0.87
POLL_S = 0.005
# Bounds of the site ladderdesk.
BOUNDS = {"drain_ms": 2000, "grace_s": 6, "longest_hold_ms": 10000, "retry_ratio": 0.2,
          "retry_slack": 58, "retry_window_s": 10}


class Record:
    """Everything that clients, endpoints and the platform saw, in order."""

    def __init__(self):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, text, at=None):
        with self.lock:
            self.lines.append((self.now() if at is None else at, who, text))

    def write(self, path):
        with self.lock, open(path, "w", encoding="utf-8") as out:
            for at, who, text in sorted(self.lines):
                out.write("%9.3f  %-10s %s\n" % (at, who, text))


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, address, record, manifest):
        self.record = record
        self.rows = {}
        self.version = 1
        self.changed = threading.Condition()
        self.available = True
        self.put("op", "config", json.dumps(manifest).encode())
        self.server = Server(address, self.handle)

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (base64.b64encode(value).decode(), self.version)
            self.changed.notify_all()

    def listed(self, table, select):
        return [{"table": table, "part": "", "key": key, "value": value, "ver": version}
                for (of, key), (value, version) in sorted(self.rows.items())
                if of == table and select(key, version)]

    def answer(self, status, **fields):
        fields.update(ver=self.version, nowMs=int(time.monotonic() * 1000))
        return format_answer(status, [("Content-Type", "application/json")],
                             json.dumps(fields).encode())

    def handle(self, message, channel):
        if not self.available:
            return format_answer(503)
        url = urllib.parse.urlsplit(message.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/v1/rows-get":
            with self.changed:
                rows = self.listed(query["table"], lambda key, _: query.get("from", "") <= key and
                                   ("target" not in query or key < query["target"]))
                return self.answer(200, rows=rows, morePages=False)
        if url.path == "/v1/rows-feed":
            return self.feed(query, channel)
        if url.path == "/v1/rows-tx":
            return self.transact(json.loads(message.body))
        return format_answer(404)

    def feed(self, query, channel):
        after = int(query["after"])
        end = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            with self.changed:
                rows = self.listed(query["table"], lambda _, version: version > after)
                if rows or time.monotonic() >= end:
                    return self.answer(200, rows=rows)
                self.changed.wait(0.05)
            if is_closed(channel):
                return None

    def transact(self, call_body):
        with self.changed:
            current = [(row, self.rows.get((row["table"], row["key"]), ("", 0))[1])
                       for row in call_body["precondition"]]
            if any(row["ver"] != version for row, version in current):
                return self.answer(412, rows=[])
            self.version += 1
            for row in call_body["puts"]:
                self.rows[(row["table"], row["key"])] = (row["value"], self.version)
            self.changed.notify_all()
            return self.answer(200)


class Endpoint:
    """One lifetime of an endpoint. `options`:

    sharded     the service is divided by key
    slots       requests that it runs at a time; others wait in the order of their arrival
    work_s      time that a request takes
    drops       it drops a request when its channel closes (most endpoints do)
    extra_share share of its answers of which it sends a second copy, late: where the next answer
                on the channel is expected; `extra_kind(path, answer)` tells of which answers
    body_bytes  length that is added to the body of an answer
    first_beat_s  the time from its start to its first heartbeat
    """

    def __init__(self, record, name, service, address, control, born_ms=None, **options):
        self.record = record
        self.id = name
        self.service = service
        self.address = address
        self.control = control
        self.born = int(time.time() * 1000) if born_ms is None else born_ms
        self.sharded = options.get("sharded", False)
        self.slots = options.get("slots", 6)
        self.work_s = options.get("work_s", 0.06)
        self.drops = options.get("drops", True)
        self.extra_share = options.get("extra_share", 0.0)
        self.extra = {}     # channel -> a copy of its last answer, still to be sent
        self.extra_kind = options.get("extra_kind", lambda path, answer: True)
        self.extra_sent = options.get("extra_sent", 0)
        self.answered = options.get("answered", 0)
        self.body_bytes = options.get("body_bytes", 0)
        self.first_beat_s = options.get("first_beat_s", 0.0)
        self.state = "ready"
        self.beats = True
        self.sequence = 0
        self.up = True
        self.lock = threading.Condition()
        self.waiting = []   # tickets of requests that wait for a slot
        self.running = {}   # ticket -> key
        self.next_ticket = 0
        self.holds = []     # (first, last, fence, end): what it holds or held
        self.seen = []      # (first, last, fence): generation numbers that it has seen
        # For the judge: grants, releases and runs, see `judge.py`.
        self.grants = []    # (arrival, first, last, fence, end)
        self.releases = []  # (arrival, first, last, fence)
        self.runs = []      # [begin, end, key, request id]
        self.log("starts, born %d" % self.born)
        self.server = Server(address, self.handle)
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def log(self, text):
        self.record.add(self.id, text)

    def send_heartbeats(self):
        time.sleep(self.first_beat_s)
        while self.up:
            if self.beats:
                self.heartbeat()
            time.sleep(HEARTBEAT_S)

    def heartbeat_body(self, state=None):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": "z1",
                "version": "v1", "slots": self.slots, "state": state or self.state,
                "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born}

    def heartbeat(self, body=None):
        body = body or self.heartbeat_body()
        answer = call(self.control, "POST", "/v1/Instances.Heartbeat/" + self.id,
                      [("Content-Type", "application/json")], json.dumps(body).encode(), 1.0)
        return answer is not None and 200 <= answer.status < 300

    def deregister(self):
        answer = call(self.control, "POST", "/v1/Instances.Deregister/" + self.id, timeout=1.0)
        return answer is not None and 200 <= answer.status < 300

    def crash(self):
        self.log("crashes")
        with self.lock:
            self.up = False
            now = self.record.now()
            for run in self.runs:
                run[1] = min(run[1], now) if run[1] else now
        self.ended = now
        self.server.close()

    def held(self, key):
        now = self.record.now()
        return any(first <= key <= last and end > now for first, last, _, end in self.holds)

    def handle(self, message, channel):
        if not self.up:
            return None
        extra = self.extra.pop(channel, None)
        if extra:
            self.extra_sent += 1
            self.log("sends a second copy of an earlier answer before that to " + message.path)
            channel.sendall(extra)
        answer = self.answer(message, channel)
        self.answered += 1
        # The copies are of answers of one kind, but no more than the share of all its answers.
        if (answer and self.extra_kind(message.path, answer) and
                self.extra_sent + len(self.extra) + 1 <= self.extra_share * self.answered):
            self.extra[channel] = answer
        return answer

    def answer(self, message, channel):
        if message.path == "/health":
            return self.health(channel)
        if message.path == "/v1/grant":
            return self.grant(json.loads(message.body))
        if message.path == "/v1/release":
            return self.release(json.loads(message.body))
        return self.run(message, channel)

    def load(self):
        return "%d,%d,%d" % (len(self.running), len(self.waiting), self.slots)

    def take_slot(self, channel, key):
        """Waits for a slot. Returns a ticket, or None if the caller has left meanwhile."""
        with self.lock:
            ticket = self.next_ticket
            self.next_ticket += 1
            self.waiting.append(ticket)
            while self.up:
                if self.waiting[0] == ticket and len(self.running) < self.slots:
                    self.waiting.remove(ticket)
                    self.running[ticket] = key
                    return ticket
                self.lock.wait(POLL_S)
                if self.drops and is_closed(channel):
                    break
            self.waiting.remove(ticket)
            self.lock.notify_all()
            return None

    def free_slot(self, ticket):
        with self.lock:
            self.running.pop(ticket, None)
            self.lock.notify_all()

    def health(self, channel):
        ticket = self.take_slot(channel, None)
        if ticket is None:
            return None
        self.free_slot(ticket)
        status = 200 if self.state == "ready" else 503
        return format_answer(status, [("Instance-Id", self.id), ("Server-Load", self.load())])

    def grant(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        with self.lock:
            at = self.record.now()
            if not self.sharded:
                return format_answer(400)
            if any(f <= last and l >= first and seen > fence for f, l, seen in self.seen):
                self.log("grant %d-%d fence %d: 409" % (first, last, fence))
                return format_answer(409)
            end = at + order["holdMs"] / 1000
            self.cut_holds(first, last)
            self.holds.append((first, last, fence, end))
            self.see(first, last, fence)
            self.grants.append((at, first, last, fence, end))
            self.log("grant %d-%d fence %d until %.3f" % (first, last, fence, end))
            return format_answer(200)

    def cut_holds(self, first, last):
        kept = []
        for f, l, fence, end in self.holds:
            if f < first:
                kept.append((f, min(l, first - 1), fence, end))
            if l > last:
                kept.append((max(f, last + 1), l, fence, end))
        self.holds = kept

    def see(self, first, last, fence):
        self.seen = [item for item in self.seen
                     if not (first <= item[0] and item[1] <= last and item[2] <= fence)]
        self.seen.append((first, last, fence))

    def release(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        with self.lock:
            self.releases.append((self.record.now(), first, last, fence))
            self.log("release %d-%d fence %d" % (first, last, fence))
            self.cut_holds(first, last)
            self.see(first, last, fence)
            while self.up and any(key is not None and first <= key <= last
                                  for key in self.running.values()):
                self.lock.wait(POLL_S)
        return format_answer(200, [("Handover", "h%d" % fence)])

    def run(self, message, channel):
        request_id = message.headers.get("request-id")
        if request_id is None:
            return format_answer(400, [("Not-Executed", "1")])
        own = [("Request-Id", request_id), ("Instance-Id", self.id)]
        if message.headers.get("expect-instance", self.id) != self.id:
            # As `fleetbench wire` prints it.
            return format_answer(421, [("Instance-Id", self.id)])
        key = int(message.headers.get("shard-key", "-1")) if self.sharded else None
        deadline = time.monotonic() + int(message.headers.get("deadline-ms", "10000")) / 1000
        if self.sharded and not self.held(key):
            return format_answer(421, own + [("Not-Executed", "1")])
        ticket = self.take_slot(channel, key)
        if ticket is None:
            return None
        if (self.sharded and not self.held(key)) or time.monotonic() >= deadline:
            self.free_slot(ticket)
            late = time.monotonic() >= deadline
            return format_answer(503 if late else 421, own + [("Not-Executed", "1")])
        run = [self.record.now(), 0.0, key, request_id]
        with self.lock:
            self.runs.append(run)
        self.log("runs %s key %s" % (request_id, key))
        end = time.monotonic() + self.work_s
        gone = False
        while self.up and not gone and time.monotonic() < min(end, deadline):
            time.sleep(POLL_S)
            gone = self.drops and is_closed(channel)
        with self.lock:
            run[1] = run[1] or self.record.now()
        self.free_slot(ticket)
        self.log("ends %s%s" % (request_id, ", its caller has left" if gone else ""))
        if gone or not self.up:
            return None
        sealed = own + [("Response-Seal", "s." + request_id), ("Server-Load", self.load())]
        if time.monotonic() >= deadline:
            return format_answer(504, sealed)
        if self.sharded and not self.held(key):
            return format_answer(500, sealed)
        return format_answer(200, sealed, b"done " + request_id.encode() + b"." * self.body_bytes)


class Machine:
    """A host: its addresses and the process of its sidecar."""

    def __init__(self, deployment, number, service, cores=0.2):
        self.deployment = deployment
        self.number = number
        self.name = "host-%d" % number
        self.service = service
        self.cores = cores
        ports = free_ports(6)
        (self.outbound, self.ready, self.control, self.inner, self.metrics,
         self.app) = [("127.0.0.1", port) for port in ports]
        self.process = None
        self.log_file = None

    def write_settings(self):
        text = {"host": self.name, "zone": "z1", "service": self.service,
                "target": "%s:%d" % self.app, "store": "%s:%d" % self.deployment.store_address,
                "descriptors": 4100, "processor_share": self.cores,
                "addresses": {"requests": "%s:%d" % self.outbound, "ready": "%s:%d" % self.ready,
                              "control": "%s:%d" % self.control, "inner": "%s:%d" % self.inner,
                              "metrics": "%s:%d" % self.metrics},
                "bounds": BOUNDS}
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(text, out)
        return path

    def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        path = self.write_settings()
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        command = [PROGRAM, "sidecar", "--config", path]
        self.deployment.record.add(self.name, "the sidecar is started")
        self.process = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def signal(self, number):
        self.deployment.record.add(self.name, "the sidecar gets %s" % signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def gauge(self, name):
        answer = call(self.metrics, "GET", "/metrics", timeout=1.0)
        for line in (answer.body.decode() if answer else "").splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0.0

    def is_ready(self):
        answer = call(self.ready, "GET", "/v1/ready", timeout=1.0)
        return answer is not None and answer.status == 200


def make_manifest(services, version=1, timeout_ms=1000):
    """`services`: name -> sharded. Each has a safe route /safe-NAME/ and an unsafe /unsafe-NAME/."""
    rules = []
    for name in services:
        for kind in ("safe", "unsafe"):
            rules.append({"name": "%s-%s" % (kind, name), "routeType": kind,
                          "targetLatencyMs": 300, "priority": 1,
                          "match": {"prefix": "/%s-%s/" % (kind, name)},
                          "action": {"service": name, "timeoutMs": timeout_ms, "maxAttempts": 2}})
    clusters = [{"name": name, "healthPath": "/health", "maxConnections": 110, "sharded": sharded,
                 "warmS": 1, "grants": "request"} for name, sharded in services.items()]
    return {"version": "%08x" % version,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "listeners": [{"host": "h.example", "ruleSet": rules}], "clusters": clusters}


class Deployment:
    """Starts the store and the sidecars, and ends all of them on `close`."""

    started = []

    def __init__(self, services, machines, timeout_ms=1000):
        """`machines`: the service and the processor share of each machine."""
        self.record = Record()
        self.folder = tempfile.mkdtemp()
        self.store_address = ("127.0.0.1", free_ports(1)[0])
        self.store = Store(self.store_address, self.record,
                           make_manifest(services, timeout_ms=timeout_ms))
        self.services = services
        self.machines = [Machine(self, i + 1, *about) for i, about in enumerate(machines)]
        self.endpoints = []
        self.answers = []  # (sent, answered, id, status, machine name, key)
        self.answers_lock = threading.Lock()
        self.next_id = 0
        self.clients_run = True
        Deployment.started.append(self)

    def add_endpoint(self, machine, name, **options):
        endpoint = Endpoint(self.record, name, machine.service, machine.app, machine.control,
                            sharded=self.services[machine.service], **options)
        self.endpoints.append(endpoint)
        return endpoint

    def leader(self):
        for machine in self.machines:
            if machine.process.poll() is None and machine.gauge("bulrushgw_leads") == 1:
                return machine
        return None

    def request(self, machine, path, key=None, deadline_ms=1000, method="GET"):
        """One client attempt. Returns its status, or 0 without a complete answer, and the time
        after which the client may come back."""
        with self.answers_lock:
            self.next_id += 1
            request_id = "r%06d" % self.next_id
        headers = [("Host", "h.example"), ("Request-Id", request_id),
                   ("Deadline-Ms", str(deadline_ms))]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        sent = self.record.now()
        answer = call(machine.outbound, method, path, headers, timeout=deadline_ms / 1000 + 0.5)
        status = answer.status if answer else 0
        with self.answers_lock:
            self.answers.append((sent, self.record.now(), request_id, status, machine.name, key))
        self.record.add("client", "%s to %s %s key %s: %s, sent at %.3f" % (
            request_id, machine.name, path, key, status or "no answer", sent))
        return status, float(answer.headers.get("retry-after", "0")) if answer else 0.0

    def wait_for_service(self, keys, path, machine, deadline_ms=1000, limit_s=20):
        """Waits until all sidecars are ready and a request for each of the keys is served."""
        if not self.wait_until(lambda: all(m.is_ready() for m in self.machines), limit_s):
            raise CannotRun("the sidecars are not ready")
        if not self.wait_until(lambda: all(self.request(machine, path, key, deadline_ms)[0] == 200
                                           for key in keys), limit_s):
            raise CannotRun("the keys are not served")

    def wait_until(self, condition, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def start_clients(self, count, path, keys, machines, pause_s=0.01, deadline_ms=1000):
        """`count` clients, each of which sends one request after the other. `keys` may be a
        function that returns the keys in use."""
        def client(seed):
            choice = random.Random(seed)
            while self.clients_run:
                key = choice.choice(keys() if callable(keys) else keys) if keys else None
                _, retry_after_s = self.request(choice.choice(machines), path, key, deadline_ms)
                time.sleep(max(pause_s, retry_after_s))
        for seed in range(count):
            threading.Thread(target=client, args=(seed,), daemon=True).start()

    def close(self):
        self.clients_run = False
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The deployment didn't get as far as the disruption."""


def run_case(folder, scenario):
    """Runs `scenario(trouble)`, which returns a deployment, the broken rules and a summary. Writes
    the record into `folder` and exits with 1 if a rule was broken, 0 if not, and 2 if the case
    could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    result = 2
    try:
        deployment, breaks, summary = scenario(os.environ.get("TROUBLE", "1") != "0")
        for line in breaks:
            deployment.record.add("judge", line)
        deployment.record.write(os.path.join(folder, "record.txt"))
        print("%s; broken %d times" % (summary, len(breaks)))
        print("\n".join(breaks[:10]))
        result = 1 if breaks else 0
    except CannotRun as failure:
        print("the case could not run: %s" % failure)
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for deployment in Deployment.started:
            deployment.close()
    sys.stdout.flush()
    # Threads of the stand-ins may still run.
    os._exit(result)
