"""Long values that caches write in small pieces, for clients that need seconds before they read on."""
import asyncio
import os
import random
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig

CACHES = 10
LONG_READS = 240
LONG_PER_SECOND = 100
LONG_SIZE = 200_000
CLIENT_PAUSE_S = 7.0
PIECE_BYTES = (1, 8)
PIECE_EVERY_S = 0.015
USUAL_PER_SECOND = 40
USUAL_SECONDS = 20.0
USUAL_WAIT_MS = 1500
# An answer up to half a second late only earns nothing; the protocol page allows 50 ms more.
LATE_S = 0.55
RECEIVE_BUFFER = 4096
# As over Ethernet. On loopback, the system would otherwise take megabytes from the balancer for each client.
SEGMENT = 1460


def taken_by_the_system():
    """Bytes that a socket takes from its writer while such a client reads nothing."""
    with socket.socket() as listener, socket.socket() as client:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        client.connect(listener.getsockname())
        server, _ = listener.accept()
        with server:
            server.setblocking(False)
            taken = 0
            quiet_since = time.monotonic()
            while time.monotonic() < quiet_since + 0.3:
                try:
                    taken += server.send(bytes(16_384))
                    quiet_since = time.monotonic()
                except BlockingIOError:
                    time.sleep(0.005)
            return taken


class Caches:
    def __init__(self, record):
        self.record = record
        self.first_bytes = taken_by_the_system() + 6_000
        self.random = random.Random(5)

    async def answer(self, cache, connection, command, writer):
        if not command.key.startswith("ffff"):
            writer.write(b"VA 64 O%s h1\r\n%s\r\n" % (command.id.encode(), b"x" * 64))
            return
        value = (command.id * (LONG_SIZE // 16 + 1))[:LONG_SIZE].encode()
        writer.write(b"VA %d O%s h1\r\n" % (LONG_SIZE, command.id.encode()))
        sent = 0
        if rig.DISRUPTED:
            loop = asyncio.get_running_loop()
            sent = self.first_bytes
            writer.write(value[:sent])
            begun = loop.time()
            pieces = 0
            while loop.time() < begun + CLIENT_PAUSE_S and sent < LONG_SIZE and not writer.is_closing():
                piece = self.random.randint(*PIECE_BYTES)
                writer.write(value[sent:sent + piece])
                sent += piece
                pieces += 1
                await asyncio.sleep(max(0.0, begun + pieces * PIECE_EVERY_S - loop.time()))
            self.record.write("%s wrote %s in %d pieces" % (cache.name, command.id, pieces))
        writer.write(value[sent:] + b"\r\n")


async def long_read(record, balancer, number, counts):
    await asyncio.sleep(number / LONG_PER_SECOND)
    client = rig.Client(balancer.port, RECEIVE_BUFFER, SEGMENT)
    rid = rig.new_id()
    try:
        await client.connect()
        record.write("client sends long read %s" % rid)
        await client.send(rig.read_command("ffff%012x" % number, rid, 2400))
        line = await client.read_line()
        record.write("client got %r for long read %s" % (line, rid))
        if line.startswith("VA "):
            if rig.DISRUPTED:
                await asyncio.sleep(CLIENT_PAUSE_S)
            await client.read_exactly(LONG_SIZE + 2)
            record.write("client got all of %s" % rid)
            counts["long reads whole"] = counts.get("long reads whole", 0) + 1
    except (ConnectionError, OSError) as problem:
        record.write("long read %s: %r" % (rid, problem))
        counts["long reads cut"] = counts.get("long reads cut", 0) + 1
    finally:
        client.close()


async def usual_read(record, balancer, breaks, counts):
    client = rig.Client(balancer.port)
    rid = rig.new_id()
    outcome = "not connected"
    try:
        # A connection that the balancer's machine does not accept takes no request.
        await asyncio.wait_for(client.connect(), 1)
        sent = record.now()
        record.write("client sends %s" % rid)
        outcome = "no answer"
        await client.send(rig.read_command(rid, rid, USUAL_WAIT_MS))
        line = await asyncio.wait_for(client.read_line(), USUAL_WAIT_MS / 1000 + LATE_S)
        outcome = "served" if line.startswith("VA ") else line
        record.write("client got %r for %s after %.3f s" % (line, rid, record.now() - sent))
    except asyncio.TimeoutError:
        if outcome == "no answer":
            breaks.append("%s, sent at %.3f with d=%d, had no answer after %.3f s" % (
                rid, sent, USUAL_WAIT_MS, record.now() - sent))
    except (ConnectionError, OSError) as problem:
        if outcome == "no answer":
            breaks.append("%s, sent at %.3f: %r" % (rid, sent, problem))
    finally:
        client.close()
    counts[outcome] = counts.get(outcome, 0) + 1


async def case(record):
    discovery = rig.Discovery(record)
    await discovery.start()
    caches = Caches(record)
    for i in range(CACHES):
        cache = rig.Cache("cache-%d" % i, record, caches.answer)
        await cache.start()
        discovery.put("s-%d" % i, cache.port)
    balancer = rig.Balancer(record, discovery)
    breaks, counts = [], {}
    try:
        await balancer.start()
        await asyncio.sleep(1)
        long_reads = [asyncio.create_task(long_read(record, balancer, i, counts)) for i in range(LONG_READS)]
        usual_reads = []
        begun = record.now()
        for i in range(int(USUAL_PER_SECOND * USUAL_SECONDS)):
            usual_reads.append(asyncio.create_task(usual_read(record, balancer, breaks, counts)))
            await asyncio.sleep(max(0.0, begun + (i + 1) / USUAL_PER_SECOND - record.now()))
        await asyncio.gather(*usual_reads)
        for task in long_reads:
            task.cancel()
        if balancer.exit_code() is not None:
            breaks.append("the balancer ended with %d" % balancer.exit_code())
        for line in balancer.log_tail():
            record.write("log: " + line)
        record.write("counts: %s" % counts)
    finally:
        balancer.clean()
    return breaks


rig.main(FOLDER, case)
