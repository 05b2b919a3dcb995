"""One part of prompts crashes each runner that begins to write an answer on it: each has written the
first event by then."""
import asyncio
import base64
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deploy_fleet  # noqa: E402
from deploy_fleet import CONTACT_S, TROUBLE  # noqa: E402
import crashing_endpoint  # noqa: E402
from crashing_endpoint import CrashingEndpoint, parts_of, prompt  # noqa: E402
from node_fleet import encode  # noqa: E402

MOST_LATE = 3             # requests that may still reach runners
RUNNERS, PLAYED = 14, 30  # seconds
BAD_PERIOD, SOUND_PERIOD = 1.0, 0.05
# An entry lapses after three heartbeats of 1.2 s; the last one was up to 1.2 s before the crash.
crashing_endpoint.HEARTBEATS_MISSED, crashing_endpoint.DOWN = 3.0, 4.0


class Runner(CrashingEndpoint):
    async def answer(self, reader, writer, line, headers, fault):
        if "bad" not in parts_of(headers) or headers.get("x-expect-instance") != self.name:
            return await super().answer(reader, writer, line, headers, fault)
        identity, start = headers["x-request-id"], int(headers.get("last-event-id", 0)) + 1
        self.fleet.reached.append((time.monotonic(), identity))
        if not TROUBLE:
            return await super().answer(reader, writer, line, headers, fault)
        await asyncio.sleep(0.06)
        if writer not in self.writers:  # crashed meanwhile
            return False
        event = b"id: %d\ndata: %s-%d\n\n" % (start, identity.encode(), start)
        writer.write(self.head(headers, "Transfer-Encoding: chunked") + b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(0.02)
        self.fleet.ended.append(time.monotonic())
        self.end()
        return False


class Fleet(deploy_fleet.DeployFleet):
    def __init__(self, names, record):
        super().__init__(names, record)
        self.endpoints = [Runner(self, f"i-{number}") for number in range(RUNNERS)]
        self.ended, self.reached, self.tasks = [], [], []

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        await super().__aexit__(*error)

    def configure(self, **_):
        super().configure()
        config = json.loads(base64.b64decode(self.store.rows[("op", "", "config")][0]))
        stream = next(route for route in config["routes"] if route["kind"] == "stream")
        config["routes"].append({**stream, "name": "once", "path-prefix": "/once/", "resumable": False,
                                 "max-attempts": 1})
        self.store.put("op", "", "config", encode({**config, "version": 2}))

    async def start_endpoint(self, endpoint):
        endpoint.server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        self.servers.append(endpoint.server)
        self.register_endpoint(endpoint, endpoint.server.sockets[0].getsockname()[1])


async def main(record):
    fleet = Fleet(["front-1", "front-2", "front-3"], record)
    calls, sound_answers, number = set(), [], 0

    async def send(parts, is_sound):
        nonlocal number
        number += 1
        path = "/once/x" if is_sound and number % 2 else "/stream/x"
        identity = f"a{number:04x}"
        headers = {"X-Token-Count": "300,30", "X-Prompt-Prefix": prompt(*parts, identity)}
        status = await fleet.stream(fleet.names[number % 3], identity, headers, path)
        if is_sound:
            sound_answers.append(status)

    def start(parts, is_sound=True):
        call = asyncio.ensure_future(send(parts, is_sound))
        calls.add(call)
        call.add_done_callback(calls.discard)

    async with fleet:
        await asyncio.sleep(1.5)
        begin, next_bad, turn = time.monotonic(), 0.0, 0
        while time.monotonic() < begin + PLAYED:
            start([f"f{number % 3}", f"s{number % 40}"])
            if time.monotonic() - begin > 2 and time.monotonic() > next_bad:
                next_bad, turn = time.monotonic() + BAD_PERIOD, turn + 1
                start([f"f{turn % 3}", "bad"], is_sound=False)
            await asyncio.sleep(SOUND_PERIOD)
        await asyncio.gather(*calls)
        for at, identity in fleet.reached:
            record.write(f"{identity}, with the part, reached a runner at {at - record.start:.3f}")
        for at in fleet.ended:
            record.write(f"a runner crashed at {at - record.start:.3f}")
        known = fleet.ended[4] + CONTACT_S if len(fleet.ended) > 4 else float("inf")
        late = sum(at > known for at, _ in fleet.reached)
        return deploy_fleet.end(
            record, late > MOST_LATE,
            f"{late} requests with the part reached runners later than {CONTACT_S} s after the fifth crash "
            f"({MOST_LATE} may); {len(fleet.ended)} crashes in all; {sound_answers.count(200)} of "
            f"{len(sound_answers)} sound streams whole")


deploy_fleet.run(main, os.path.dirname(os.path.abspath(__file__)))
