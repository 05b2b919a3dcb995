"""The answer to a job's write is lost, and the store is down as the node looks whether the job was stored."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from platform_standin import TROUBLE, DeployedFleet, TimedStore, job_body, main  # noqa: E402

JOB, ITEMS = "c0ffee01", 4
DEADLINE_S = 6.0
DOWN_S = 4.5


class FailingStore(TimedStore):
    """Loses the answer to the first write of the job, then is down from its second answer to the job on."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.writes = 0

    async def transact(self, call, part):
        status, answer = await super().transact(call, part)
        if not any((row["table"], row["key"], row["ver"]) == ("job_claims", JOB, 0) for row in call["expect"]):
            return status, answer  # does not create the job
        self.writes += 1
        self.record.note(f"store: call {self.writes} that creates the job: {status}")
        if TROUBLE and self.writes == 1:
            self.lost_share = 1.0  # reset below, once this answer is lost
            asyncio.get_running_loop().call_later(0.001, setattr, self, "lost_share", 0.0)
            self.record.note("store: the answer is lost")
        if TROUBLE and self.writes == 2:
            asyncio.get_running_loop().call_later(0.001, self.set_down, True)
            asyncio.get_running_loop().call_later(DOWN_S, self.set_down, False)
        return status, answer

    def set_down(self, down):
        self.down = down
        self.record.note(f"store: {'down, every call gets 503' if down else 'serves again'}")


async def submit(fleet, record):
    """Sends the job like a client: two attempts at different nodes within its deadline."""
    loop = asyncio.get_running_loop()
    end, answers = loop.time() + DEADLINE_S, []
    for name in ("n0", "n1"):
        left = end - loop.time()
        headers = {"X-Request-Id": JOB, "X-Deadline-Ms": str(int(left * 1000))}
        record.note(f"client: job sent to {name}, {left:.2f} s left")
        try:
            status, answered, _ = await asyncio.wait_for(
                fleet.call(name, "POST", "/batch/x", job_body(JOB, ITEMS), headers), left)
        except asyncio.TimeoutError:
            status, answered = 0, {}
        record.note(f"client: {name} answered {status or 'nothing'}, Retry-After {answered.get('retry-after')}")
        answers.append(status)
        if status == 202:
            break
        left = end - loop.time()
        await asyncio.sleep(max(0.0, min(float(answered.get("retry-after", 0.1)), left / 3)))
    return answers


async def case(record):
    fleet = DeployedFleet(nodes=2, endpoints=2, store=FailingStore(record))
    async with fleet:
        await asyncio.sleep(2)
        answers = await submit(fleet, record)
        await asyncio.sleep(10)
        runs = [run[0] for endpoint in fleet.endpoints for run in endpoint.runs]
        record.note(f"runners ran: {sorted(runs)}")
        for line in fleet.log_lines(f"job={JOB}"):
            record.note(f"log: {line}")
        if TROUBLE and fleet.store.writes < 2:
            raise RuntimeError("the call was not repeated")
        refused = all(status in (429, 503) for status in answers)
        record.note(f"answers {answers}: refused at every attempt: {refused}; items run: {len(runs)}")
        return refused and bool(runs)


main(case, HERE)
