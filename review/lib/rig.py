"""Small stand-ins for the cases: discovery, caches, clients, and one real balancer process.

Everything runs on loopback in one asyncio loop; only the balancer is a process of its own, started with the `run`
line of deploy/balancer.toml. Needs Python 3 and its standard library.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


class Record:
    """Writes lines with the seconds since the start of the case to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(**ceilings):
    """The settings of the deployment santiago-plantillas, with one balancer."""
    second = 1_000_000_000
    result = {
        "callers": {"marks-retry": True},
        "categories": [
            {"name": "leer-plantilla", "deadline-ns": 3 * second, "goal-time-ns": 1_200_000_000,
             "effect": "retryable", "group": "all", "window-ns": 5 * second, "late-worth": 0.25,
             "stream": False, "worth": 1.0},
            {"name": "registrar-uso", "deadline-ns": 5 * second, "goal-time-ns": 2_500_000_000,
             "effect": "fragile", "group": "all", "window-ns": 5 * second, "late-worth": 0.3,
             "stream": False, "worth": 3.0},
            {"name": "enviar-comentario", "deadline-ns": 4 * second, "goal-time-ns": 1_500_000_000,
             "effect": "dedup", "group": "all", "window-ns": 8 * second, "late-worth": 0.3,
             "stream": False, "worth": 3.0},
        ],
        "ceilings": {
            "cancelling": True, "conn-idle-ns": 60 * second, "connect-timeout-ns": 250_000_000,
            "cpu-us-per-request": 10.0, "cpu-us-per-s": 22012, "max-attempts": 4, "max-open": 29350,
            "max-retry-after-ns": 2 * second, "may-duplicate": True, "multiplex": 128,
            "peer-messages": True, "probing": True, "retry-after": True},
        "counted-by": "work",
        "discovery": "subscribe",
        "family-info": {"mode": "through", "origin-fall-multiple": 0.0,
                        "origin-fall-ns": 3 * second, "origin-kind": -1,
                        "report-x0": "share_of_hits__lately", "report-x1": "fetches_out"},
        "goal": {"whole": 0.45, "worst-class": 0.3, "worst-tenant": 0.1, "worst-window": 0.15},
        "guarantees": {
            "answer-slack-ns": 20_000_000, "ask-within-ns": 10 * second, "cold-from": 0.15,
            "fall-ns": second, "stop-sending-within-ns": 500_000_000, "tip-multiple": 4.0,
            "warm-within-ns": 20 * second},
        "kinds": ["basico-1c"],
        "load-report": {"fields": ["x0", "x1", "fail_rate", "rate"], "source": "probe"},
        "my-zone": 0, "n-instances": 1, "rank": 0, "over-share-worth": 0.1,
        "prices": {"connection": 0.0, "probe": 0.05, "waste": 0.02, "late-fail": 0.03},
        "stages": ["cache-plantillas"], "tier": 0,
        # Wide shares: no case is about shares.
        "tenants": [{"name": "estudio-andes", "allowance-per-s": 1000.0, "fraction": 0.6},
                    {"name": "notaria-central", "allowance-per-s": 1000.0, "fraction": 0.4}],
        "tick-ns": 5_000_000, "weights": "none", "workload": "cache", "zones": ["stgo-centro"],
    }
    result["ceilings"].update(ceilings)
    return result


class Discovery:
    """Discovery over HTTP: the whole list, and watches."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.targets = {}
        self.changed = {}
        self.condition = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, uid, port, state="Ready", boot_ms=0):
        self.targets[uid] = {"uid": uid, "endpoint": "127.0.0.1:%d" % port, "az": "stgo-centro",
                             "model": "basico-1c", "pod_group": 0, "state": state,
                             "capacity_hint": 1.0, "boot_ms": boot_ms}
        self.changed[uid] = self.rev

    def known(self):
        listed = [target for target in self.targets.values() if target["state"] != "Gone"]
        return {"rev": self.rev, "all": True, "targets": listed}

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            match = re.search(r"since=(\d+)&timeout_ms=(\d+)", path)
            if match is None:
                body = self.known()
            else:
                since = int(match.group(1))
                try:
                    async with self.condition:
                        await asyncio.wait_for(
                            self.condition.wait_for(lambda: self.rev > since),
                            min(60.0, int(match.group(2)) / 1000))
                except asyncio.TimeoutError:
                    pass
                body = {"rev": self.rev, "all": False,
                        "targets": [self.targets[uid] for uid, rev in self.changed.items()
                                    if rev > since]}
            data = json.dumps(body).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                         + str(len(data)).encode() + b"\r\nConnection: close\r\n\r\n" + data)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Command:
    """A command as a cache or the bench reads it."""

    def __init__(self, line, value):
        self.line = line
        self.value = value
        tokens = line.split(" ")
        self.name = tokens[0]
        self.key = tokens[1] if len(tokens) > 1 else ""
        flags = {token[0]: token[1:] for token in tokens[2:] if token}
        self.id = flags.get("O", "")
        self.parameters = dict(part.split("=", 1) for part in flags.get("P", "").split(",") if "=" in part)


class Cache:
    """A cache: `answer` is called for each command and writes what comes back."""

    def __init__(self, name, record, answer):
        self.name = name
        self.record = record
        self.answer = answer
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                value = None
                if line.startswith("ms "):
                    value = (await reader.readexactly(int(line.split(" ")[2]) + 2))[:-2]
                command = Command(line, value)
                if command.name == "mn":
                    writer.write(b"MN\r\n")
                elif command.name in ("mg", "ms"):
                    await self.answer(self, connection, command, writer)
                else:
                    writer.write(b"ERROR\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Balancer:
    """The real balancer, started as the platform starts it."""

    def __init__(self, record, discovery, sockets=1024, **ceilings):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.port = free_port()
        self.console = free_port()
        peer = "127.0.0.1:%d" % free_port(socket.SOCK_DGRAM)
        config = {
            "name": "n0", "listen": "127.0.0.1:%d" % self.port,
            "console": "127.0.0.1:%d" % self.console,
            "discovery": "127.0.0.1:%d" % discovery.port, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "peer_listen": peer, "peers": [peer], "peers_all": peer,
            "known": discovery.known(), "settings": settings(**ceilings)}
        self.config_path = os.path.join(self.folder, "config.json")
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        if not os.path.exists(os.path.join(ROOT, "node", "target", "frostrelay-node.jar")):
            raise CannotRun("the balancer is not built")
        scratch = os.path.join(self.folder, "tmp")
        os.mkdir(scratch)
        environment = dict(os.environ, GW_NAME="n0", GW_LISTEN="127.0.0.1:%d" % self.port,
                           GW_CONSOLE="127.0.0.1:%d" % self.console, GW_CONFIG=self.config_path,
                           TMPDIR=scratch)
        self.log = open(os.path.join(self.folder, "log.txt"), "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("the balancer ended at its start")
            if await self.answers_no_op(1.0):
                self.record.write("balancer ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the balancer was not ready within 30 s")

    async def answers_no_op(self, timeout):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.port), timeout)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"mn\r\n")
            return await asyncio.wait_for(reader.readline(), timeout) == b"MN\r\n"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def exit_code(self):
        return self.process.poll()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def end(self):
        """Ends the balancer with SIGTERM after the case, so that it logs its counters."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            for _ in range(60):
                if self.process.poll() is not None:
                    break
                await asyncio.sleep(0.1)

    def log_tail(self, count=15):
        self.log.flush()
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            lines = file.read().splitlines()
        return [line[:1500].replace(ROOT, "").replace(self.folder, "") for line in lines[-count:]]

    def clean(self):
        self.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One client connection with one request at a time."""

    def __init__(self, port, receive_buffer=None, segment=None):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment is not None:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        self.socket.setblocking(False)
        self.port = port
        self.buffer = b""

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(self.socket, ("127.0.0.1", self.port))

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self, count):
        """Reads up to this many bytes; b"" is the end of the connection."""
        return await asyncio.get_running_loop().sock_recv(self.socket, count)

    async def read_line(self):
        while b"\r\n" not in self.buffer:
            data = await self.receive(65536)
            if not data:
                raise ConnectionError("closed without an answer")
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    async def read_exactly(self, count):
        while len(self.buffer) < count:
            data = await self.receive(65536)
            if not data:
                raise ConnectionError("closed in the middle of an answer")
            self.buffer += data
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def close(self):
        self.socket.close()


def new_id():
    return os.urandom(8).hex()


def read_command(key, request_id, timeout_ms, extra="", tenant="estudio-andes"):
    return ("mg %s v O%s Pc=leer-plantilla,t=%s,d=%d%s\r\n" % (key, request_id, tenant, timeout_ms, extra)).encode()


def write_command(name, key, request_id, timeout_ms, value, extra="", tenant="estudio-andes"):
    head = "ms %s %d O%s Pc=%s,t=%s,d=%d%s\r\n" % (key, len(value), request_id, name, tenant, timeout_ms, extra)
    return head.encode() + value + b"\r\n"


def main(folder, case, limit=110):
    """Runs a case and exits with 0, 1 or 2. The case returns the list of breaks of its rule."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(folder)
    code = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), limit))
        for text in breaks:
            record.write("BROKEN " + text)
        print("%s: %s" % ("rule broken" if breaks else "rule held", "; ".join(breaks[:3]) or "no break seen"))
        code = 1 if breaks else 0
    except CannotRun as problem:
        record.write("could not run: %s" % problem)
        print("could not run: %s" % problem)
    except Exception as problem:  # The case itself failed, which says nothing of the rule.
        record.write("could not run: %r" % problem)
        print("could not run: %r" % problem)
    finally:
        record.close()
    sys.exit(code)
