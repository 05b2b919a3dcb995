"""Batch jobs wait while a route is added whose prefix lies below that of their route."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from loopback_fleet import TROUBLE, play  # noqa: E402

JOBS, ITEMS = 3, 20
FINISH_S = 18


async def case(fleet):
    await asyncio.sleep(2)
    jobs = [f"7c41e0{number}" for number in range(JOBS)]
    for number, job in enumerate(jobs):
        await fleet.submit(job, [b"item"] * ITEMS, fleet.names[number:], path="v1/generate")
    await asyncio.sleep(1.5)
    fleet.configure(4, more_routes=["/api/v1/" if TROUBLE else "/chat/v1/"])
    await asyncio.sleep(FINISH_S)
    given_up = 0
    for job in jobs:
        listed, total = await fleet.results(job)
        states = [result["state"] for result in listed]
        given_up += states.count("dead_letter")
        fleet.record(f"client: {job}: {states.count('completed')} completed, {states.count('dead_letter')} dead_letter "
                     f"of {total}")
        if not TROUBLE:
            assert states == ["completed"] * ITEMS, states
    reached = {note["request"] for note in fleet.notes if note["what"] == "run"}
    fleet.record(f"{len(reached)} of {JOBS * ITEMS} items reached a runner; no runner answered 422 or 500, no batch job "
                 f"was ended, its route is in force, and 120 s (max-wait-s) are not over")
    assert not any(note["what"] == "422" for note in fleet.notes)
    return f"MIXED: {given_up} items are listed as dead_letter without a reason" if given_up else None


play(case, FOLDER, nodes=3, runners=4, batch_prefix="/api/", events=100, gap_s=0.03)
