"""Stand-ins of a platform for the cases of this review: event bus, video servers, viewers, and the start of a
viewing manager with the command of deploy/balancer.toml. Python's standard library only; loopback addresses only.

All of them follow PROTOCOL.md and DEPLOY.md. Everything that is sent, answered and run goes to record.txt.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SLACK = 0.05  # PROTOCOL.md: every time limit is 50 ms longer

SETUP, WAIT, UP, DOWN, ACK, TELL, MOVE, HB, HB_OK, STEP = 1, 6, 9, 12, 16, 44, 51, 52, 53, 60
NAMES = {SETUP: "new", WAIT: "wait", UP: "up", DOWN: "down", ACK: "ack", TELL: "tell", MOVE: "shift", HB: "hb",
         HB_OK: "hb_ok", STEP: "step"}
CLASS, LEFT, TITLE, NOTE, REPORT, RUNG, FIGURE, CAUSE, DESCRIPTION = 64, 66, 72, 78, 82, 86, 88, 92, 94


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """record.txt: one line for each thing that happened, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.time()
        self(f"TROUBLE={1 if TROUBLE else 0}; times are seconds of the system clock since the start of the case")

    def __call__(self, text):
        self.file.write(f"{time.time() - self.started:9.3f} {text}\n")
        self.file.flush()


def encode(kind, ref, parameters=()):
    body = bytes([kind]) + bytes.fromhex(ref)
    for code, value in parameters:
        value = value if isinstance(value, bytes) else str(value).encode()
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body):
    kind, ref, rest, parameters = body[0], body[1:9].hex(), body[9:], {}
    while rest:
        code, length = struct.unpack(">BH", rest[:3])
        parameters[code] = rest[3:3 + length]
        rest = rest[3 + length:]
    return kind, ref, parameters


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A video server. It sets up at once, keeps sessions until they are ended, and answers tests."""

    def __init__(self, record, name, cell, answer_after=0.01, told_every=None):
        self.record, self.name, self.cell = record, name, cell
        self.answer_after, self.told_every = answer_after, told_every
        self.links, self.sessions, self.open = [], {}, {}
        self.set_ups = []      # (time, ref)
        self.releases = []     # (time, ref): releases that the manager sent
        self.ends = {}         # ref: time at which this server ended the session
        self.unsent_ends = []  # ends to be told again on the next connection
        self.listener = None
        self.on_set_up = None  # may take over the answer to a set-up: (link, ref, parameters) -> True
        self.tasks = []

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=128)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.record(f"video server {self.name} listens")
        if self.told_every:
            self.tasks.append(asyncio.ensure_future(self.tell_often()))
        return self

    def row(self, phase="ready", up_since_ms=0):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": "east", "flavor": "std",
                "cell": self.cell, "phase": phase, "size": 4, "up_since_ms": up_since_ms}

    def report(self):
        return f"x0:{min(0.9, 0.1 + 0.01 * len(self.sessions)):.2f};x1:0.10"

    async def tell_often(self):
        while True:
            await asyncio.sleep(self.told_every)
            self.tell()

    def tell(self):
        """The note on the link's load, on one session."""
        if self.sessions and self.links:
            ref = next(iter(self.sessions))
            self.send(self.sessions[ref], TELL, ref, [(NOTE, "asked"), (FIGURE, "0.20")])

    def send(self, link, kind, ref, parameters=()):
        if link not in self.links:
            if not self.links:
                return False
            link = self.links[0]
        link.write(encode(kind, ref, parameters))
        shown = {code: value for code, value in parameters if code in (CAUSE, NOTE, FIGURE)}
        self.record(f"{self.name} -> manager: {NAMES[kind]} {ref} {shown if shown else ''}")
        return True

    def end(self, ref, cause=16):
        """The session comes to its end. It is told on a connection, and again on the next one."""
        link = self.sessions.pop(ref)
        self.ends[ref] = time.time()
        self.send(link, DOWN, ref, [(CAUSE, bytes([cause])), (REPORT, self.report())])
        self.unsent_ends.append((ref, cause))

    async def serve(self, reader, writer):
        self.links.append(writer)
        self.record(f"{self.name}: a connection is open ({len(self.links)} now)")
        for ref, cause in self.unsent_ends:
            self.send(writer, DOWN, ref, [(CAUSE, bytes([cause]))])
        self.unsent_ends = []
        try:
            while True:
                length, = struct.unpack(">H", await reader.readexactly(2))
                await self.message(writer, *decode(await reader.readexactly(length)))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if writer in self.links:
                self.links.remove(writer)
            for ref in [ref for ref, link in self.open.items() if link is writer]:
                del self.open[ref]
            self.record(f"{self.name}: a connection is closed ({len(self.links)} left)")
            writer.close()

    async def message(self, link, kind, ref, parameters):
        if kind == SETUP:
            now = time.time()
            self.set_ups.append((now, ref))
            self.record(f"manager -> {self.name}: new {ref} class {parameters.get(CLASS)} left {parameters.get(LEFT)}")
            self.open[ref] = link
            if self.on_set_up and self.on_set_up(link, ref, parameters):
                return
            asyncio.get_running_loop().call_later(self.answer_after, self.answer, link, ref)
        elif kind == DOWN:
            self.releases.append((time.time(), ref))
            self.record(f"manager -> {self.name}: down {ref}")
            self.open.pop(ref, None)
            self.sessions.pop(ref, None)
            if link in self.links:
                link.write(encode(ACK, ref))
        elif kind == HB:
            asked = parameters.get(CAUSE, b"\0")
            more = [(REPORT, self.report())] if asked == b"\1" else []
            link.write(encode(HB_OK, ref, [(CAUSE, b"\1")] + more))
        elif kind == STEP:
            self.record(f"manager -> {self.name}: step {ref} {parameters.get(RUNG)}")

    def answer(self, link, ref):
        if self.open.get(ref) is not link or link not in self.links:
            return
        del self.open[ref]
        self.sessions[ref] = link
        link.write(encode(TELL, ref, [(NOTE, "asked"), (FIGURE, "0.20")]))
        self.send(link, UP, ref, [(DESCRIPTION, f"{self.name}\r\nm=video 31000\r\n"), (REPORT, self.report())])

    def refuse(self, link, ref, cause):
        """Ends a set-up with a cause before its answer."""
        self.open.pop(ref, None)
        return self.send(link, DOWN, ref, [(CAUSE, bytes([cause])), (REPORT, self.report())])

    def stop(self):
        """The process dies: its connections are reset and its sessions cut."""
        self.record(f"video server {self.name} ends; {len(self.sessions)} sessions are cut")
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        self.open, self.sessions = {}, {}
        for link in list(self.links):
            reset(link)


class Bus:
    """The event bus: GET /bus/read with Last-Event-ID, server-sent events, a comment every second."""

    def __init__(self, record, events):
        self.record, self.events = record, list(events)  # (number, text)
        self.requests, self.streams = [], []
        self.response_after = 0.0  # how long a request waits for the begin of its response

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def publish(self, members, complete=False):
        number = len(self.events) + 1
        self.events.append((number, topology(number, members, complete)))
        self.record(f"event bus: event {number}: " + ", ".join(f"{m['id']} {m['phase']}" for m in members))
        for stream in self.streams:
            stream.set()
        return time.time()

    async def serve(self, reader, writer):
        wake = asyncio.Event()
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = int(re.search(r"(?i)last-event-id: *(\d+)", head).group(1))
            self.requests.append(time.time())
            self.record(f"manager -> event bus: read from {last}")
            gone = asyncio.ensure_future(reader.read(1))  # the manager closes the connection
            done, _ = await asyncio.wait([gone], timeout=self.response_after)
            if done:
                self.record("event bus: the manager closed the connection before the response began")
                return
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n\r\n:\n\n")
            self.record("event bus -> manager: the response begins")
            self.streams.append(wake)
            while not gone.done():
                wake.clear()
                for number, text in [event for event in self.events if event[0] > last]:
                    writer.write(f"id: {number}\ndata: {text}\n\n".encode())
                    self.record(f"event bus -> manager: event {number}")
                    last = number
                await writer.drain()
                waits = [asyncio.ensure_future(wake.wait()), gone]
                done, _ = await asyncio.wait(waits, timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                waits[0].cancel()
                if not done:
                    writer.write(b":\n\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if wake in self.streams:
                self.streams.remove(wake)
            writer.close()


def topology(number, members, complete):
    return json.dumps({"offset": number, "topology": {"revision": number, "complete": complete, "members": members}})


class Viewer:
    """A connection from viewers. It may carry many sessions."""

    def __init__(self, record, name, sink=None):
        self.record, self.name = record, name
        self.lines = sink if sink is not None else []  # (time, name of the connection, message)
        self.closed = False

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                self.lines.append((time.time(), self.name, message))
                self.record(f"manager -> {self.name}: {message['t']} {message['ref']} c={message.get('c')}")
        except (ConnectionError, ValueError):
            pass
        self.closed = True
        self.record(f"{self.name}: the connection has ended")

    def send(self, message):
        self.writer.write(json.dumps(message).encode() + b"\n")

    def test(self):
        self.send({"t": "hb", "ref": new_ref(), "f": {}, "c": 0})

    def set_up(self, package="clip", left=4000, home=0, copies=1, at=None, ref=None):
        ref = ref or new_ref()
        extras = f"home:{home};copies:{copies};top:3;viewer:{new_ref()}" + (f";at:{at}" if at else "")
        self.send({"t": "new", "ref": ref, "f": {"class": package, "left": str(left), "tenant": "acme",
                   "key": new_ref(), "extras": extras}, "d": f"{ref}\r\nm=video 9\r\n"})
        self.record(f"{self.name} -> manager: new {ref} class {package} left {left}" + (f" at {at}" if at else ""))
        return ref

    def down(self, ref):
        self.send({"t": "down", "ref": ref, "f": {}, "c": 16})
        self.record(f"{self.name} -> manager: down {ref}")

    async def wait_for(self, ref, kinds, seconds):
        deadline = time.time() + seconds
        while time.time() < deadline:
            for at, _, message in self.lines:
                if message["ref"] == ref and message["t"] in kinds:
                    return at, message
            await asyncio.sleep(0.005)
        return None

    def reset(self):
        self.record(f"{self.name}: the connection is reset")
        reset(self.writer)

    def close(self):
        self.writer.close()


class Path:
    """The network path to a video server. When it vanishes, open connections stay open and silent, and new ones
    never come up, as the listener's queue is full."""

    def __init__(self, record, server):
        self.record, self.server, self.gone, self.fill = record, server, False, []

    async def start(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.task = asyncio.ensure_future(self.accept())
        return self

    def row(self):
        return dict(self.server.row(), host_port=f"127.0.0.1:{self.port}")

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.sock)
            near = await asyncio.open_connection(sock=connection)
            far = await asyncio.open_connection("127.0.0.1", self.server.port)
            asyncio.ensure_future(self.pump(near[0], far[1]))
            asyncio.ensure_future(self.pump(far[0], near[1]))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.gone:
                    await asyncio.sleep(1)
                writer.write(data)
        except ConnectionError:
            pass
        while self.gone:
            await asyncio.sleep(1)
        writer.close()

    async def vanish(self):
        self.record(f"{self.server.name} goes silent: no reset, no answer, no new connection")
        self.gone = True
        self.task.cancel()
        await asyncio.sleep(0)
        for _ in range(4):
            probe = socket.socket()
            probe.setblocking(False)
            probe.connect_ex(("127.0.0.1", self.port))
            self.fill.append(probe)


def new_ref():
    return f"{random.getrandbits(64):016x}"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(places, **changes):
    """Settings of a small deployment with figures from the ranges of wadi-lane-replays."""
    value = {
        "azs": ["east"], "kinds": ["std"], "siblings": 1, "my-zone": 0, "position": 0, "tier": 0,
        "family": "streams", "discovery": "push", "stages": ["media"], "tick-us": 10000,
        "client-habits": {"marks-retry": True},
        "guarantees": {"answer-slack-us": 40000, "cold-from": 0.5, "cold-us": 5_000_000, "drain-grace-us": 250_000,
                       "fall-us": 1_000_000, "tip-multiple": 2.0, "budget-span-us": 5_000_000, "min-extra": 5,
                       "further-ratio": 0.2, "must-ask-in-us": 10_000_000},
        "limits": {"cancelling": True, "connect-timeout-us": 250_000, "keepalive-us": 15_000_000, "max-attempts": 5,
                   "may-probe": True, "retry-after": False, "second-copies": False, "streams-per-conn": 32,
                   "max-retry-after-us": 2_000_000, "peers": False},
        "prices": {"cross-zone": 0.057, "probe": 0.01, "handshake": 0.0},
        "profiles": [
            {"name": "clip", "slo-us": 1_500_000, "hard-limit-us": 4_000_000, "worth": 1.0, "semantics": "read_like"},
            {"name": "ticket", "slo-us": 800_000, "hard-limit-us": 4_000_000, "worth": 3.0,
             "semantics": "non_idempotent"}],
        "projects": [{"name": "acme", "portion": 1.0, "quota-per-s": 100.0}],
        "report": {"fields": ["rif", "x0", "x1"], "how": "inline"},
        "specifics": {"class-live": [False, False], "class-scale": [1, 1], "class-seats": [0, 0],
                      "floor-by-class": [0, 0], "top-by-class": [3, 3], "kind-streams": [200],
                      "links-kb": 3_000_000.0, "places": places, "rack-link-kb": 1_000_000.0,
                      "rates-kb": [220, 453, 931, 1913], "rung-worth": [0.24, 0.52, 0.77, 1.0],
                      "seen-after-us": 900_000, "shelves": 1, "switch-s": 0.6, "told-every-us": 2_400_000,
                      "weight-kb": 500_000.0, "join": 1.0, "refuses-from": 0.0, "stall-cost": 7.0},
    }
    for path, figure in changes.items():
        group, name = path.split("__")
        value[group.replace("_", "-")][name.replace("_", "-")] = figure
    return value


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            found = re.match(r'run\s*=\s*"([^"]*)"', line)
            if found:
                return found.group(1)
    raise CannotRun("deploy/balancer.toml has no line `run`")


class Manager:
    """A viewing manager in a process of its own, started as deploy/balancer.toml says."""

    def __init__(self, record, bus, known, options, sockets=256):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="ivyward-review-")
        self.port = free_port()
        self.file = os.path.join(self.folder, "config.json")
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": new_ref(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "bus": f"127.0.0.1:{bus.port}",
            "known": {"offset": len(known), "batch": [json.loads(text) for text in known]}, "settings": options}
        self.sockets = sockets

    async def start(self):
        self.write_config()
        command = run_command()
        environment = dict(os.environ, RELAY_NAME="n0", RELAY_LISTEN=f"127.0.0.1:{self.port}",
                           RELAY_CONFIG=self.file, TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "log"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", f"ulimit -n {self.sockets}; {command}"], cwd=ROOT,
                                        env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record(f"run: {command}")
        deadline = time.time() + 30
        while time.time() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"the manager ended at its start with {self.process.returncode}")
            try:
                viewer = await Viewer(self.record, "front").connect(self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            viewer.test()
            for _ in range(200):
                if any(message["t"] == "hb_ok" for _, _, message in viewer.lines):
                    viewer.close()
                    self.record("the manager has passed its first test")
                    return self
                await asyncio.sleep(0.01)
        raise CannotRun("the manager is not ready after 30 s")

    def write_config(self):
        with open(self.file + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(self.file + ".new", self.file)

    def signal(self, number):
        self.record(f"signal {signal.Signals(number).name} to the manager")
        self.process.send_signal(number)

    def ended(self):
        return self.process.poll()

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        if os.environ.get("KEEP_LOG"):
            os.system(f"cp {self.folder}/log {os.environ['KEEP_LOG']}")
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def main(folder, case, limit=115):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record, stops = Record(folder), []

    async def bounded():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        task = asyncio.ensure_future(case(record, stops))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, limit), None
        except asyncio.CancelledError:
            return None, "the case was stopped by a signal"
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            return None, f"the case could not run: {type(error).__name__} {error}"
        except Exception as error:  # a fault of the case is no fault of the program
            return None, f"the case has a fault: {type(error).__name__} {error}"
        finally:
            for stop in reversed(stops):
                stop()

    broken, trouble = asyncio.new_event_loop().run_until_complete(bounded())
    lines, code = (broken or ["no rule was broken"], 1 if broken else 0) if trouble is None else ([trouble], 2)
    for line in lines:
        record("VERDICT " + line)
        print(line, flush=True)
    os._exit(code)
