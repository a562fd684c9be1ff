"""The rule OWNER, from what the endpoints saw."""

SHARED_LIMIT_S = 0.5
# A run that ends at the same moment doesn't count: the endpoints' threads take turns.
CLOCK_SLACK_S = 0.02


def holds_of(endpoint, key):
    """The spans (begin, end, fence) in which the endpoint held the key."""
    events = [(at, "grant", fence, end) for at, first, last, fence, end in endpoint.grants
              if first <= key <= last]
    events += [(at, "release", fence, 0.0) for at, first, last, fence in endpoint.releases
               if first <= key <= last]
    spans = []
    for at, kind, fence, end in sorted(events):
        if spans and spans[-1][1] > at:
            # A renewal extends the span; another generation number or a release ends it.
            if kind == "grant" and spans[-1][2] == fence:
                spans[-1][1] = max(spans[-1][1], end)
                continue
            spans[-1][1] = at
        if kind == "grant":
            spans.append([at, end, fence])
    ended = getattr(endpoint, "ended", float("inf"))
    return [(begin, min(end, ended), fence) for begin, end, fence in spans if begin < ended]


def judge_owners(endpoints, keys):
    """Returns a line for each break of OWNER on one of the keys."""
    breaks = []
    for key in keys:
        holds = {endpoint: holds_of(endpoint, key) for endpoint in endpoints}
        for a in endpoints:
            for b in endpoints:
                if a is not b:
                    breaks += judge_pair(key, a, b, holds)
                    for begin_b, _, _ in holds[b]:
                        breaks += judge_work(key, a, b, begin_b)
    return breaks


def judge_pair(key, a, b, holds):
    """Breaks that show at a grant of the key to `b`, after `a` was granted it."""
    breaks = []
    for begin_a, end_a, fence_a in holds[a]:
        for begin_b, end_b, fence_b in holds[b]:
            if begin_b < begin_a:
                continue
            if fence_b <= fence_a:
                breaks.append("OWNER: key %d: %s takes it at %.3f with generation number %d, %s had %d" % (
                    key, b.id, begin_b, fence_b, a.id, fence_a))
            shared = min(end_a, end_b) - begin_b
            if shared <= 0:
                continue
            if shared > SHARED_LIMIT_S:
                breaks.append("OWNER: key %d: %s and %s both hold it for %.3f s from %.3f" % (
                    key, a.id, b.id, shared, begin_b))
            in_span = [[run for run in endpoint.runs
                        if run[2] == key and begin_b <= run[0] < begin_b + shared]
                       for endpoint in (a, b)]
            if all(in_span):
                breaks.append("OWNER: key %d: %s begins %s at %.3f and %s begins %s at %.3f" % (
                    key, a.id, in_span[0][0][3], in_span[0][0][0], b.id, in_span[1][0][3],
                    in_span[1][0][0]))
    return breaks


def judge_work(key, a, b, begin_b):
    """A break if `b` is granted the key at `begin_b` while `a` is at work on it, before the hold of
    `a` would have run out."""
    ends = [end for at, first, last, _, end in a.grants if first <= key <= last and at < begin_b]
    hold_end = max(ends, default=0.0)
    if hold_end <= begin_b:
        return []
    return ["OWNER: key %d: %s is given it at %.3f, %s works on %s from %.3f to %.3f, its hold would "
            "have run until %.3f" % (key, b.id, begin_b, a.id, run[3], run[0], run[1], hold_end)
            for run in a.runs
            if run[2] == key and run[0] < begin_b < run[1] - CLOCK_SLACK_S]
