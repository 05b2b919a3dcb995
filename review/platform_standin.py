"""Stand-ins for the cases in review/: a store with its times, a fleet started as the deploy file says."""
import asyncio
import base64
import json
import os
import pathlib
import random
import shlex
import signal
import sys
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "tests"))
from node_fleet import HOST, Fleet, read_answer, request_bytes  # noqa: E402,F401
from store_standin import Store, http_answer, read_message  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_WORDS = shlex.split(tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["node"]["run"])


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.start = asyncio.get_running_loop().time()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{asyncio.get_running_loop().time() - self.start:8.3f} {text}\n")
        self.file.flush()


class TimedStore(Store):
    """The store of PROTOCOL.md with its times: an answer takes `answer_ms`, a transaction `tx_ms`; a part
    applies them one after another and answers 429 while more than a second of them waits."""

    def __init__(self, answer_ms=4.0, tx_ms=5.0):
        super().__init__()
        self.answer_ms, self.tx_ms = answer_ms, tx_ms
        self.factor = 1.0         # platform_slow
        self.lost_share = 0.0     # platform_lost: share of the transactions that are done and not answered
        self.down = False         # platform_down, busy: every call gets 503
        self.down_parts = set()   # platform_down of some partitions: calls on them get 503
        self.free_at = {}         # part -> time at which its last transaction is done
        self.blobs = {}           # name -> bytes

    def part_of(self, path, query, body):
        if path == "/rows-tx":
            rows = [row for name in ("expect", "puts", "remove") for row in body[name]]
            return rows[0]["part"] if rows else None
        return query.get("part", "") if path == "/rows-get" else None

    async def transact(self, call, part):
        loop = asyncio.get_running_loop()
        begin = max(loop.time(), self.free_at.get(part, 0.0))
        if begin - loop.time() > 1.0:
            return 429, {}
        self.free_at[part] = begin + self.tx_ms * self.factor / 1000
        done = loop.create_future()
        loop.call_at(self.free_at[part], lambda: done.set_result(self.commit(call)))
        status, answer = await asyncio.shield(done)
        return status, answer

    async def serve_blob(self, path, body):
        await asyncio.sleep(0.025 * self.factor)
        verb, _, name = path[1:].partition("/")
        if verb == "blob-put":
            return http_answer(412 if self.blobs.setdefault(name, body) is not body else 200)
        return http_answer(200, self.blobs[name]) if name in self.blobs else http_answer(404)

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                _, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query, lost = dict(urllib.parse.parse_qsl(text)), False
                if path.startswith("/blob-"):
                    writer.write(await self.serve_blob(path, body))
                    await writer.drain()
                    continue
                call = json.loads(body) if path == "/rows-tx" else None
                part = self.part_of(path, query, call)
                feed_down = path == "/rows-feed" and "" in self.down_parts and \
                    query["table"] in ("op", "servers", "status", "nodes")
                if self.down or feed_down or part in self.down_parts:
                    status, answer = 503, {}
                elif path == "/rows-tx":
                    status, answer = await self.transact(call, part)
                    lost = status == 200 and random.random() < self.lost_share
                elif path == "/rows-get":
                    status, answer = self.get(query)
                elif path == "/rows-feed":
                    status, answer = await self.feed(query)
                else:
                    status, answer = 404, {}
                await asyncio.sleep(self.answer_ms * self.factor / 1000)
                if lost:  # the connection delivers nothing further
                    await reader.read()
                    return
                writer.write(http_answer(status, json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class DeployedFleet(Fleet):
    """Nodes started with the run line of the deploy file."""

    def __init__(self, nodes, endpoints, store=None):
        super().__init__(str(ROOT / RUN_WORDS[0]), nodes, endpoints, network=random.randrange(1, 250))
        self.block = random.randrange(1, 250)
        self.store = store or TimedStore()

    def address(self, name):
        return f"127.{self.block}.{self.network}.{10 + self.names.index(name)}"

    async def start(self, name):
        path = self.write_settings(name)
        with open(os.path.join(self.folder.name, name + ".log"), "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *RUN_WORDS, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder.name, "LENTILHEAD_BOOT": path})

    async def __aenter__(self):
        try:
            return await super().__aenter__()
        except BaseException:  # without this nobody would end the nodes that have started
            await self.__aexit__(None, None, None)
            raise

    def log_lines(self, word):
        lines = []
        for name in self.names:
            text = pathlib.Path(self.folder.name, name + ".log").read_text(errors="replace")
            lines += [f"{name} {line}" for line in text.splitlines() if word in line]
        return lines


def job_body(job, items, item_bytes=8):
    return json.dumps({"requests": [
        {"id": f"{job}-{n}", "path": "/batch/x", "headers": {"X-Model": "m"}, "tokens": 9,
         "body": base64.b64encode(os.urandom(item_bytes)).decode()} for n in range(items)]}).encode()


def main(case, folder):
    """Runs a case; exits with 10 if the rule was broken, 0 if it held, else 2."""
    async def run():
        record = Record(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):  # a case that is stopped ends its processes, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(case(record), 115)
        except asyncio.CancelledError:
            record.note("stopped by a signal")
            return 2
        except Exception as error:  # whatever kept the case from running
            record.note(f"could not run: {type(error).__name__} {error}")
            return 2
        record.note("RULE BROKEN" if broken else "rule held")
        return 10 if broken else 0
    status = asyncio.run(run())
    print({0: "rule held", 10: "rule broken", 2: "could not run"}[status])
    sys.exit(status)
