"""New, cold caches replace seven of twelve within 7 s while a small share of the reads is heavy, with a hint that says so."""
import asyncio
import math
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig

CACHES = 12
REPLACED = 7
ROUNDS = 3
REQUESTS_PER_SECOND = 76
# A spell of heavy requests, of the lengths and sizes that the brief names.
SPELL_S = 27.0
PAUSE_S = 5.0
HEAVY_SHARE = 0.023
HEAVY_FACTOR = 27.0
# Discovery names a new cache so long after its start.
LIST_LATE_S = 0.5
DRAIN_S = 3.0
COLD_FROM = 0.15
WARM_WITHIN_S = 20.0
TIP_MULTIPLE = 4.0
FALL_S = 1.0
SLOTS = 6
PLACES = 24
READ = "leer-plantilla"
# Name, share of the requests, least and greatest work in seconds, wait in milliseconds.
CLASSES = [(READ, 0.948, 0.063, 0.110, 2000),
           ("registrar-uso", 0.037, 0.130, 0.230, 3000),
           ("enviar-comentario", 0.015, 0.029, 0.053, 2500)]
# The heavy ones count in the mean during a spell, which makes the check milder.
MEAN_WORK_S = sum(share * (least + greatest) / 2 * (1 + HEAVY_SHARE * (HEAVY_FACTOR - 1) if name == READ else 1)
                  for name, share, least, greatest, _ in CLASSES)


class Server:
    """A cache with one core that warms up evenly; a cold one falls as the page of the whole fleet says."""

    def __init__(self, world, uid, started=None):
        self.world = world
        self.record = world.record
        self.uid = uid
        self.started = started
        self.told = None
        self.jobs = []
        self.received = []
        self.fallen = False
        self.cache = rig.Cache(uid, world.record, self.answer)

    async def start(self):
        await self.cache.start()
        self.task = asyncio.create_task(self.run())

    def capacity(self, now):
        if self.started is None:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.started) / WARM_WITHIN_S)

    def check(self, now, command):
        """Counts a command, also one that is turned away."""
        if self.started is None or self.fallen or now - self.started > WARM_WITHIN_S:
            return
        work = self.world.work[command.id]
        self.record.write("%s, cold for %.2f s, gets %s with work %.2f s, hint %s us" % (
            self.uid, now - self.started, command.id, work, command.parameters["h"]))
        self.received.append((now, work))
        window = [item[1] for item in self.received if item[0] > now - FALL_S]
        load = sum(window) / MEAN_WORK_S
        # The capacity at the end of the window, which is its greatest.
        allowed = TIP_MULTIPLE * self.capacity(now) * FALL_S / MEAN_WORK_S
        slack = 3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2
        if load > allowed + slack:
            self.fallen = True
            self.world.breaks.append(
                "%s falls %.2f s after its start, %.2f s after the balancer was told of it: got work for %.2f s in "
                "%.1f s (%s), %.1f requests of mean work, allowed %.1f + %.1f" % (
                    self.uid, now - self.started, now - self.told, sum(window), FALL_S,
                    " + ".join("%.2f" % work for work in window), load, allowed, slack))

    async def answer(self, cache, connection, command, writer):
        self.check(self.record.now(), command)
        if self.fallen:
            writer.close()
        elif len(self.jobs) >= PLACES:
            self.record.write("%s: %s turned away" % (self.uid, command.id))
            writer.write(b"SERVER_ERROR busy\r\n")
        else:
            self.record.write("%s: %s begun" % (self.uid, command.id))
            job = [self.world.work[command.id], asyncio.get_running_loop().create_future(), writer]
            self.jobs.append(job)
            await job[1]
            if command.name == "mg":
                writer.write(b"VA 64 O%s h1\r\n%s\r\n" % (command.id.encode(), b"x" * 64))
            else:
                writer.write(b"HD O%s c%s\r\n" % (command.id.encode(), rig.new_id().encode()))

    async def run(self):
        last = self.record.now()
        while True:
            await asyncio.sleep(0.004)
            now = self.record.now()
            work = (now - last) * self.capacity(now)
            last = now
            active = self.jobs[:SLOTS]
            for job in active:
                job[0] -= work / len(active)
                if job[0] <= 0 or job[2].is_closing():
                    self.jobs.remove(job)
                    job[1].set_result(None)


class World:
    def __init__(self, record):
        self.record = record
        self.random = random.Random()
        self.breaks = []
        self.counts = {}
        self.work = {}
        self.idle = []
        self.tasks = set()
        self.in_spell = False
        self.servers = []
        self.created = 0

    async def new_server(self, started=None):
        server = Server(self, "s-%d" % self.created, started)
        self.created += 1
        await server.start()
        return server

    async def run(self):
        self.discovery = rig.Discovery(self.record)
        await self.discovery.start()
        for _ in range(CACHES):
            server = await self.new_server()
            self.servers.append(server)
            self.discovery.put(server.uid, server.cache.port)
        self.balancer = rig.Balancer(self.record, self.discovery)
        try:
            await self.balancer.start()
            load = asyncio.create_task(self.send_requests())
            await asyncio.sleep(5)
            for number in range(ROUNDS):
                await self.play_round(number)
            load.cancel()
            self.record.write("answers: %s" % self.counts)
        finally:
            self.balancer.clean()
        return self.breaks

    async def play_round(self, number):
        begun = self.record.now()
        self.in_spell = rig.DISRUPTED
        self.record.write("round %d begins" % number)
        await asyncio.sleep(2)
        for old in self.servers[:REPLACED]:
            self.start(self.replace(old))
            await asyncio.sleep(7.0 / REPLACED)
        await asyncio.sleep(max(0.0, begun + SPELL_S - self.record.now()))
        self.in_spell = False
        await asyncio.sleep(PAUSE_S)

    def start(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def publish(self, server, state, boot_ms=0):
        self.discovery.rev += 1
        self.discovery.put(server.uid, server.cache.port, state, boot_ms)
        async with self.discovery.condition:
            self.discovery.condition.notify_all()

    async def replace(self, old):
        new = await self.new_server(self.record.now())
        boot_ms = int(time.time() * 1000)
        self.record.write("%s starts, in place of %s" % (new.uid, old.uid))
        self.servers.remove(old)
        self.servers.append(new)
        await self.publish(old, "Terminating")
        await asyncio.sleep(LIST_LATE_S)
        new.told = self.record.now()
        await self.publish(new, "Ready", boot_ms)
        await asyncio.sleep(DRAIN_S)
        await self.publish(old, "Gone")

    async def send_requests(self):
        while True:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_SECOND))
            name, _, least, greatest, wait_ms = self.random.choices(CLASSES, [item[1] for item in CLASSES])[0]
            work = self.random.uniform(least, greatest)
            if self.in_spell and name == READ and self.random.random() < HEAVY_SHARE:
                work *= HEAVY_FACTOR
            key = "%016x" % int(1000 + self.random.paretovariate(0.9))
            self.start(self.request(name, work, wait_ms, key))

    async def request(self, name, work, wait_ms, key):
        for retry in range(3):
            answer = await self.try_once(name, work, wait_ms, key, retry)
            self.counts[answer] = self.counts.get(answer, 0) + 1
            if answer == "served" or name == "registrar-uso":
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def try_once(self, name, work, wait_ms, key, retry):
        rid = rig.new_id()
        self.work[rid] = work
        extra = ",h=%d%s" % (work * 1e6 * self.random.uniform(0.9, 1.1), ",r=1" if retry else "")
        if name == READ:
            data = rig.read_command(key, rid, wait_ms, extra)
        else:
            data = rig.write_command(name, key, rid, wait_ms, b"uso", extra + ",k=" + key)
        client = self.idle.pop() if self.idle else None
        self.record.write("client sends %s %s, work %.2f s" % (name, rid, work))
        try:
            if client is None:
                client = rig.Client(self.balancer.port)
                await client.connect()
            await client.send(data)
            line = await asyncio.wait_for(client.read_line(), wait_ms / 1000 + 0.55)
            if line.startswith("VA "):
                await client.read_exactly(int(line.split(" ")[1]) + 2)
            self.idle.append(client)
            self.record.write("client got %r for %s" % (line, rid))
            return "served" if line[:2] in ("VA", "HD") else " ".join(line.split(" ")[:2])
        except (OSError, asyncio.TimeoutError):
            client.close()
            self.record.write("client got no answer for %s" % rid)
            return "no answer"


async def case(record):
    return await World(record).run()


rig.main(FOLDER, case, 115)
