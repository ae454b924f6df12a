"""Stand-ins of a platform for the cases of this review: video servers, event bus, viewers, manager processes.

Standard library only; all addresses are loopback. Each stand-in records what it sends and receives with the
system's clock. A server reports the end of a session on the connection of its set-up while it takes that for
open, otherwise on any open one, and again on the next connection that is opened.
"""
import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "ivyward")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETUP, WAIT, UP, DOWN, ACK, HB, HB_OK, TELL, SHIFT, STEP = 1, 6, 9, 12, 16, 52, 53, 44, 51, 60
NAMES = {SETUP: "new", WAIT: "wait", UP: "up", DOWN: "down", ACK: "ack", HB: "hb", HB_OK: "hb_ok", TELL: "tell",
         SHIFT: "shift", STEP: "step"}
LINGER_RESET = struct.pack("ii", 1, 0)


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self.began = time.time()
        self.lines = []

    def add(self, who, what):
        self.lines.append((time.time() - self.began, who, what))

    def write(self, path):
        with open(path, "w") as out:
            for at, who, what in sorted(self.lines, key=lambda line: line[0]):
                out.write(f"{at:9.3f}  {who:<14} {what}\n")


def message(kind, ref, params=(), cause=None, description=None):
    body = bytes([kind]) + bytes.fromhex(ref)
    for code, text in params:
        value = text.encode()
        body += struct.pack(">BH", code, len(value)) + value
    if cause is not None:
        body += struct.pack(">BHB", 92, 1, cause)
    if description is not None:
        body += struct.pack(">BH", 94, len(description)) + description
    return struct.pack(">H", len(body)) + body


def parse(body):
    kind, ref, at, params = body[0], body[1:9].hex(), 9, {}
    while at < len(body):
        code, length = struct.unpack_from(">BH", body, at)
        params[code] = body[at + 3:at + 3 + length]
        at += 3 + length
    return kind, ref, params


def listen_at(address, backlog=256):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


class Addresses:
    """Loopback addresses that no other stand-in of this process uses."""
    count = 0

    @classmethod
    def take(cls):
        cls.count += 1
        return f"127.{20 + os.getpid() % 200}.{cls.count // 250}.{cls.count % 250 + 1}"


class Connection:
    def __init__(self, server, sock, number):
        self.server, self.sock, self.number, self.open = server, sock, number, True

    def send(self, data):
        if not self.open:
            return False
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    def close(self, reset=False):
        if self.open:
            self.open = False
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            try:
                asyncio.get_event_loop().remove_reader(self.sock)
            except (OSError, ValueError):
                pass
            self.sock.close()


class Session:
    def __init__(self, server, ref, conn, title, package):
        self.ref, self.conn, self.title, self.package, self.server = ref, conn, title, package, server
        self.set_up_at = time.time()
        self.ended_at = self.how = None


class VideoServer:
    """A video server. `on_set_up(server, conn, ref, params)` may replace the usual answer (return True then)."""

    def __init__(self, record, name, cell=0, tell_every=0.0):
        self.record, self.name, self.cell, self.tell_every = record, name, cell, tell_every
        self.listener = listen_at((Addresses.take(), 0))
        self.address = self.listener.getsockname()
        self.conns, self.sessions, self.history, self.set_ups = [], {}, [], []
        self.unreported = []
        self.on_set_up, self.vanished, self.fillers, self.started_ms, self.told_at = None, False, [], 0, 0.0
        self.loop = asyncio.get_event_loop()
        self.loop.add_reader(self.listener, self._accept)
        if tell_every:
            self.teller = self.loop.create_task(self._tell())

    def log(self, what):
        self.record.add(self.name, what)

    def member(self, phase="ready"):
        return {"id": self.name, "host_port": "%s:%d" % self.address, "locality": "east", "flavor": "std",
                "cell": self.cell, "phase": phase, "size": 4, "up_since_ms": self.started_ms}

    def _accept(self):
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = Connection(self, sock, len(self.conns))
        conn.buffer = b""
        self.conns.append(conn)
        self.log(f"connection {conn.number} accepted")
        self.loop.add_reader(sock, self._read, conn)
        # A release is sent again on the next connection that is opened.
        again, self.unreported = self.unreported, []
        for ref, cause in again:
            conn.send(message(DOWN, ref, cause=cause))
            self.log(f"down {ref} cause {cause} again on connection {conn.number}")

    def _read(self, conn):
        if not conn.open:
            return
        try:
            data = conn.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.log(f"connection {conn.number} closed by the manager")
            return conn.close()
        conn.buffer += data
        while len(conn.buffer) >= 2:
            length = struct.unpack_from(">H", conn.buffer)[0]
            if len(conn.buffer) < 2 + length:
                return
            body, conn.buffer = conn.buffer[2:2 + length], conn.buffer[2 + length:]
            self._message(conn, *parse(body))
            if not conn.open:
                return

    def report(self):
        return (82, "rif:%d;x0:0.2;x1:0.2" % len(self.sessions))

    def _message(self, conn, kind, ref, params):
        cause = params.get(92, b"")
        if kind != HB:
            self.log(f"got {NAMES.get(kind, kind)} {ref} {cause.hex()} on connection {conn.number}")
        if kind == HB:
            conn.send(message(HB_OK, ref, [self.report()] if cause == b"\x01" else [], cause=1))
        elif kind == SETUP:
            self.set_ups.append((time.time(), ref, params))
            if self.on_set_up and self.on_set_up(self, conn, ref, params):
                return
            self.play(conn, ref, params)
        elif kind == DOWN:
            conn.send(message(ACK, ref))
            session = self.sessions.get(ref)
            if session:
                self._over(session, "cut by the manager")

    def play(self, conn, ref, params):
        session = Session(self, ref, conn, params.get(72, b"").decode(), params.get(64, b"").decode())
        self.sessions[ref] = session
        self.history.append(session)
        conn.send(message(UP, ref, [self.report()], description=b"from " + self.name.encode() + b" " + params[94]))
        self.log(f"up {ref}: the session stands")

    def hold(self, ref):
        """A session that plays since before the manager's start."""
        session = Session(self, ref, None, "", "")
        self.sessions[ref] = session
        self.history.append(session)
        self.log(f"{ref} stands since before")

    def _over(self, session, how):
        session.ended_at, session.how = time.time(), how
        self.sessions.pop(session.ref, None)
        self.log(f"{session.ref} is over: {how}")

    def end(self, ref, cause=16):
        """The session comes to its end here, and the manager is told."""
        session = self.sessions[ref]
        self._over(session, "ok" if cause == 16 else f"cause {cause}")
        own = [session.conn] if session.conn and session.conn.open else []
        for conn in own + [c for c in reversed(self.conns) if c.open]:
            if conn.send(message(DOWN, ref, cause=cause)):
                self.log(f"down {ref} cause {cause} on connection {conn.number}")
                break
        self.unreported.append((ref, cause))

    async def _tell(self):
        while True:
            await asyncio.sleep(self.tell_every)
            if self.vanished:
                continue
            self.told_at = time.time()
            by_conn = {}
            for session in self.sessions.values():
                own = [session.conn] if session.conn and session.conn.open else [c for c in self.conns if c.open]
                if own:
                    by_conn.setdefault(own[0], session)
            for conn, session in by_conn.items():
                conn.send(message(TELL, session.ref, [(78, "asked"), (88, "0.3")]))
                conn.send(message(TELL, session.ref, [(78, "rack"), (88, "0.3")]))

    def vanish(self):
        """The machine says nothing from now on: open connections stay open, new ones never come up."""
        self.vanished = True
        for conn in self.conns:
            if conn.open:
                self.loop.remove_reader(conn.sock)
        for session in list(self.sessions.values()):
            self._over(session, "the machine is lost")
        self.unreported = []
        self.block()
        self.log("the machine vanishes")

    def block(self):
        """New connections never come up: a listener whose queue is full."""
        self.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = listen_at(self.address, 0)
        for _ in range(8):
            filler = socket.socket()
            filler.settimeout(0.02)
            try:
                filler.connect(self.address)
            except OSError:
                filler.close()
                break
            self.fillers.append(filler)

    def unblock(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.listener.close()
        self.listener = listen_at(self.address)
        self.loop.add_reader(self.listener, self._accept)

    def return_cold(self):
        """The machine is back with a new process. It knows no earlier connection and resets what arrives on one."""
        self.vanished, self.started_ms = False, int(time.time() * 1000)
        for conn in self.conns:
            if conn.open:
                self.loop.add_reader(conn.sock, conn.close, True)
        self.unblock()
        self.log("the machine is back, cold")

    def refuse(self):
        """New connections are refused; open ones are served."""
        self.loop.remove_reader(self.listener)
        self.listener.close()
        self.log("new connections are refused")

    def die(self):
        """The process ends: its connections are reset and its sessions cut; new connections are refused."""
        for conn in self.conns:
            conn.close(reset=True)
        for session in list(self.sessions.values()):
            self._over(session, "the process has died")
        self.unreported = []
        self.refuse()

    def accept_again(self):
        self.listener = listen_at(self.address)
        self.loop.add_reader(self.listener, self._accept)
        self.log("accepts connections again")


class Bus:
    """The event bus. `stop()` refuses connections and resets open ones, until `resume()`."""

    def __init__(self, record, members):
        self.record, self.events, self.readers = record, [], []
        self.listener = listen_at((Addresses.take(), 0))
        self.address = self.listener.getsockname()
        self.loop = asyncio.get_event_loop()
        self.server = None
        self.publish(members, complete=True)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, sock=self.listener)
        self.loop.create_task(self._comments())

    def publish(self, members, complete=False):
        number = len(self.events) + 1
        event = {"offset": number, "topology": {"revision": number, "complete": complete, "members": members}}
        self.events.append(event)
        states = ", ".join("%s %s" % (m["id"], m["phase"]) for m in members)
        self.record.add("bus", f"event {number}: {states}")
        for writer in self.readers:
            writer.write(self._text(event))

    @staticmethod
    def _text(event):
        return f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode()

    async def _comments(self):
        while True:
            await asyncio.sleep(1)
            for writer in self.readers:
                writer.write(b": here\n\n")

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except (asyncio.IncompleteReadError, OSError):
            return writer.close()
        last = [line.split(":")[1] for line in head.split("\r\n") if line.startswith("last-event-id:")]
        last = int(last[0]) if last else 0
        self.record.add("bus", f"read after {last}")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")
        for event in self.events[last:]:
            writer.write(self._text(event))
        self.readers.append(writer)
        try:
            await reader.read()
        except OSError:
            pass
        if writer in self.readers:
            self.readers.remove(writer)
        writer.close()


class Manager:
    """A manager's process, started by the command of the deploy file."""

    def __init__(self, record, bus, settings, sockets=1024, name="n1"):
        self.record, self.bus, self.settings, self.sockets, self.name = record, bus, settings, sockets, name
        self.folder = tempfile.mkdtemp(prefix="ivyward-case-")
        probe = listen_at((Addresses.take(), 0))
        self.address = probe.getsockname()
        probe.close()
        self.process = self.log_file = None

    async def start(self):
        deploy = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
        run = [line for line in deploy.splitlines() if line.startswith("run")][0].split('"')[1]
        listen = "%s:%d" % self.address
        config = {"name": self.name, "listen": listen, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "bus": "%s:%d" % self.bus.address,
                  "known": {"offset": len(self.bus.events), "batch": list(self.bus.events)},
                  "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path, "w") as out:
            json.dump(config, out)
        env = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN=listen, RELAY_CONFIG=path, TMPDIR=self.folder)
        env.setdefault("IVYWARD_LOG", "info")
        self.log_file = open(os.environ.get("CASE_LOG", os.path.join(self.folder, "log")), "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=self.log_file, stderr=self.log_file)
        self.record.add(self.name, f"started: {run}")
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRun("the manager ended at its start")
            viewer = Viewer(self.record, "front", self)
            if await viewer.connect(quiet=True) and await viewer.test(1):
                viewer.close()
                self.record.add(self.name, "passed its first test")
                return
            viewer.close()
            await asyncio.sleep(0.05)
        raise CannotRun("the manager was not ready in 30 s")

    def send_signal(self, number):
        self.record.add(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log_file:
            self.log_file.close()
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


class Viewer:
    """A connection of viewers. Collects the messages by session."""

    all = []

    def __init__(self, record, name, manager):
        Viewer.all.append(self)  # the loop itself holds no reference to the task that reads
        self.record, self.name, self.manager = record, name, manager
        self.by_ref, self.closed, self.closed_at, self.writer, self.arrived = {}, False, None, None, asyncio.Event()

    async def connect(self, quiet=False):
        try:
            self.reader, self.writer = await asyncio.open_connection(*self.manager.address, limit=1 << 20)
        except OSError:
            return False
        if not quiet:
            self.record.add(self.name, "connected")
        self.quiet = quiet
        self.task = asyncio.get_event_loop().create_task(self._read())
        return True

    async def _read(self):
        try:
            while True:
                line = await self.reader.readline()
                if not line:
                    break
                got = json.loads(line)
                self.by_ref.setdefault(got["ref"], []).append((time.time(), got))
                if got["t"] not in ("hb_ok", "wait"):
                    self.record.add(self.name, "got " + line.decode().strip())
                self.arrived.set()
        except OSError:
            pass
        self.closed, self.closed_at = True, time.time()
        self.arrived.set()
        if not self.quiet:
            self.record.add(self.name, "connection closed by the manager")

    def send(self, **fields):
        line = json.dumps(fields)
        if fields.get("t") != "hb":
            self.record.add(self.name, "sent " + line)
        self.writer.write(line.encode() + b"\n")

    def send_raw(self, data, note):
        self.record.add(self.name, note)
        self.writer.write(data)

    def set_up_line(self, ref, package, title, left=None, extras="home:0;copies:3;top:3", tenant=None,
                    description="9d41c07a5be2f318\r\nm=video 0\r\n"):
        fields = {"class": package, "key": title, "extras": extras}
        if left is not None:
            fields["left"] = str(left)
        if tenant:
            fields["tenant"] = tenant
        return {"t": "new", "ref": ref, "f": fields, "d": description}

    def set_up(self, ref, *args, **kwargs):
        self.send(**self.set_up_line(ref, *args, **kwargs))

    def got(self, ref, kinds=("up", "down")):
        return [(at, got) for at, got in self.by_ref.get(ref, []) if got["t"] in kinds]

    async def wait(self, ref, count=1, seconds=6.0, kinds=("up", "down")):
        until = time.time() + seconds
        while len(self.got(ref, kinds)) < count and time.time() < until and not self.closed:
            self.arrived.clear()
            try:
                await asyncio.wait_for(self.arrived.wait(), max(0.001, min(0.2, until - time.time())))
            except asyncio.TimeoutError:
                pass
        return self.got(ref, kinds)

    async def test(self, seconds):
        ref = os.urandom(8).hex()
        self.send(t="hb", ref=ref, c=0)
        return bool(await self.wait(ref, seconds=seconds, kinds=("hb_ok",)))

    def close(self):
        if self.writer:
            self.quiet = True
            self.task.cancel()
            self.writer.close()


def settings(**changes):
    """Settings like those of a small deployment: figures of the pages' example and of the wadi-lane-replays site."""
    base = {
        "azs": ["east"], "kinds": ["std"], "siblings": 2, "my-zone": 0, "discovery": "push", "position": 0,
        "client-habits": {"marks-retry": True},
        "guarantees": {"answer-slack-us": 40000, "cold-from": 0.5, "cold-us": 8000000, "drain-grace-us": 250000,
                       "fall-us": 1000000, "must-ask-in-us": 10000000, "tip-multiple": 2.0,
                       "budget-span-us": 5000000, "min-extra": 5, "further-ratio": 0.2},
        "limits": {"cancelling": True, "connect-timeout-us": 250000, "keepalive-us": 15000000, "max-attempts": 5,
                   "may-probe": False, "retry-after": False, "streams-per-conn": 32, "max-open": 1000000,
                   "max-retry-after-us": 2000000, "second-copies": False, "peers": False},
        "prices": {"cross-zone": 0.0, "probe": 0.01, "handshake": 0.0},
        "profiles": [
            {"name": "race-replay", "slo-us": 800000, "hard-limit-us": 5000000, "worth": 1.0,
             "semantics": "read_like"},
            {"name": "ticket-replay", "slo-us": 800000, "hard-limit-us": 4000000, "worth": 3.0,
             "semantics": "non_idempotent"}],
        "projects": [],
        "report": {"fields": ["rif", "x0", "x1"], "how": "inline"},
        "specifics": {"class-scale": [1.0, 1.0], "class-seats": [0, 0], "floor-by-class": [0, 0],
                      "top-by-class": [3, 3], "kind-streams": [200], "links-kb": 300000.0, "places": 3,
                      "rack-link-kb": 100000.0, "rates-kb": [220.0, 453.0, 931.0, 1913.0],
                      "rung-worth": [0.24, 0.52, 0.77, 1.0], "seen-after-us": 900000, "shelves": 1,
                      "switch-s": 0.6, "told-every-us": 3750000, "weight-kb": 25000.0},
    }
    for path, value in changes.items():
        at = base
        *parents, last = path.split("__")
        for parent in parents:
            at = at[parent.replace("_", "-")]
        at[last.replace("_", "-")] = value
    return base


def ref():
    return os.urandom(8).hex()


def main(case, folder):
    """Runs a case: `await case(record)` returns the list of violations."""
    record = Record()
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing")
        violations = asyncio.run(asyncio.wait_for(case(record), 115))
        for text in violations:
            record.add("RULE BROKEN", text)
            print("broken:", text)
        code = 1 if violations else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        record.add("could not run", repr(error))
    record.write(os.path.join(folder, "record.txt"))
    print(["held", "broken", "could not run"][code], flush=True)
    os._exit(code)
