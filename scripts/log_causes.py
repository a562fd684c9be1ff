#!/usr/bin/env python3
"""Counts request events of sidecar logs by event, reason, cause and status.

Reads structured log lines of any number of sidecars from standard input; text before the
JSON object of a line is skipped. See docs/OPERATIONS.md.
"""
import argparse
import collections
import json
import sys

REQUEST_EVENTS = ("refused", "failed", "target_request_failed", "repeat", "connection_reset",
                  "lines_withheld", "unexpected_error")


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


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--by", default="", help="further fields to count by, separated by commas")
    parser.add_argument("--most", type=int, default=40, help="rows to print")
    options = parser.parse_args()
    names = ["event", "reason", "cause", "status"] + [n for n in options.by.split(",") if n]
    counts = collections.Counter()
    ages = collections.defaultdict(list)
    for fields in read_events(sys.stdin):
        if fields["event"] not in REQUEST_EVENTS:
            continue
        key = tuple(str(fields.get(name, "")) for name in names)
        counts[key] += fields.get("count", 1) if fields["event"] == "lines_withheld" else 1
        if isinstance(fields.get("age_ms"), int):
            ages[key].append(fields["age_ms"])
    print("count  mean age ms  " + "  ".join(names))
    for key, count in counts.most_common(options.most):
        age = f"{sum(ages[key]) / len(ages[key]):.0f}" if ages[key] else "-"
        print(f"{count:5}  {age:>11}  " + "  ".join(part for part in key if part))


if __name__ == "__main__":
    main()
