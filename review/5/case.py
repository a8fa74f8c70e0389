"""AVAIL: tasks at work are stopped beyond their step's budget because answers were lost."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import harness  # noqa: E402

HANG_S = 1.5     # the bench's srv_grey 'hang': up to 5.5 s here, a tenth of the workers
WORKERS = 10     # one of them hangs
COUNT, MAY_MISS = 6, 1
ROUNDS = 2
NOTICE_S = harness.BOUNDS["noticeMs"] / 1000
STARTUP_S = harness.STARTUP_MS / 1000


async def case(fleet, trouble):
    service = fleet.services[0]
    current = [None]     # the job of this round
    hang = {}            # worker -> the time at which it answers again

    def wrap(worker, inner):
        async def handle(method, path, query, headers, body):
            if (trouble and path == "/-/run-start" and current[0] and not hang
                    and current[0] in body.decode()):
                hang[worker] = time.monotonic() + HANG_S
                fleet.record.add("%s answers nothing for %.1f s" % (worker.id, HANG_S))
            answer = await inner(method, path, query, headers, body)
            if time.monotonic() < hang.get(worker, 0):
                await asyncio.sleep(60)  # the answer never comes
                raise harness.Drop()
            return answer
        return handle
    for worker in fleet.workers:
        worker.handler = wrap(worker, worker.handler)
    # What the step's tasks went through, in order: (time, index, 'start' or how it ended, sound)
    events = []
    on_start, on_end = fleet.on_start, fleet.on_end

    def note(worker, task, what):
        if current[0] and task.startswith(current[0]):
            sound = time.monotonic() >= hang.get(worker, 0)
            events.append((time.monotonic(), int(task.split(".")[3]), what, sound))
    fleet.on_start = lambda w, t, r, m: (on_start(w, t, r, m), note(w, t, "start"))
    fleet.on_end = lambda w, t, r, how: (on_end(w, t, r, how), note(w, t, how))
    body = dict(spec='{"ms": 0}', steps=[dict(count=COUNT, cpu=1000, memMb=64, estimatedMs=500,
                                              longRunning=True, mayMiss=MAY_MISS)])
    violations = []
    for number in range(ROUNDS):
        job = harness.new_id()
        current[0] = job
        hang.clear()
        events.clear()
        begin = time.monotonic()
        status, _ = await fleet.request("POST", service, job, body, node=number % fleet.node_count)
        if status // 100 != 2:
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(9)
        seen = list(events)
        current[0] = None
        await fleet.request("DELETE", service, job)
        await asyncio.sleep(2)
        started = {}                             # index -> start of its run
        away_since = {i: begin for i in range(COUNT)}   # not at work for any cause
        by_order = set()                         # ended by a stop and not at work again
        for at, index, what, sound in seen:
            for other, since in started.items():
                if at >= since + STARTUP_S:
                    away_since.pop(other, None)
                    by_order.discard(other)
            if what == "start":
                started[index] = at
                continue
            at_work = index in started and at >= started[index] + STARTUP_S
            others = [i for i in range(COUNT) if i != index and (
                i in by_order or (i in away_since and at - away_since[i] >= NOTICE_S))]
            if what == "stopped" and at_work and sound and len(others) >= MAY_MISS:
                violations.append("AVAIL: a stop ends %s.0.0.%d, at work on a sound worker, while %d "
                                  "others of its step are away, and %d may be" % (
                                      job, index, len(others), MAY_MISS))
            started.pop(index, None)
            away_since[index] = at
            if what == "stopped" and at_work:
                by_order.add(index)
    return violations


case.settings = dict(nodes=3, workers=WORKERS)
harness.run_case(FOLDER, case)
