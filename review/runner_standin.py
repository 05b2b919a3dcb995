#!/usr/bin/env python3
"""A runner for the scripts of this review: a process of its own, so that a signal can end it.

Usage: runner_standin.py IP:PORT ID [NAME=VALUE...]. Figures: first_s (from the beginning of a run to its first
event), gap_s (between two events), events, event_bytes, slots, refusal_bytes (body of the 422 that an item with the
body b"never" gets). Writes a JSON line to its output when a run begins and when it is over.
"""
import asyncio
import json
import sys
import time

QUEUE = 24
WEIGHTS = "1"  # version of the weights
FIGURES = {"first_s": 0.1, "gap_s": 0.02, "events": 24, "event_bytes": 0, "slots": 8, "refusal_bytes": 100}


class Runner:
    def __init__(self, identity, figures):
        self.identity, self.figures = identity, {**FIGURES, **figures}
        self.running = self.waiting = 0
        self.freed = asyncio.Condition()

    def note(self, what, request, **more):
        print(json.dumps({"at": time.monotonic(), "what": what, "request": request, "runner": self.identity, **more}),
              flush=True)

    def head(self, status, request, *more):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request}", f"X-Instance-Id: {self.identity}",
                 f"X-Server-Load: {self.running},{self.waiting},{self.figures['slots']:.0f}",
                 f"X-Weight-Versions: {WEIGHTS}", *more]
        if status not in (421, 503):
            lines.append(f"X-Server-Stamp: s.{self.identity}.{request}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        request = fields.get("x-request-id", "")
        if lines[0].startswith("GET /healthz"):
            writer.write(self.head(200, request, "Content-Length: 0"))
            return True
        if fields.get("x-expect-instance", self.identity) != self.identity:
            writer.write(self.head(421, request, "Content-Length: 0", "X-Not-Executed: 1"))
            return True
        if fields.get("x-expect-version", WEIGHTS) != WEIGHTS:
            self.note("421", request)
            writer.write(self.head(421, request, "Content-Length: 0", "X-Not-Executed: 1"))
            return True
        if self.running >= self.figures["slots"] and self.waiting >= QUEUE:
            writer.write(self.head(503, request, "Content-Length: 0", "X-Not-Executed: 1"))
            return True
        self.waiting += 1
        async with self.freed:
            await self.freed.wait_for(lambda: self.running < self.figures["slots"])
        self.waiting, self.running = self.waiting - 1, self.running + 1
        try:
            if body == b"never":
                return self.refuse(writer, request)
            return await self.run(reader, writer, lines[0].split(" ")[1], request, int(fields.get("last-event-id", 0)))
        finally:
            self.running -= 1
            async with self.freed:
                self.freed.notify()

    def refuse(self, writer, request):
        self.note("422", request)
        size = int(self.figures["refusal_bytes"])
        writer.write(self.head(422, request, "Content-Type: application/json", f"Content-Length: {size}"))
        writer.write(b'{"error":"' + b"x" * (size - 12) + b'"}')
        return True

    async def run(self, reader, writer, path, request, last):
        """Writes the head at once, and then the events that follow `last`."""
        self.note("run", request, path=path, after=last)
        writer.write(self.head(200, request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
        closed = asyncio.ensure_future(reader.read(1))
        closed.add_done_callback(lambda ended: ended.cancelled() or ended.exception())
        pause, events = self.figures["first_s"], int(self.figures["events"])
        for number in range(last + 1, events + 1):
            done, _ = await asyncio.wait([closed], timeout=pause)
            if done:
                self.note("left", request, events=number - 1)
                return False
            pause = self.figures["gap_s"]
            event = b"id: %d\ndata: %s\n\n" % (number, event_data(request, number, self.figures["event_bytes"]))
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("done", request, events=events)
        closed.cancel()
        await asyncio.wait([closed])
        return True


def event_data(request, number, size):
    return f"{request}-{number}".encode().ljust(int(size), b".")


async def main():
    host, port = sys.argv[1].rsplit(":", 1)
    figures = {name: float(value) for name, _, value in (word.partition("=") for word in sys.argv[3:])}
    server = await asyncio.start_server(Runner(sys.argv[2], figures).serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
