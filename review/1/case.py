"""All nodes are killed and start again while the store's part with the configuration is unavailable."""
import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from platform_standin import TROUBLE, DeployedFleet, job_body, main  # noqa: E402

ITEMS = 24          # of one job
OUTAGE_S = 6.5      # of the part with the tables op, servers and nodes
JOBS = ["a1", "a2", "a3"]


async def case(record):
    fleet = DeployedFleet(nodes=3, endpoints=2)
    for endpoint in fleet.endpoints:
        endpoint.events, endpoint.pause = 40, 0.05
    async with fleet:
        await asyncio.sleep(1.5)
        for number, job in enumerate(JOBS):
            status, _, _ = await fleet.call(fleet.names[number], "POST", "/batch/x", job_body(job, ITEMS),
                                            {"X-Request-Id": job, "X-Deadline-Ms": "4000"})
            record.note(f"job {job} of {ITEMS} items sent to {fleet.names[number]}: {status}")
            if status != 202:
                raise RuntimeError(f"job {job} not accepted")
        await asyncio.sleep(3)
        if TROUBLE:
            fleet.store.down_parts = {""}
            record.note("store: part '' (op, servers, status, nodes) answers 503; the other parts are served")
        for name in fleet.names:  # herd_kill: in both runs
            fleet.processes[name].kill()
            await fleet.processes[name].wait()
            record.note(f"{name} killed")
        for name in fleet.names:
            await fleet.start(name)
        record.note("all nodes started again")
        await asyncio.sleep(OUTAGE_S)
        fleet.store.down_parts = set()
        record.note("store: all parts are served")
        for name in fleet.names:
            await fleet.wait_until_ready(name)
        record.note("all nodes ready")
        broken = False
        for job in JOBS:
            page = await read_all(fleet, job)
            dead = [result["id"] for result in page["results"] if result["state"] == "dead_letter"]
            record.note(f"job {job}: total {page['total']}, listed {page['next']}, dead_letter {len(dead)}: {dead}")
            whole = page["next"] == page["total"] == ITEMS
            broken = broken or bool(dead) or not whole
        for endpoint in fleet.endpoints:
            record.note(f"runner {endpoint.name} ran {len(endpoint.runs)}: "
                        f"{json.dumps([[run[0], run[1], bool(run[2])] for run in endpoint.runs])}")
            record.note(f"runner {endpoint.name} gave no 500 and no 422")
        for line in fleet.log_lines("job_items_given_up"):
            record.note(f"log: {line}")
        return broken


async def read_all(fleet, job):
    """Reads the results until all items are listed, for 45 s at most."""
    page = None
    for _ in range(90):
        page = await fleet.results("n0", job) or page
        if page and page["next"] == page["total"]:
            break
        await asyncio.sleep(0.5)
    return page


main(case, HERE)
