"""UNASKED: a job starts long after its cancelling was acknowledged."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import harness  # noqa: E402

LATE_S = 6.0     # the bench's platform_lost 'late': performed 1 to 6 s later
ROUNDS = 3
PAUSE_S = 20     # between two rounds, so that each is judged with the store calm
CANCEL_S = harness.BOUNDS["cancel_ms"] / 1000
STOP_S = harness.BOUNDS["stopGraceMs"] / 1000
CALM_S = harness.BOUNDS["contactMs"] / 1000


async def case(fleet, trouble):
    service = fleet.services[0]
    late = set()     # jobs whose writes get no answer and are performed late
    last_loss = [0.0]

    async def on_tx(document):
        keys = [e["key"] for e in document.get("setKeys", [])]
        hit = [job for job in late if any(key.startswith(job) for key in keys)]
        if not hit:
            return

        async def perform():
            await asyncio.sleep(LATE_S)
            status, _ = fleet.store.apply(document)
            fleet.record.add("store: performed a write of %s late -> %d" % (hit[0], status))
        last_loss[0] = fleet.record.now()
        fleet.record.add("store: a write of %s gets no answer" % hit[0])
        asyncio.ensure_future(perform())
        await asyncio.sleep(30)
        raise harness.Drop()
    fleet.store.on_tx = on_tx
    # A job that lasts until it is cancelled.
    job_body = dict(spec='{"ms": 0}', steps=[dict(count=2, cpu=500, memMb=64, estimatedMs=300,
                                                  longRunning=True)])
    violations = []
    judged = 0
    for number in range(ROUNDS):
        job = harness.new_id()
        node = number % fleet.node_count
        if trouble:
            late.add(job)
        await fleet.request("POST", service, job, job_body, node=node)
        late.discard(job)  # all later writes are answered
        status, _ = await fleet.request("DELETE", service, job, node=node)
        if status // 100 != 2 and status != 410:
            continue
        judged += 1
        acked = fleet.record.now()
        await asyncio.sleep(PAUSE_S)
        for at, worker, task, run, _ in fleet.starts:
            if task.startswith(job) and at > acked + CANCEL_S and at > last_loss[0] + CALM_S:
                violations.append("UNASKED: %s started %s (run %d) %.2f s after the cancelling of the "
                                  "job was acknowledged with %d" % (worker, task, run, at - acked, status))
        now = fleet.record.now()
        for worker in fleet.workers:
            for task in worker.runs:
                if task.startswith(job) and now > acked + CANCEL_S + STOP_S:
                    violations.append("UNASKED: %s runs on at %s %.1f s after the cancelling of the job "
                                      "was acknowledged" % (task, worker.id, now - acked))
    if not judged:
        raise RuntimeError("no cancelling was acknowledged")
    return violations


case.settings = dict(nodes=3, workers=4)
harness.run_case(FOLDER, case)
