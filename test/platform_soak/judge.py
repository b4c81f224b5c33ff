"""Checks what callers and engines recorded during a soak against the users' rules that can be judged
without timing other than the bounds they state. Each check returns a list of violations.
"""
import bisect
import collections
import math
import re

REVOKE_SECONDS = 5.0
LEASE_SECONDS = 3.0
VERSION_SECONDS = 8.0
CONTACT_SECONDS = 3.0
CRASHES, LATE_SENDS = 3, 3
# Crashes after which a part of prompts must be known, and how often sound requests with the same first part must
# begin from some time after it on, compared with before.
PART_CRASHES, SOUND_SHARE, SOUND_REQUESTS = 5, 0.5, 20
MEGABYTE = 1e6  # The users specify memory in decimal megabytes.
# Tolerance around the exit of a stopping process, which may exit while a request reaches it.
END_SECONDS = 0.2
# Limits stated by engines: the window, the requests allowed in it (factor and slack), and how long a limit
# must have been stated before it is enforced.
LIMIT_WINDOW_SECONDS, LIMIT_FACTOR, LIMIT_SLACK, LIMIT_TOLD_SECONDS = 4.0, 1.5, 5, 0.5
# Bounds for draining engines and for table changes, from the time of the announcement or change.
DRAIN_SECONDS, CONFIG_SECONDS = 2.0, 2.0
# Pauses requested by engines (Retry-After): when one takes effect after its response, and how many requests
# may still arrive during it.
REST_TOLD_SECONDS, REST_SENDS = 0.5, 2
# First tries at partitioned nodes: the least share of what the others serve, and the failures allowed beside it.
CUT_SHARE, CUT_FAILURES, CUT_FAILURE_SHARE = 2 / 3, 10, 1 / 50
# Retries of all nodes in a window: a share of the requests that callers sent, and what is allowed beside it.
RETRY_WINDOW_SECONDS, RETRY_RATIO, RETRY_SLACK = 10.0, 0.2, 54
# Falls of brittle engines allowed in one such time, beside a share of their number.
FALLS, FALL_SHARE = 2, 0.1
# Streams that may have events of two software versions, and how often those that are taken up again must go on,
# compared with new ones that begin.
MIXED_STREAMS = 2
# How long bytes without end are read: for a request until its deadline, and a grace; for a report.
ENDLESS_SECONDS, ENDLESS_REPORT_SECONDS = 4.0 + 2.0, 2.0
EVENT_SPACES = 4  # In "id: 1\ndata: 1 SIGNATURE VERSION".
TAKEN_UP, TAKEN_UP_SHARE = 12, 0.5


def judge(calls, runs, orders, world):
    """calls: requests and responses of callers; runs, orders: as recorded by engines. Returns {rule: violations}."""
    by_id = collections.defaultdict(list)
    for run in runs:
        by_id[run["id"]].append(run)
    asked = {call["id"]: call for call in calls}
    return {
        "TWICE": twice(calls, by_id),
        "REFUSED": refused(calls, by_id),
        "MIXED": mixed(calls, by_id),
        "ORDER": order(calls) + two_versions(calls),
        "UNASKED": unasked(runs, asked, world),
        "ROUTE": route(runs, asked, world),
        "CONFIG": revoked(runs, asked, world) + behind(calls, world) + world["went_back"],
        "WALL": wall(runs, world),
        "STALE": stale(runs),
        "ONE": one(orders),
        "VERSION": version(runs, asked, world),
        "STRETCHED": stretched(world),
        "LOST": lost(calls, by_id, world) + not_gone_on(calls, world) + beside_parts(calls, world),
        "BUDGET": budget(runs, asked, world) + by_parts(asked, world) + retries_beyond(calls, world),
        "BLAMED": blamed(calls, world),
        "MEMORY": memory(world),
        "LIMIT": limit(asked, world) + fallen(asked, world),
        "RECOVER": cut_off(calls, world),
        "DRAIN": drain(calls, asked, world) + drained(asked, world),
        "REST": rest(asked, world),
        "ENDLESS": endless(world),
    }


def twice(calls, by_id):
    return [f"{call['id']} ran {len(by_id[call['id']])} times" for call in calls
            if call["kind"] in ("once", "stream-once") and len(by_id[call["id"]]) > 1]


def refused(calls, by_id):
    return [f"{call['id']} was refused with {call['status']} and ran" for call in calls
            if call["kind"] in ("once", "stream-once")
            and call["status"] in (408, 421, 429, 503) and by_id[call["id"]]]


def mixed(calls, by_id):
    faults = []
    for call in calls:
        if call["status"] is None:
            continue
        stamps = {f"{run['engine']}.{run['id']}" for run in by_id[call["id"]]}
        if call["answered_id"] not in (None, "", call["id"]):
            faults.append(f"{call['id']} got the answer to {call['answered_id']}")
        if call["stamp"] and call["stamp"] not in stamps:
            faults.append(f"{call['id']} got a signature of nobody who ran it: {call['stamp']}")
        if call["status"] == 200 and not call["stamp"]:
            faults.append(f"{call['id']} got a success without a signature")
        whole = ("answer " + (call["stamp"] or "")).encode() * 20
        if call["status"] == 200 and not call["kind"].startswith("stream") and call["complete"] \
                and call["body"] != whole:
            faults.append(f"{call['id']} got a body that its engine did not send")
    return faults


def order(calls):
    """Events arrive in order without gaps; a stream that ends as complete contains all of them."""
    faults = []
    for call in calls:
        if not call["kind"].startswith("stream") or call["status"] != 200:
            continue
        numbers = []
        for event in call["body"].decode(errors="replace").split("\n\n")[:-1]:
            lines = event.split("\n")
            if len(lines) != 2 or not lines[0].startswith("id: "):
                faults.append(f"{call['id']} got an event that is none: {event[:60]!r}")
                continue
            numbers.append(int(lines[0][4:]))
        first = call["after"] + 1
        if numbers != list(range(first, first + len(numbers))):
            faults.append(f"{call['id']} got events {numbers} after {call['after']}")
        if call["complete"] and call["after"] + len(numbers) != call["events"]:
            faults.append(f"{call['id']} ended as complete after {numbers}")
    return faults


def whole_events(call):
    return call["body"].decode(errors="replace").split("\n\n")[:-1] if call["status"] == 200 else []


def last_event(call):
    """Returns the id of the last whole event that the caller has of the stream; 0: none."""
    return call["after"] + len(whole_events(call))


def software_of(call):
    """Returns the software versions that wrote the events of an answer."""
    return {event.rsplit(" ", 1)[1] for event in whole_events(call) if event.count(" ") == EVENT_SPACES}


def two_versions(calls):
    """Few streams have events of two software versions, in one answer or over a caller's tries."""
    wrote, inside = collections.defaultdict(set), set()
    for call in calls:
        if call["kind"].startswith("stream"):
            wrote[call["stream"]] |= software_of(call)
            if len(software_of(call)) > 1:
                inside.add(call["stream"])
    mixed_streams = [stream for stream, found in wrote.items() if len(found) > 1]
    if len(mixed_streams) <= MIXED_STREAMS:
        return []
    return [f"{len(mixed_streams)} of {len(wrote)} streams have events of two software versions, {len(inside)} of "
            f"them inside one answer: {mixed_streams[:5]}"]


def not_gone_on(calls, world):
    """Streams that are taken up go on nearly as often as new ones begin."""
    began = [call for call in calls if call["kind"] == "stream-again" and is_due(call, world)]
    by_stream = {call["id"]: call for call in calls}
    taken_up = [call for call in began if call["after"]
                and serving(world, software_of(by_stream[call["stream"]]), call["sent_at"]) >= 2]
    new = [call for call in began if not call["after"]]
    if len(taken_up) < TAKEN_UP:
        return []
    share, share_of_new = went_on_share(taken_up), went_on_share(new)
    if share >= TAKEN_UP_SHARE * share_of_new:
        return []
    return [f"of {len(taken_up)} streams that were taken up {share:.3f} went on, of new ones {share_of_new:.3f} began"]


def is_due(call, world):
    """Returns whether a request should be served: sent with a valid key to a connected node that was not told to stop,
    while the store was stable, without which no node can prove that a key is still valid."""
    return call["ended_at"] is not None and call["key"] not in world["revoked"] and not is_stopping(call, world) \
        and in_touch(world, call["node"], call["sent_at"]) \
        and calm_since(world, call["sent_at"] - CONTACT_SECONDS, call["sent_at"]) is not None


def went_on_share(calls):
    return sum(last_event(call) > call["after"] or is_served(call) for call in calls) / max(1, len(calls))


def rests(life, moment):
    """Returns whether the engine rejected all requests at that moment, as it asked for rest."""
    return any(start <= moment and (end is None or moment < end) for start, end in life["rests"])


def serving(world, versions, moment):
    """Returns the number of engines that ran one of these software versions at that moment and served."""
    return sum(life["software"] in versions and life["at"] <= moment and (life["end"] is None or moment < life["end"])
               and not rests(life, moment) for life in world["lives"])


def unasked(runs, asked, world):
    faults = []
    for run in runs:
        call = asked.get(run["id"])
        if call is None:
            faults.append(f"{run['engine']} ran {run['id']!r}, which nobody sent")
        elif (run["method"], run["path"], run["body"]) != (call["method"], call["path"],
                                                           call["sent_body"]):
            faults.append(f"{run['id']} was changed on the way")
        elif run["key"] is not None:
            faults.append(f"{run['id']} came with its key")
        elif run["tenant"] != world["tenant_of"].get(call["key"]):
            faults.append(f"{run['id']} came as tenant {run['tenant']}")
    return faults


def route(runs, asked, world):
    return [f"{run['id']} ran at {run['service']}" for run in runs
            if run["id"] in asked and run["service"] != world["service_of"][asked[run["id"]]["kind"]]]


def revoked(runs, asked, world):
    """No request runs that was sent later than the bound after its key was revoked."""
    faults = []
    for run in runs:
        call = asked.get(run["id"])
        since = world["revoked"].get(call["key"]) if call else None
        if since is not None and call["sent_at"] > since + REVOKE_SECONDS:
            faults.append(f"{run['id']} ran {call['sent_at'] - since:.2f} s after its key was taken")
        if call and call["key"] not in world["tenant_of"]:
            faults.append(f"{run['id']} ran with a key that never was")
    return faults


def behind(calls, world):
    """A row that was added and not removed is known to connected nodes within the bound."""
    faults = []
    for call in calls:
        acked = world["added"].get(call["path"].split("/")[1])
        since = None if acked is None or call["status"] != 404 else calm_since(world, acked, call["sent_at"])
        if since is not None and call["sent_at"] > since + CONFIG_SECONDS \
                and in_touch(world, call["node"], call["sent_at"]):
            faults.append(f"{call['id']}: node {call['node']} knew no row {call['path']} "
                          f"{call['sent_at'] - acked:.2f} s after it was added")
    return faults


def drained(asked, world):
    """No request of a connected node reaches an engine later than the bound after the engine's entry in the
    store said that it is draining."""
    left = {}
    for entry in world["left"]:
        left.setdefault(entry["life"], entry["at"])
    faults = []
    for entry in world["arrivals"]:
        if entry["life"] not in left or entry["id"] not in asked:
            continue
        since, node = calm_since(world, left[entry["life"]], entry["at"]), asked[entry["id"]]["node"]
        if since is not None and entry["at"] > since + DRAIN_SECONDS and in_touch(world, node, entry["at"]):
            faults.append(f"life {entry['life']}: a request of node {node} came "
                          f"{entry['at'] - left[entry['life']]:.2f} s after its entry had said that it leaves")
    return faults


def wall(runs, world):
    """Requests of an isolated tenant do not share a cache scope with other tenants."""
    tenants = collections.defaultdict(set)
    for run in runs:
        if run["salt"]:
            tenants[run["salt"]].add(run["tenant"])
    return [f"scope {salt} is shared by {sorted(who)}" for salt, who in tenants.items()
            if len(who) > 1 and who & world["isolated"]]


def stale(runs):
    versions = collections.defaultdict(set)
    for run in runs:
        if run["salt"]:
            versions[run["salt"]].add(run["version"])
    return [f"scope {salt} was used under versions {sorted(found)}"
            for salt, found in versions.items() if len(found) > 1]


def calm_since(world, since, until):
    """Returns the time, `since` or later, from which the store was stable until `until`; None if it was not.
    The store counts as unstable for another CONTACT_SECONDS after each of its faults."""
    for start, end in world["unstable"]:
        if start <= until and end + CONTACT_SECONDS > since:
            if end + CONTACT_SECONDS >= until:
                return None
            since = end + CONTACT_SECONDS
    return since


def in_touch(world, node, moment):
    """Returns whether no fault hit the node at the moment or within CONTACT_SECONDS before it, so that the bounds
    apply to the node."""
    return not any(start <= moment and end + CONTACT_SECONDS > moment
                   for start, end in world["struck"].get(node, ()))


def version(runs, asked, world):
    """No request of a connected node starts on old weights later than the bound for newer ones."""
    faults = []
    for run in runs:
        newer = [acked for number, acked in world["named"] if number > run["version"]]
        if run["id"] not in asked or not run["version"] or not newer:
            continue
        since = calm_since(world, min(newer), run["at"])
        node = asked[run["id"]]["node"]
        if since is not None and run["at"] > since + VERSION_SECONDS \
                and in_touch(world, node, run["arrived"]):
            faults.append(f"{run['id']} of node {node} began at {run['engine']} on version "
                          f"{run['version']}, {run['at'] - min(newer):.2f} s after a newer one")
    return faults


def stretched(world):
    """No connected node treats a healthy store as unavailable and extends the bounds for its requests."""
    return [f"node {node} took the store for away" for node, moments in world["stretched"].items()
            for moment in moments if in_touch(world, node, moment)
            and calm_since(world, moment - CONTACT_SECONDS, moment) is not None]


def lost(calls, by_id, world):
    """A request that a healthy engine ran gets a response, also from a stopping process, and so does each
    request on an open connection, whether it ran or not. The exceptions are requests to a process that was
    killed or frozen, those whose caller gave up, and those that did not run because they arrived just as a
    stopping process exited."""
    faults = []
    for call in calls:
        if call["status"] is not None or call["gave_up"] or was_killed(call, world):
            continue
        runs = by_id[call["id"]]
        if any(run["fault"] for run in runs):
            continue
        if runs or (call["connected"] and not met_exit(call, world)):
            faults.append(f"{call['id']} {'ran and' if runs else 'did not run and'} got no answer from "
                          f"node {call['node']} after {call['ended_at'] - call['sent_at']:.2f} s"
                          f"{sent_whole_text(call)}: {call['broken']}")
    return faults


def sent_whole_text(call):
    if call["sent_whole_at"] is None:
        return ", not sent whole"
    return f", {call['ended_at'] - call['sent_whole_at']:.2f} s after its last byte"


def was_killed(call, world):
    return any(call["sent_at"] - CONTACT_SECONDS < moment <= call["ended_at"] + 0.1
               for moment in world["killed"].get(call["node"], ()))


def met_exit(call, world):
    """Returns whether the request was sent within END_SECONDS of the exit of its node's process. A request is dated
    from the start of its sending until its last byte was sent, or until the sending failed: a caller that has little
    CPU time sends it long after it has connected, and before its last byte the process cannot have read it."""
    sent_until = call["ended_at"] if call["sent_whole_at"] is None else call["sent_whole_at"]
    return any(call["sent_at"] - END_SECONDS <= moment <= sent_until + END_SECONDS
               for moment in world["exits"].get(call["node"], ()))


def memory(world):
    """No process uses more memory than its machine has, and none exits without being told to."""
    faults = [f"node {node} took {peak / MEGABYTE:.1f} MB of {world['memory_bytes'][node] / MEGABYTE:.0f}"
              for node, peak in world["peak_bytes"].items() if peak > world["memory_bytes"][node]]
    return faults + [f"node {node} ended by itself with status {status}"
                     for node, ends in world["ended_itself"].items() for _, status in ends]


def budget(runs, asked, world):
    """Once a request has crashed three engines and connected nodes have had time to learn of it, it reaches
    engines at most three more times."""
    faults = []
    ends = collections.defaultdict(list)
    for crash in world["crashes"]:
        if crash["part"] is None:
            ends[crash["body"]].append(crash["at"])
    for body, crashed in ends.items():
        if len(crashed) < CRASHES:
            continue
        limit = sorted(crashed)[CRASHES - 1] + CONTACT_SECONDS
        late = [run for run in runs if run["body"] == body and run["arrived"] > limit
                and run["id"] in asked and calm_since(world, limit - CONTACT_SECONDS, run["arrived"])
                is not None and in_touch(world, asked[run["id"]]["node"], run["arrived"])]
        if len(late) > LATE_SENDS:
            faults.append(f"{body!r} reached engines {len(late)} times later than "
                          f"{CONTACT_SECONDS} s after its third crash; {len(crashed)} in all")
    return faults


def crashes_of_parts(world):
    found = collections.defaultdict(list)
    for crash in world["crashes"]:
        if crash["part"] is not None:
            found[crash["part"]].append(crash["at"])
    return {part: sorted(crashed) for part, crashed in found.items()}


def by_parts(asked, world):
    """Once requests with one part have crashed five engines and connected nodes have had time to learn of it, few
    more of them reach engines."""
    faults = []
    for part, crashed in crashes_of_parts(world).items():
        if len(crashed) < PART_CRASHES:
            continue
        limit = crashed[PART_CRASHES - 1] + CONTACT_SECONDS
        late = [entry for entry in world["arrivals"] if entry["at"] > limit and entry["id"] in asked
                and part in asked[entry["id"]]["parts"]
                and calm_since(world, limit - CONTACT_SECONDS, entry["at"]) is not None
                and in_touch(world, asked[entry["id"]]["node"], entry["at"])]
        if len(late) > LATE_SENDS:
            faults.append(f"requests with part {part} reached engines {len(late)} times later than "
                          f"{CONTACT_SECONDS} s after its fifth crash; {len(crashed)} in all")
    return faults


def retries_beyond(calls, world):
    """In no window do engines of a service get more arrivals beyond the first of their requests than allowed, summed
    over all nodes and their lives."""
    return [f"{service}: {most} retries in {RETRY_WINDOW_SECONDS} s from {start:.2f} on, allowed {allowed:.1f}"
            for service, (most, start, allowed) in worst_windows(calls, world).items() if most > allowed]


def worst_windows(calls, world):
    """Returns {service: worst_window()} of the services whose engines got retries."""
    retries, seen = collections.defaultdict(list), set()
    for entry in sorted(world["arrivals"], key=lambda entry: entry["at"]):
        if entry["id"] in seen:
            retries[entry["service"]].append(entry["at"])
        seen.add(entry["id"])
    return {service: worst_window(times, sorted(call["sent_at"] for call in calls
                                                if world["service_of"].get(call["kind"]) == service))
            for service, times in retries.items()}


def worst_window(retries, sent):
    """Returns (retries, start, allowed) of the window whose retries come nearest to what is allowed, or exceed it most."""
    def count(times, start):
        return bisect.bisect_left(times, start + RETRY_WINDOW_SECONDS) - bisect.bisect_left(times, start)
    windows = []
    for start in retries:
        requests = max(count(sent, start - back * RETRY_WINDOW_SECONDS) for back in (0, 0.5, 1))
        windows.append((count(retries, start), start, RETRY_RATIO * requests + RETRY_SLACK))
    return max(windows, key=lambda window: window[0] - window[2])


def beside_parts(calls, world):
    """While requests with a bad part still come, sound ones with the same first part begin about as often as before."""
    faults, sound = [], [call for call in calls if call["parts"] and call["sent_body"] not in world["poison"]
                         and not set(call["parts"]) & world["poison_parts"] and not call["after"]
                         and is_due(call, world)]
    for part, crashed in crashes_of_parts(world).items():
        since = crashed[:PART_CRASHES][-1] + 2 * CONTACT_SECONDS
        until = max(call["sent_at"] for call in calls if part in call["parts"])
        calm = [call for call in sound if call["sent_at"] < crashed[0] - 1]
        then = [call for call in sound if since < call["sent_at"] < until]
        if min(len(calm), len(then)) < SOUND_REQUESTS:
            continue
        share, share_before = went_on_share(then), went_on_share(calm)
        if share < SOUND_SHARE * share_before:
            faults.append(f"beside part {part} {share:.3f} of {len(then)} sound requests began, before {share_before:.3f}")
    return faults


def blamed(calls, world):
    """No harmless request is rejected because of the crashes of another one."""
    return [f"{call['id']} was refused for crashes of another request" for call in calls
            if b'"kind":"quarantined"' in call["body"] and call["sent_body"] not in world["poison"]
            and not set(call["parts"]) & world["poison_parts"]]


def one(orders):
    """Orders to one engine: no fence is used by two holders, and orders of different holders are at least one
    lease apart."""
    faults = []
    by_engine = collections.defaultdict(list)
    for entry in orders:
        by_engine[entry["engine"]].append(entry)
    holders = collections.defaultdict(set)
    for engine, entries in by_engine.items():
        entries.sort(key=lambda entry: entry["at"])
        for entry in entries:
            holders[(engine, entry["fence"])].add(entry["holder"])
        for before, after in zip(entries, entries[1:]):
            if before["holder"] != after["holder"] and after["at"] - before["at"] < LEASE_SECONDS:
                faults.append(f"{engine}: {before['holder']} and {after['holder']} gave orders "
                              f"{after['at'] - before['at']:.2f} s apart")
    faults += [f"{engine}: fence {fence} was used by {sorted(who)}"
               for (engine, fence), who in holders.items() if len(who) > 1]
    return faults


def stated_number(text):
    """Returns the value of a decimal number, or None if the text is not one."""
    try:
        number = float(text) if text is not None and re.fullmatch(r"[0-9]+(\.[0-9]+)?", text) else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def limit_stretches(limits, told, forgotten):
    """Returns {life: [[start, end, [(since, rate)]]]}: the intervals during which an engine stated limits without
    a gap. A limit counts only from the first response that stated it; an invalid text neither sets nor clears
    it. `forgotten`: times at which all nodes were killed at once; afterwards no node knows earlier limits."""
    stretches = collections.defaultdict(list)
    ends = [entry for entry in limits if entry["text"] is None]
    ends += [{"life": life, "at": moment, "text": None} for moment in forgotten
             for life in {entry["life"] for entry in limits}]
    for entry in sorted([*ends, *told], key=lambda entry: entry["at"]):
        own, rate = stretches[entry["life"]], stated_number(entry["text"])
        is_open = bool(own) and own[-1][1] is None
        if entry["text"] is None and is_open:
            own[-1][1] = entry["at"]
        elif rate is not None and not is_open:
            own.append([entry["at"], None, [(entry["at"], rate)]])
        elif rate is not None and rate != own[-1][2][-1][1]:
            own[-1][2].append((entry["at"], rate))
    return stretches


def most_allowed(rates, start, end):
    """Returns the requests allowed in a window: the highest limit stated during it or shortly before applies to
    all of it. rates: (since, requests per second)."""
    in_force = [rate for (since, rate), (until, _) in zip(rates, rates[1:] + [(math.inf, 0)])
                if since <= end and until + LIMIT_TOLD_SECONDS >= start]
    return LIMIT_FACTOR * max(in_force) * LIMIT_WINDOW_SECONDS + LIMIT_SLACK


def limit(asked, world):
    """Some time after an engine first stated a limit, it gets no more requests than allowed from connected nodes
    that received such a response."""
    faults = []
    answered = [entry for entry in world["told"] if entry["id"] in asked]
    for life, stretches in limit_stretches(world["limits"], answered,
                                           world["all_killed"]).items():
        told = [entry for entry in answered if entry["life"] == life]
        for start, end, rates in stretches:
            first = {}
            for entry in told:
                if entry["at"] >= start:
                    first.setdefault(asked[entry["id"]]["node"], entry["at"])
            if not first:
                continue
            since = min(first.values()) + CONTACT_SECONDS
            counted = sorted(
                entry["at"] for entry in world["arrivals"]
                if entry["life"] == life and entry["id"] in asked
                and since <= entry["at"] <= (end or math.inf)
                and first.get(asked[entry["id"]]["node"], math.inf) + LIMIT_TOLD_SECONDS <= entry["at"]
                and in_touch(world, asked[entry["id"]]["node"], entry["at"]))
            faults += windows_beyond(life, counted, rates)
    return faults


def windows_beyond(life, arrivals, rates):
    """Returns the windows with more arrivals than the limit allows, each reported by its first arrival."""
    faults, last = [], 0
    for first, start in enumerate(arrivals):
        while last < len(arrivals) and arrivals[last] <= start + LIMIT_WINDOW_SECONDS:
            last += 1
        allowed = most_allowed(rates, start, start + LIMIT_WINDOW_SECONDS)
        if last - first > allowed:
            faults.append(f"life {life}: {last - first} requests in {LIMIT_WINDOW_SECONDS} s, "
                          f"allowed {allowed:.1f}")
    return faults


def was_struck_between(world, node, start, end):
    return any(begin <= end and until >= start for begin, until in world["struck"].get(node, ()))


def drain(calls, asked, world):
    """After a node has forwarded a response that announces the shutdown of its engine, requests sent later than
    the bound do not reach that engine from that node, unless a fault hit the node since."""
    passed_on = {call["stamp"]: call["answered_at"] for call in calls if call["stamp"]}
    told = collections.defaultdict(list)
    for entry in world["told_leaving"]:
        moment = passed_on.get(f"{entry['engine']}.{entry['id']}")
        if moment is not None:
            told[(entry["life"], asked[entry["id"]]["node"])].append(moment)
    faults = []
    for entry in world["arrivals"]:
        call = asked.get(entry["id"])
        late = [call["sent_at"] - moment for moment in told.get((entry["life"], call["node"]), ())
                if call["sent_at"] > moment + DRAIN_SECONDS
                and not was_struck_between(world, call["node"], moment, entry["at"])] if call else []
        if late:
            faults.append(f"life {entry['life']}: a request of node {call['node']} came {max(late):.2f} s after "
                          "an answer had said that it leaves")
    return faults


def sender(entry, asked, world):
    """Returns the node that sent a request to an engine: not the one that its caller asked, if that handed it on."""
    return world["node_of"].get(entry.get("host"), asked[entry["id"]]["node"])


def rest(asked, world):
    """Some time after an engine sent a node a Retry-After and until it ends, the engine gets at most a few requests
    from that node, unless a fault hit the node since."""
    arrivals = collections.defaultdict(list)
    for entry in world["arrivals"]:
        if entry["id"] in asked:
            arrivals[(entry["life"], sender(entry, asked, world))].append((entry["at"], entry["id"]))
    faults = []
    for entry in world["told_rest"]:
        seconds = stated_number(entry["text"])
        if seconds is None or entry["id"] not in asked:
            continue
        node = sender(entry, asked, world)
        late = [(moment, request) for moment, request in arrivals[(entry["life"], node)]
                if entry["at"] + REST_TOLD_SECONDS < moment < entry["at"] + seconds]
        if len(late) > REST_SENDS and not was_struck_between(world, node, entry["at"], late[REST_SENDS][0]):
            later = [f"{request} {moment - entry['at']:.2f} s later" for moment, request in late]
            faults.append(f"life {entry['life']}: {len(late)} requests of node {node} in the {seconds:g} s of rest "
                          f"that it had asked for with the answer to {entry['id']}: {', '.join(later[:8])}")
    return faults


def endless(world):
    """Connections on which engines send bytes without end are closed at the deadline of their request at the latest,
    unless a fault hit the node meanwhile."""
    faults = []
    for entry in world["endless"]:
        node = world["node_of"].get(entry["host"])
        most = ENDLESS_SECONDS if entry["id"] else ENDLESS_REPORT_SECONDS
        end = math.inf if entry["end"] is None else entry["end"]
        if end - entry["at"] > most and not was_struck_between(world, node, entry["at"], end):
            what = f"the answer to {entry['id']}" if entry["id"] else "a report"
            faults.append(f"node {node} read {what}, an endless {entry['form']}, for {end - entry['at']:.2f} s")
    return faults


def is_served(call):
    return call["status"] == 200 and call["complete"]


def tries_between(calls, world, start, end):
    """Returns the requests sent in the window to connected nodes that any node should serve."""
    return [call for call in calls if start <= call["sent_at"] <= end and call["ended_at"] is not None
            and call["sent_body"] not in world["poison"] and call["key"] not in world["revoked"]
            and in_touch(world, call["node"], call["sent_at"]) and not is_stopping(call, world)]


def is_stopping(call, world):
    """Returns whether the request was sent to a node that had been told to stop: the platform sends no callers there,
    those of a soak come all the same."""
    return any(start <= call["sent_at"] <= end for start, end in world["stopping"].get(call["node"], ()))


def cut_off(calls, world):
    """Callers of nodes that are partitioned from all engines are served about as well as those of the others."""
    faults = []
    for cut in world["cuts"]:
        start, end = cut["start"] + CONTACT_SECONDS, cut["end"] or math.inf
        overlapping = [each for each in world["cuts"]
                       if each["start"] <= end and (each["end"] or math.inf) >= cut["start"]]
        struck = {number for each in overlapping for number in each["nodes"]}
        tries = tries_between(calls, world, start, end)
        there = [call for call in tries if call["node"] in cut["nodes"]]
        others = [call for call in tries if call["node"] not in struck]
        if not there or not others:
            continue
        failed = sum(not is_served(call) for call in there)
        share = 1 - failed / len(there)
        share_of_others = sum(map(is_served, others)) / len(others)
        if share < CUT_SHARE * share_of_others and failed > CUT_FAILURES + CUT_FAILURE_SHARE * len(there):
            faults.append(f"nodes {cut['nodes']}, partitioned from all engines ({cut['way']}), served "
                          f"{len(there) - failed} of {len(there)} first tries, the others {share_of_others:.2f}")
    return faults


def fallen(asked, world):
    """While the engines of a service say that they are brittle, few of them fall for want of room."""
    faults = []
    for time_of in world["brittle"]:
        first = min((entry["at"] for entry in world["arrivals"] if entry["at"] >= time_of["start"]),
                    default=math.inf)
        falls = [fall for fall in world["falls"] if fall["service"] == time_of["service"]
                 and first + CONTACT_SECONDS <= fall["at"] <= (time_of["end"] or math.inf)
                 and mostly_from_connected(fall, asked, world)]
        allowed = FALLS + FALL_SHARE * time_of["engines"]
        if len(falls) > allowed:
            faults.append(f"{len(falls)} engines of {time_of['service']} fell that survive "
                          f"{time_of['survives']} rejections a second; {allowed:.1f} allowed")
    return faults


def mostly_from_connected(fall, asked, world):
    calls = [asked[request] for request in fall["rejected"] if request in asked]
    connected = sum(in_touch(world, call["node"], call["sent_at"]) for call in calls)
    return 2 * connected > len(calls)
