"""Some hundred clients send hundreds of commands at once, read what they are sent, and go."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig

CACHES = 10
BAD_CLIENTS = 280
COMMANDS = 450
KEY_BYTES = 100
BAD_CLIENTS_STAY_S = 6.0
USUAL_PER_SECOND = 40
QUIET_S = 3.0
USUAL_SECONDS = 20.0
# Kept by the usual clients; with the others still under a third of the balancer's 1,024 descriptors.
USUAL_CONNECTIONS = 50
USUAL_WAIT_MS = 1500
# An answer up to half a second late only earns nothing; the protocol page allows 50 ms more.
LATE_S = 0.55


async def answer(cache, connection, command, writer):
    cache.record.write("%s: %s begun" % (cache.name, command.id))
    await asyncio.sleep(0.08)
    writer.write(b"VA 64 O%s h1\r\n%s\r\n" % (command.id.encode(), b"x" * 64))


async def bad_client(record, balancer, number):
    client = rig.Client(balancer.port)
    commands = b"".join(
        rig.read_command("%0*x" % (KEY_BYTES, number * COMMANDS + i), rig.new_id(), 2000) for i in range(COMMANDS))
    received = 0
    try:
        await client.connect()
        record.write("bad client %d sends %d commands, %d bytes" % (number, COMMANDS, len(commands)))
        await client.send(commands)
        while True:
            data = await client.receive(65536)
            if not data:
                break
            received += len(data)
    except OSError as problem:
        record.write("bad client %d: %r" % (number, problem))
    finally:
        record.write("bad client %d goes after %d bytes of answers" % (number, received))
        client.close()


async def usual_read(record, balancer, idle, breaks, counts):
    """One read on a connection that has had an answer before; without a free one there is no read."""
    if not idle:
        counts["no connection left"] = counts.get("no connection left", 0) + 1
        return
    client = idle.pop(0)
    rid = rig.new_id()
    outcome = "no answer"
    try:
        record.write("client sends %s" % rid)
        await client.send(rig.read_command(rid, rid, USUAL_WAIT_MS))
        sent = record.now()
        line = await asyncio.wait_for(client.read_line(), USUAL_WAIT_MS / 1000 + LATE_S)
        if line.startswith("VA "):
            await client.read_exactly(int(line.split(" ")[1]) + 2)
        outcome = "served" if line.startswith("VA ") else "refused or failed"
        record.write("client got %r for %s after %.3f s" % (line, rid, record.now() - sent))
        idle.append(client)
    except asyncio.TimeoutError:
        breaks.append("%s, sent at %.3f with d=%d on a connection that had had answers, had none after %.3f s" % (
            rid, sent, USUAL_WAIT_MS, record.now() - sent))
        client.close()
    except OSError as problem:
        # A balancer may close a resting connection, which can cross a request; that is not judged here.
        outcome = "connection closed"
        record.write("client got no answer for %s: %r" % (rid, problem))
        client.close()
    counts[outcome] = counts.get(outcome, 0) + 1


async def open_connections(balancer):
    clients = []
    for _ in range(USUAL_CONNECTIONS):
        client = rig.Client(balancer.port)
        await client.connect()
        await client.send(b"mn\r\n")
        if await client.read_line() != "MN":
            raise rig.CannotRun("a new connection got no MN")
        clients.append(client)
    return clients


async def case(record):
    discovery = rig.Discovery(record)
    await discovery.start()
    for i in range(CACHES):
        cache = rig.Cache("cache-%d" % i, record, answer)
        await cache.start()
        discovery.put("s-%d" % i, cache.port)
    balancer = rig.Balancer(record, discovery)
    breaks, counts = [], {}
    bad_clients = []
    try:
        await balancer.start()
        idle = await open_connections(balancer)
        usual_reads = []
        begun = record.now()
        for i in range(int(USUAL_PER_SECOND * USUAL_SECONDS)):
            usual_reads.append(asyncio.create_task(usual_read(record, balancer, idle, breaks, counts)))
            await asyncio.sleep(max(0.0, begun + (i + 1) / USUAL_PER_SECOND - record.now()))
            if i == int(USUAL_PER_SECOND * QUIET_S) and rig.DISRUPTED:
                bad_clients = [asyncio.create_task(bad_client(record, balancer, n)) for n in range(BAD_CLIENTS)]
            if i == int(USUAL_PER_SECOND * (QUIET_S + BAD_CLIENTS_STAY_S)):
                for task in bad_clients:
                    task.cancel()
        await asyncio.gather(*usual_reads)
        if balancer.exit_code() is not None:
            breaks.append("the balancer ended with %d" % balancer.exit_code())
        for line in balancer.log_tail():
            record.write("log: " + line)
        record.write("usual requests: %s" % counts)
    finally:
        balancer.clean()
    return breaks


rig.main(FOLDER, case)
