"""TWICE: after a route was removed and added for another service, a new owner starts running tasks."""
import asyncio
import copy
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import harness  # noqa: E402

ANSWER_S = 0.02      # how long the workers of the first service take to answer
JOBS, TASKS = 5, 4


async def case(fleet, trouble):
    old, new = fleet.services

    def slow(inner):
        async def handle(*call):
            await asyncio.sleep(ANSWER_S)
            return await inner(*call)
        return handle
    for worker in fleet.workers:
        if worker.service == old:
            worker.handler = slow(worker.handler)
    body = dict(spec='{"ms": 20000}', steps=[dict(count=TASKS, cpu=1000, memMb=64, estimatedMs=20000)])
    for number in range(JOBS):
        status, _ = await fleet.request("POST", old, harness.new_id(), body)
        if status // 100 != 2:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(2)
    if len(fleet.starts) != JOBS * TASKS:
        raise RuntimeError("not all tasks were started")
    if trouble:
        config = copy.deepcopy(fleet.config)
        config["version"] += 3
        route = config["routes"].pop(0)
        fleet.store.put("op", "config", config)
        fleet.record.add("the operator removes the route; the store has confirmed it")
        await asyncio.sleep(4)
        config["version"] += 2
        config["routes"].insert(0, dict(route, service=new))
        fleet.store.put("op", "config", config)
        fleet.record.add("the operator adds the route, to %s; the store has confirmed it" % new)
    await asyncio.sleep(5)  # well over configApplyMs
    owner = fleet.owner()
    if owner is None:
        raise RuntimeError("no node acts")
    fleet.nodes[owner].send_signal(signal.SIGTERM)
    fleet.record.add("SIGTERM to node-%d, which gave the orders" % owner)
    await asyncio.sleep(10)
    return fleet.twice()


case.settings = dict(nodes=3, workers=6, services=("svc-a", "svc-b"))
harness.run_case(FOLDER, case)
