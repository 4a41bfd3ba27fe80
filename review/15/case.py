"""LOST: whole streams of an engine that leaves in order are broken off."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_3 import (BROKEN, HELD, NOT_RUN, Client, Engine, EntryHost, Store, config,
                        engine_service, head, route, run_case)

DRAIN_S = 2.0
# How many requests "more than three times" allows.
LOST_MAX = 3
STREAMS = 6


class LeavingEngine(Engine):
    """An engine whose streams have no length and end with their channels."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.finished = []

    async def serve(self, path, headers, body, writer):
        id = headers["x-request-id"]
        if not id.startswith("draft"):
            return await super().serve(path, headers, body, writer)
        name = headers["x-model"].partition("/")[2]
        if name not in self.loaded():
            writer.write(self.refuse(421, headers))
            return await writer.drain()
        self.running += 1
        self.adapters[name][2] += 1
        self.runs.append(id)
        mine = {**self.reply_headers(headers), "X-Server-Seal": self.seal(id),
                "X-Weight-Versions": 1, "Content-Type": "text/event-stream",
                "Connection": "close"}
        writer.write(head(200, mine))
        # 3 to 3.5 s, within the time limit of 6 s.
        count = 100 + 3 * int(id.partition("-")[2])
        for number in range(count):
            await asyncio.sleep(0.03)
            last = " last" if number == count - 1 else ""
            writer.write(f"id: {number}\ndata: {id}{last}\n\n".encode())
            await writer.drain()
        writer.write_eof()
        self.running -= 1
        self.release(name)
        self.finished.append(id)
        self.note(f"has sent the last event of {id}; {self.running} are left")
        return "close"

    async def leave(self):
        """Reports `draining`, serves for longer than `drain_ms`, finishes its runs and exits."""
        self.state = "draining"
        await self.store.put("servers", self.id, self.row())
        self.note("reports `draining`")
        await asyncio.sleep(DRAIN_S + 0.3)
        self.server.close()
        self.note(f"accepts no more channels, and finishes {self.running} runs")
        while self.running:
            await asyncio.sleep(0.01)
        self.beats.cancel()
        self.note("exits")
        await self.store.drop("servers", self.id)


def has_last(answer):
    return answer.body.endswith(b" last\n\n")


async def main(record, tmp, trouble, hosts):
    store = Store()
    await store.start()
    engines = [LeavingEngine(store, f"i-engine{n}", "planner-llm", 20, zone="cz-central-a")
               for n in range(1, 9)]
    for engine in engines:
        engine.record = record
        await engine.start()
        await engine.register()
    routes = [route("/draft/", "streaming", "planner-llm", 1, gap_target_ms=400)]
    await store.put("op", "config", config(7, routes, [engine_service("planner-llm", 64, 20)]))
    host = EntryHost(tmp, store, "front-a-1", zone="cz-central-a", retry_slack=54)
    hosts.append(host)
    await host.start()
    if not await host.until_ready():
        record.add("the host does not become ready")
        return NOT_RUN
    await asyncio.sleep(1.5)

    clients = [Client(host.listen) for _ in range(STREAMS)]
    for number, client in enumerate(clients):
        answer = await client.send("/draft/x", f"before-{number}", model="base/a1")
        if not answer.is_whole or answer.status != 200:
            record.add(f"a request before the case failed: {answer}")
            return NOT_RUN
    record.add("all channels of the callers are kept")

    started = [asyncio.ensure_future(client.send("/draft/x", f"draft-{n}", model="base/a1"))
               for n, client in enumerate(clients)]
    await asyncio.sleep(0.3)
    leaving = max(engines, key=lambda engine: engine.running)
    record.add(f"{leaving.id} runs {leaving.runs[-leaving.running:]}")
    if leaving.running <= LOST_MAX + 1:
        return NOT_RUN
    left = asyncio.ensure_future(leaving.leave()) if trouble else None
    answers = await asyncio.gather(*started)
    if left:
        await left
    lost = []
    for number, answer in enumerate(answers):
        id = f"draft-{number}"
        is_finished = id in leaving.finished
        record.add(f"{id}: last event sent by its engine: {is_finished}; the caller got "
                   f"{answer}, the last event: {has_last(answer)}")
        if is_finished and not answer.is_whole:
            lost.append(id)
    record.add(f"broken off, though their engine had sent all: {lost}")
    if len(lost) > LOST_MAX:
        record.add(f"LOST: {len(lost)} kept channels were closed without a complete answer")
        return BROKEN
    return HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
