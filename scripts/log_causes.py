#!/usr/bin/env python3
"""Ledger of the requests that sidecars did not serve, by cause and over time.

Reads structured log lines of any number of sidecars from standard input; text before the JSON
object of a line is skipped. Prints what became of requests by event, reason and cause, with what
the nodes knew at that moment; with --interval, the same by time; with --chains, how often the
refusal of a call is followed by a request of its caller. See docs/OPERATIONS.md.
"""
import argparse
import collections
import datetime
import json
import statistics
import sys

REQUEST_EVENTS = ("refused", "failed", "target_request_failed", "repeat", "connection_reset",
                  "lines_withheld", "unexpected_error")
# Fields whose median is shown for each cause, with the heading of the column.
CONTEXT = (("age_ms", "age ms"), ("left_ms", "left ms"), ("retry_after_ms", "retry ms"),
           ("tries", "tries"), ("load", "load"))


def read_events(stream):
    for line in stream:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield fields


def seconds_of(fields):
    """Time of the line in seconds, or None if the line has no readable time."""
    text = str(fields.get("time", "")).replace("Z", "+00:00")
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None


def number_of_requests(fields):
    return fields.get("count", 1) if fields["event"] == "lines_withheld" else 1


class Ledger:
    """Requests of log lines by cause. A cause is the tuple of the values of `names`."""

    def __init__(self, names):
        self.names = names
        self.counts = collections.Counter()
        self.context = collections.defaultdict(lambda: collections.defaultdict(list))
        self.times = collections.defaultdict(list)

    def add(self, fields):
        cause = tuple(str(fields.get(name, "")) for name in self.names)
        count = number_of_requests(fields)
        self.counts[cause] += count
        for name, _ in CONTEXT:
            if isinstance(fields.get(name), (int, float)):
                self.context[cause][name].append(fields[name])
        at = seconds_of(fields)
        if at is not None:
            self.times[cause].append((at, count))

    def rows(self, most):
        """One dictionary for each cause, the most frequent first."""
        result = []
        for cause, count in self.counts.most_common(most):
            medians = {name: statistics.median(self.context[cause][name])
                       for name, _ in CONTEXT if self.context[cause][name]}
            result.append({"count": count, "median": medians, "cause": dict(zip(self.names, cause))})
        return result

    def intervals(self, start, length, most):
        """For each of the most frequent causes, the requests in each interval."""
        result = []
        for cause, _ in self.counts.most_common(most):
            buckets = collections.Counter()
            for at, count in self.times[cause]:
                buckets[int((at - start) // length)] += count
            result.append((cause, buckets))
        return result


class Chains:
    """Calls that a target made while it ran a request, and what became of that request.

    A call is recognised by its id, which is the id of the request, a separator and a suffix."""

    def __init__(self, separator):
        self.separator = separator
        self.calls = []
        self.requests = {}

    def add(self, fields):
        if fields["event"] not in ("refused", "failed") or "request" not in fields:
            return
        if self.separator in fields["request"]:
            self.calls.append(fields)
        else:
            self.requests[fields["request"]] = fields

    def rows(self, most):
        counts = collections.Counter()
        for call in self.calls:
            caller = self.requests.get(call["request"].split(self.separator)[0])
            counts[(call.get("service", ""), str(call.get("cause", call.get("reason", ""))),
                    "no line" if caller is None else caller["event"])] += 1
        return [{"count": count, "service": service, "cause": cause, "caller": caller}
                for (service, cause, caller), count in counts.most_common(most)]


def print_causes(rows):
    print("count  " + "  ".join(f"{title:>8}" for _, title in CONTEXT) + "  cause")
    for row in rows:
        numbers = "  ".join(f"{row['median'].get(name, '-'):>8}" for name, _ in CONTEXT)
        print(f"{row['count']:5}  {numbers}  " + "  ".join(v for v in row["cause"].values() if v))


def print_intervals(table, length):
    last = max((max(buckets) for _, buckets in table if buckets), default=-1)
    print("\nfrom s " + " ".join(f"{round(i * length):>5}" for i in range(last + 1)))
    for cause, buckets in table:
        print("       " + " ".join(f"{buckets[i]:>5}" for i in range(last + 1)) + "  "
              + "  ".join(part for part in cause if part))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--by", default="", help="further fields to count by, separated by commas")
    parser.add_argument("--most", type=int, default=40, help="rows to print")
    parser.add_argument("--interval", type=float, default=0, metavar="S",
                        help="also count by intervals of this many seconds")
    parser.add_argument("--chains", metavar="SEPARATOR",
                        help="also count refused calls by what became of their caller's request")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    options = parser.parse_args()
    if options.most < 1 or options.interval < 0:
        parser.error("--most must be at least 1, and --interval must not be negative")
    ledger = Ledger(["event", "reason", "cause", "status"] + [n for n in options.by.split(",") if n])
    chains = Chains(options.chains) if options.chains else None
    start = None
    for fields in read_events(sys.stdin):
        at = seconds_of(fields)
        if at is not None:
            start = at if start is None else min(start, at)
        if fields["event"] in REQUEST_EVENTS:
            ledger.add(fields)
            if chains:
                chains.add(fields)
    rows = ledger.rows(options.most)
    table = ledger.intervals(start or 0, options.interval, options.most) if options.interval else []
    if options.json:
        print(json.dumps({
            "causes": rows,
            "intervals": [{"cause": dict(zip(ledger.names, cause)), "counts": dict(buckets)}
                          for cause, buckets in table],
            "chains": chains.rows(options.most) if chains else []}))
        return
    print_causes(rows)
    if table:
        print_intervals(table, options.interval)
    if chains:
        print("\ncount  refused call, and the line of its caller's request")
        for row in chains.rows(options.most):
            print(f"{row['count']:5}  {row['service']}  {row['cause']}  -> {row['caller']}")


if __name__ == "__main__":
    main()
