"""One part of prompts crashes each runner that begins to answer it. All processes of the system are
killed at the same moment and started again, once the part is known and held back."""
import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deploy_fleet  # noqa: E402
from deploy_fleet import CONTACT_S, TROUBLE  # noqa: E402
import crashing_endpoint  # noqa: E402
from crashing_endpoint import CrashingEndpoint, prompt  # noqa: E402

MOST_LATE = 3                        # requests that may still reach runners
BAD_AT = (3, 8, 13, 18, 23, 34, 39, 44, 49)  # seconds; four at a time, no two alike
KILLED_AT, BACK_AFTER, PLAYED = 26, 1, 53
# An entry lapses after three heartbeats of 1.2 s; the last one was up to 1.2 s before the crash.
crashing_endpoint.HEARTBEATS_MISSED, crashing_endpoint.DOWN = 3.0, 4.0


class Fleet(deploy_fleet.DeployFleet):
    def __init__(self, names, record):
        super().__init__(names, record)
        self.endpoints = [CrashingEndpoint(self, f"i-{number}") for number in range(14)]
        self.ended, self.reached, self.tasks = [], [], []

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        await super().__aexit__(*error)

    async def start_endpoint(self, endpoint):
        endpoint.server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        self.servers.append(endpoint.server)
        self.register_endpoint(endpoint, endpoint.server.sockets[0].getsockname()[1])


async def main(record):
    fleet = Fleet(["front-1", "front-2", "front-3"], record)
    CrashingEndpoint.bad_parts = frozenset({"bad"})
    calls, number = set(), 0

    def send(parts):
        nonlocal number
        number += 1
        identity = f"a{number:04x}"
        headers = {"X-Token-Count": "300,30", "X-Prompt-Prefix": prompt(*parts, identity)}
        call = asyncio.ensure_future(fleet.stream(fleet.names[number % 3], identity, headers))
        calls.add(call)
        call.add_done_callback(calls.discard)

    async with fleet:
        await asyncio.sleep(1.5)
        begin = time.monotonic()

        async def sound():
            while time.monotonic() < begin + PLAYED:
                send([f"f{number % 3}", f"s{number % 40}"])
                await asyncio.sleep(0.05)

        async def bad():
            for at in BAD_AT:
                await asyncio.sleep(begin + at - time.monotonic())
                for turn in range(4):
                    send([f"f{turn % 3}", "bad"])

        traffic = asyncio.gather(sound(), bad())
        in_touch = 0
        if TROUBLE:
            await asyncio.sleep(begin + KILLED_AT - time.monotonic())
            for name in fleet.names:
                await fleet.stop(name, kill=True)
            for process in fleet.processes.values():
                await process.wait()
            await asyncio.sleep(BACK_AFTER)
            for name in fleet.names:
                await fleet.start(name)
            for name in fleet.names:
                await fleet.wait_until_ready(name)
            in_touch = time.monotonic() + CONTACT_S
            record.write("all are ready again")
        await traffic
        await asyncio.gather(*calls)
        for at, identity in fleet.reached:
            record.write(f"{identity}, with the part, reached a runner at {at - record.start:.3f}")
        for at in fleet.ended:
            record.write(f"a runner crashed at {at - record.start:.3f}")
        if len(fleet.ended) < 5:
            raise RuntimeError("fewer than five crashes")
        known = fleet.ended[4] + CONTACT_S
        killed = begin + KILLED_AT if TROUBLE else float("inf")
        late = [identity for at, identity in fleet.reached if at > known and (at < killed or at > in_touch)]
        return deploy_fleet.end(
            record, len(late) > MOST_LATE,
            f"{len(late)} requests with the part reached runners later than {CONTACT_S} s after the fifth "
            f"crash ({MOST_LATE} may): {' '.join(late)}; {len(fleet.ended)} crashes in all")


deploy_fleet.run(main, os.path.dirname(os.path.abspath(__file__)))
