"""One wrong byte string in the Keep-Alive header of one answer ends the host process."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from world import Client, Server, route, run_case  # noqa: E402

CLIENTS = 8
SPOILT_ANSWER = 40  # one answer of the faulty server in 40 is spoilt: 2.5 in 100
SPOILT = "timeout=9999999999999999999"
SOUND = "timeout=5"
MAX_LOST = 3


class Spoiling(Server):
    """Server that may spoil the digits of one Keep-Alive header."""

    may_spoil = False  # until the first of the servers has spoilt its answer

    def __init__(self, world, name, service):
        super().__init__(world, name, service)
        self.answers = 0

    async def respond(self, first, headers, body, reader, writer):
        self.answers += 1
        self.extra_headers = {"Keep-Alive": SOUND}
        if Spoiling.may_spoil and self.service == "app" and self.answers == SPOILT_ANSWER:
            self.extra_headers = {"Keep-Alive": SPOILT}
            self.world.record(f"{self.id} spoils the Keep-Alive header of its answer no. {self.answers}")
            Spoiling.may_spoil = False
        self.work_s = 0.25 if "/slow/" in first else 0.01
        return await super().respond(first, headers, body, reader, writer)


async def case(world, with_trouble):
    world.routes = [route("slow", "/slow/", "unsafe", "register"), route("quick", "/quick/", "unsafe", "app")]
    world.services = [{"name": name, "max_connections": 100} for name in ("app", "register")]
    faulty = [Spoiling(world, f"i-{n}", "app") for n in (1, 2, 3)]  # one of these
    sound = [Spoiling(world, f"i-{n}", "register") for n in (4, 5, 6)]
    world.servers = faulty + sound
    Spoiling.may_spoil = with_trouble
    await world.start()
    await asyncio.sleep(4)  # in touch: contact_ms without disruption
    host = world.hosts[0]
    lost, is_over = [], asyncio.Event()

    async def slow_client(number):
        """Sends one request after the other on a kept connection, to sound servers only."""
        client, count = Client(world, host.front), 0
        while not is_over.is_set():
            count += 1
            request_id = f"slow-{number}-{count}"
            is_kept = client.writer is not None
            answer = await client.send("POST", "/slow/x", request_id, body=b"x")
            was_passed_on = request_id in world.runs
            if is_kept and was_passed_on and answer.status is None and answer.end == "connection closed":
                lost.append(request_id)
            if answer.end:
                break
        client.close()

    async def quick_client():
        """Keeps the other service busy until one of its servers has sent 60 answers."""
        client, count = Client(world, host.front), 0
        while max(s.answers for s in faulty) < SPOILT_ANSWER * 3 // 2 and count < 1000 and not host.ended:
            count += 1
            answer = await client.send("POST", "/quick/x", f"quick-{count}", body=b"x")
            if answer.end == "no connection":
                break
        await asyncio.sleep(1)
        is_over.set()

    await asyncio.gather(quick_client(), *(slow_client(number) for number in range(CLIENTS)))
    broken = []
    if len(lost) > MAX_LOST:
        broken.append(
            f"LOST: {len(lost)} requests from kept connections were passed on to sound servers of another "
            f"service, and their connections were closed without an answer (more than {MAX_LOST}): {lost}")
    if host.ended:
        broken.append(f"the host process ended by itself: {host.ended}")
    return broken


sys.exit(run_case(FOLDER, case))
