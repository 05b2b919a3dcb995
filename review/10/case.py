"""One item that is larger than any runner's memory, at the head of a batch job of ten items.

The other nine items fit, and the runners are nearly idle."""
import asyncio
import base64
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deploy_fleet  # noqa: E402
from deploy_fleet import FINISH_S, TROUBLE  # noqa: E402
from node_fleet import encode  # noqa: E402
from store_standin import Endpoint, http_answer  # noqa: E402

MEMORY, SLOTS, RUNNERS = 72000, 8, 4
SOUND, LARGE = 250, int(os.environ.get("LARGE", "80000"))  # tokens of a prompt
TRAFFIC_S = 14


class Runner(Endpoint):
    """Turns a request down as if it were full if that is larger than its memory."""

    def __init__(self, name, record):
        self.at_work = {}
        super().__init__(name, events=30, pause=0.03)
        self.record = record
        self.ended = []  # (time, id) of runs that have ended, whole or not

    @property
    def load(self):  # running, waiting, slots, and how long work takes (100: as usual)
        return f"{len(self.at_work)},0,{SLOTS},100"

    @load.setter
    def load(self, _):
        pass

    async def answer(self, reader, writer, line, headers, fault):
        identity = headers.get("x-request-id", "")
        tokens = sum(int(count) for count in headers.get("x-token-count", "0,0").split(","))
        if tokens > MEMORY or len(self.at_work) >= SLOTS:
            self.record.write(f"{self.name} rejects {identity} ({tokens} tokens)")
            writer.write(http_answer(503, b"", {"X-Not-Executed": 1, "X-Request-Id": identity,
                                                "X-Server-Load": self.load}))
            return True
        self.at_work[identity] = time.monotonic()
        self.record.write(f"{self.name} runs {identity}")
        try:
            return await super().answer(reader, writer, line, headers, fault)
        finally:
            del self.at_work[identity]
            self.ended.append((time.monotonic(), identity))


class Fleet(deploy_fleet.DeployFleet):
    def configure(self, **_):
        super().configure()
        value, _ = self.store.rows[("op", "", "config")]
        config = json.loads(base64.b64decode(value))
        config["version"] = 2
        config["services"] = [{"name": "svc", "health-path": "/healthz", "max-conns": 250, "engine": {
            "slots": SLOTS, "kv-cache-tokens": MEMORY, "models": [{"name": "m"}]}}]
        self.store.put("op", "", "config", encode(config))


def job_body(job, prompts):
    return json.dumps({"requests": [
        {"id": f"{job}{number:02x}", "path": "/batch/x", "tokens": tokens + 30,
         "headers": {"X-Model": "m", "X-Token-Count": f"{tokens},30",
                     "X-Prompt-Prefix": f"5c:100,{job}{number:02x}:{tokens - 100}"},
         "body": base64.b64encode(b"item %d" % number).decode()}
        for number, tokens in enumerate(prompts)]}).encode()


async def main(record):
    fleet = Fleet(["front-1", "front-2", "front-3"], record)
    fleet.endpoints = [Runner(f"i-{number}", record) for number in range(RUNNERS)]
    async with fleet:
        end = time.monotonic() + TRAFFIC_S
        calls = []

        async def online():
            number = 0
            while time.monotonic() < end:
                number += 1
                calls.append(asyncio.ensure_future(fleet.stream(
                    fleet.names[number % 3], f"a{number:04x}",
                    {"X-Token-Count": "250,30", "X-Prompt-Prefix": f"5c:100,a{number:04x}:150"})))
                await asyncio.sleep(0.1)

        traffic = asyncio.ensure_future(online())
        await asyncio.sleep(3)
        jobs = {f"b{number}": [SOUND] * 10 for number in range(8)}
        jobs["b4"][0] = LARGE if TROUBLE else SOUND
        for number, (job, prompts) in enumerate(jobs.items()):
            if await fleet.send_job(fleet.names[number % 3], job, job_body(job, prompts)) != 202:
                raise RuntimeError(f"{job} was not accepted")
            await asyncio.sleep(1)
        await traffic
        await asyncio.gather(*calls)
        await asyncio.sleep(end + FINISH_S - time.monotonic())
        now = time.monotonic()
        fits = {f"{job}{number:02x}" for job, prompts in jobs.items()
                for number, tokens in enumerate(prompts) if tokens + 30 <= MEMORY}
        listed = {result["id"] for job in jobs for result in await fleet.listed("front-1", job)}
        missing = sorted(fits - listed)
        busy = [identity for runner in fleet.endpoints for identity in runner.at_work]
        items = [at for runner in fleet.endpoints for at, identity in runner.ended if identity[0] == "b"]
        had = [identity for runner in fleet.endpoints for at, identity in runner.ended
               if identity in missing and at > now - 5]
        is_calm = not busy and not had and not any(at > now - 3 for at in items)
        return deploy_fleet.end(
            record, bool(missing) and is_calm,
            f"{len(fits) - len(missing)} of {len(fits)} items that fit are listed {FINISH_S} s after traffic; "
            f"missing {' '.join(missing) or 'none'}; runners at work on {len(busy)}")


deploy_fleet.run(main, os.path.dirname(os.path.abspath(__file__)))
