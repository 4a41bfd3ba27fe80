"""A server whose refusals carry no id, as the pages show them, sends additional bytes after a complete
response: one more refusal. The entry host takes it for the answer to the next request on the channel,
which the server runs, and sends that request to another server as well."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

# `srv_grey` (shed): share 0.14 of the servers, x 0.45 of their requests; one of eight, 0.4, for 2 s.
# `garble` in sites/kitashigoto-appt.toml: share 0.6 of the servers, x 0.03 of their answers; the
# same server, one answer in 40.
SERVERS, SLOTS = 8, 6
SHED_EACH, SHED_S, FAULTY_ANSWER_EACH = (2, 5), 2, 40
CALLERS, REQUESTS, PAUSE_S = 24, 200, 0.12
CONTACT_S = 3
SHED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class Booking(Server):
    """Echoes the ids of requests, but sheds with the answer that `fleetbench wire` shows."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.sheds, self.is_garbling, self.arrived, self.answers = False, False, 0, 0

    async def serve(self, reader, writer):
        additional = None
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                id = headers.get("x-request-id")
                if additional is not None:
                    writer.write(additional)
                    self.record.line(f"server {self.id} sends additional bytes before the answer to {id}")
                    additional = None
                self.arrived += 1
                if self.sheds and self.arrived % SHED_EACH[1] < SHED_EACH[0]:
                    self.record.line(f"server {self.id} sheds {id}")
                    writer.write(SHED)
                    continue
                await self.answer(line, headers, body, writer)
                self.answers += 1
                if self.is_garbling and self.answers % FAULTY_ANSWER_EACH == 0:
                    additional = SHED
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def trouble_of(record, server):
    server.sheds = True
    record.line(f"server {server.id} sheds {SHED_EACH[0]} in {SHED_EACH[1]} requests")
    await asyncio.sleep(SHED_S)
    server.sheds, server.is_garbling = False, True
    record.line(f"server {server.id} garbles one answer in {FAULTY_ANSWER_EACH}")


async def call(record, host, name, count, results):
    caller = Caller(host.listen)
    for number in range(count):
        id = f"{name}-{number}"
        answer = await caller.send(head("POST", "/book/", id, 2, 600), b"{}")
        if answer.status != 200:
            record.line(f"{id}: {answer.status} {answer.error or ''}")
        results.append((id, answer))
        await asyncio.sleep(PAUSE_S)
    caller.close()


async def main(record, folder, hosts):
    store = Store()
    await store.start()
    servers = [Booking(record, f"i-{n}", "booking", work_s=0.015, slots=SLOTS)
               for n in range(SERVERS)]
    for server in servers:
        await server.start()
        store.put("servers", server.id, server.row())
    store.put("op", "config", config(1, [route("book", "/book/", "unsafe", "booking", 600)],
                                     ["booking"]))
    for number in range(2):
        hosts.append(EntryHost(record, folder, f"front-{number}", store.port))
        hosts[-1].start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(CONTACT_S)
    results = []
    faults = [asyncio.create_task(trouble_of(record, servers[0]))] if trouble() else []
    await asyncio.sleep(0.2)
    await asyncio.gather(*(call(record, hosts[n % 2], f"c{n}", REQUESTS, results)
                           for n in range(CALLERS)))
    await asyncio.gather(*faults)
    await asyncio.sleep(1)
    if sum(answer.status == 200 for _, answer in results) < 0.9 * len(results):
        record.line("too few requests were served to judge anything")
        return COULD_NOT_RUN
    runs = {}
    for server in servers:
        for id, times in server.began.items():
            runs[id] = runs.get(id, 0) + len(times)
    twice = [id for id, count in runs.items() if count > 1]
    refused = [id for id, answer in results if answer.status in (408, 421, 429, 503) and id in runs]
    record.line(f"TWICE: {len(twice)} unsafe requests ran more than once: {twice}")
    record.line(f"REFUSED: {len(refused)} were answered with a promise and ran: {refused}")
    print(f"{len(results)} requests: {len(twice)} ran twice, {len(refused)} refused and run")
    return BROKEN if twice or refused else HELD


run_case("6", main)
