"""Clients send several reads at once, of values just under 64 KiB, and need 1.6 s to read the answers."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig

CACHES = 10
CLIENTS = 60
READS_PER_CLIENT = 8
CLIENT_EVERY_S = 0.025
VALUE_BYTES = 65_000
WAIT_MS = 2400
READING_S = 1.6
RECEIVE_BUFFER = 4096
# As over Ethernet. On loopback, the system would otherwise take megabytes from the balancer for each client.
SEGMENT = 1460


async def answer(cache, connection, command, writer):
    value = (command.id * (VALUE_BYTES // 16 + 1))[:VALUE_BYTES].encode()
    writer.write(b"VA %d O%s h1\r\n%s\r\n" % (VALUE_BYTES, command.id.encode(), value))


class SlowReader:
    """Reads answers at an even pace, or as fast as it can without the disruption."""

    def __init__(self, client, record):
        self.client = client
        self.record = record
        self.begun = record.now()
        self.read = 0

    async def skip(self, count):
        while count > 0:
            if not self.client.buffer:
                self.client.buffer = await self.client.receive(4000)
                if not self.client.buffer:
                    raise ConnectionError("the balancer ended the connection, %d bytes of a value missing" % count)
            taken = min(count, len(self.client.buffer))
            self.client.buffer = self.client.buffer[taken:]
            count -= taken
            self.read += taken
            if rig.DISRUPTED:
                due = self.begun + READING_S * self.read / (READS_PER_CLIENT * VALUE_BYTES)
                await asyncio.sleep(max(0.0, due - self.record.now()))


async def run_client(record, balancer, number, breaks, counts):
    await asyncio.sleep(number * CLIENT_EVERY_S)
    client = rig.Client(balancer.port, RECEIVE_BUFFER, SEGMENT)
    await client.connect()
    await client.send(b"mn\r\n")
    await client.read_line()
    ids = [rig.new_id() for _ in range(READS_PER_CLIENT)]
    sent = record.now()
    await client.send(b"".join(rig.read_command(rid, rid, WAIT_MS) for rid in ids))
    record.write("client %d sends %s" % (number, " ".join(ids)))
    reader = SlowReader(client, record)
    answered = 0
    try:
        for rid in ids:
            line = await client.read_line()
            record.write("client %d got %r" % (number, line))
            if line.startswith("VA "):
                await reader.skip(VALUE_BYTES + 2)
            counts["served" if line.startswith("VA ") else line] += 1
            answered += 1
        record.write("client %d has all answers after %.3f s" % (number, record.now() - sent))
    except (ConnectionError, OSError) as problem:
        took = record.now() - sent
        counts["lost"] += READS_PER_CLIENT - answered
        # A request that is still unanswered when its time is up has failed and is not counted here.
        if took < WAIT_MS / 1000:
            breaks.append("client %d, %.3f s after sending (d=%d): %s; %d of its %d requests without a whole answer" % (
                number, took, WAIT_MS, problem, READS_PER_CLIENT - answered, READS_PER_CLIENT))
    finally:
        client.close()


class Counts(dict):
    def __missing__(self, name):
        return 0


async def case(record):
    discovery = rig.Discovery(record)
    await discovery.start()
    for i in range(CACHES):
        cache = rig.Cache("cache-%d" % i, record, answer)
        await cache.start()
        discovery.put("s-%d" % i, cache.port)
    balancer = rig.Balancer(record, discovery)
    breaks, counts = [], Counts()
    try:
        await balancer.start()
        await asyncio.sleep(1)
        await asyncio.gather(*[run_client(record, balancer, i, breaks, counts) for i in range(CLIENTS)])
        await asyncio.sleep(0.5)
        await balancer.end()
        for line in balancer.log_tail():
            record.write("log: " + line)
        record.write("requests: %s" % dict(counts))
    finally:
        balancer.clean()
    return breaks


rig.main(FOLDER, case)
