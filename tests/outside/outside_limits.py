#!/usr/bin/env python3
"""Sends a fixed set of abusive connections to the programs of a pool, each program with the limits of the smallest instance.

A case fails if the program ends, its peak resident memory or its open descriptors exceed the instance's, or an ordinary request on a new
connection gets no answer while the abusive connections are still open. Neither times nor shares of served requests are checked.
"""

import argparse
import os
import resource
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

DESCRIPTORS = 512  # instances have 4,096 and 4,100; lowered so that the test itself needs few
DESCRIPTOR_BOUND = 480  # leaves some for the table service and agents
SEND_SECONDS = 6.0  # upper bound on sending, so that slow machines send all bytes; the connections then stay open
ANSWER_SECONDS = 60.0  # distinguishes a slow program from one that hangs

HEAD = b"POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65536


def announced(length, sent):
    yield HEAD + b"Content-Length: %d\r\n\r\n" % length
    for _ in range(sent // len(BLOCK)):
        yield BLOCK


def far_over():
    yield from announced(1 << 40, 4 << 20)


def more_than_announced():
    yield HEAD + b"Content-Length: 10\r\n\r\n"
    for _ in range(64):
        yield BLOCK


def large_chunks():
    yield CHUNKED
    for _ in range(64):
        yield b"10000\r\n" + BLOCK + b"\r\n"


def one_byte_chunks():
    yield CHUNKED
    for _ in range(64):
        yield b"1\r\nx\r\n" * 10922


def chunk_extensions():
    yield CHUNKED
    for _ in range(256):
        yield b"1;" + b"e" * 16000 + b"\r\nx\r\n"


def trailers():
    yield CHUNKED + b"0\r\n"
    for index in range(4096):
        yield b"t%d: " % index + b"v" * 1000 + b"\r\n"


def almost_complete():
    yield from announced((4 << 20) + 1, 4 << 20)


def almost_complete_in_limits():
    yield from announced((1 << 20), (1 << 20) - 1)
    yield b"x" * 65535


def chunks_in_limits():
    yield CHUNKED
    for _ in range(15):
        yield b"10000\r\n" + BLOCK + b"\r\n"
    yield b"10000\r\n" + BLOCK


def one_byte_chunks_in_limits():
    yield CHUNKED
    for _ in range(16):
        yield b"1\r\nx\r\n" * 16384


def headers_byte_by_byte():
    yield HEAD
    for _ in range(20000):
        yield b"a"


def endless_headers():
    yield HEAD
    for index in range(4096):
        yield b"h%d: " % index + b"v" * 1000 + b"\r\n"


def requests_ahead():
    for _ in range(2000):
        yield HEAD + b"Content-Length: 1000\r\n\r\n" + b"x" * 1000


def unread_answers():
    for _ in range(2000):
        yield b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"


def idle():
    yield b""


def deep_json():
    body = b"[" * 250000
    yield HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def huge_json():
    body = b"[" + b"[],{}," * 43000 + b"[]]"
    yield HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def upgrade():
    yield b"GET /jobs HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"


KINDS = {  # kind: (payload of a connection, number of connections)
    "far-over": (far_over, 100),
    "more-than-announced": (more_than_announced, 100),
    "large-chunks": (large_chunks, 100),
    "one-byte-chunks": (one_byte_chunks, 60),
    "chunk-extensions": (chunk_extensions, 60),
    "trailers": (trailers, 60),
    "almost-complete": (almost_complete, 100),
    "almost-complete-in-limits": (almost_complete_in_limits, 300),
    "chunks-in-limits": (chunks_in_limits, 300),
    "one-byte-chunks-in-limits": (one_byte_chunks_in_limits, 300),
    "headers-byte-by-byte": (headers_byte_by_byte, 200),
    "endless-headers": (endless_headers, 100),
    "requests-ahead": (requests_ahead, 60),
    "unread-answers": (unread_answers, 200),
    "idle": (idle, 600),
    "deep-json": (deep_json, 60),
    "huge-json": (huge_json, 60),
    "upgrade": (upgrade, 20),
    "resets": (None, 6000),
}


TARGETS = {  # role/port: kinds; the servers of a process share their code, so operators' ports get those that differ most
    "entry/callers": tuple(KINDS),
    "agent/announce": tuple(KINDS),
    "entry/ready": ("large-chunks", "one-byte-chunks", "almost-complete", "idle", "upgrade"),
    "entry/metrics": ("large-chunks", "one-byte-chunks", "unread-answers", "idle"),
    "agent/metrics": ("large-chunks", "one-byte-chunks", "unread-answers", "idle"),
}


def reset_connections(port, count):
    """Opens connections one after another and resets each at once, mostly before the program has accepted it."""
    for _ in range(count):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.connect(("127.0.0.1", port))
        connection.close()


class Caller:
    """A connection that sends a payload and reads no answer."""

    def __init__(self, port, payload):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.payload = payload
        self.pending = b""
        self.done = False
        try:
            self.socket.connect(("127.0.0.1", port))
        except BlockingIOError:
            pass

    def send(self):
        try:
            if not self.pending:
                self.pending = next(self.payload, None)
                self.done = self.pending is None
                if self.done:
                    return
            if self.pending:
                self.pending = self.pending[self.socket.send(self.pending):]
        except BlockingIOError:
            pass
        except OSError:  # closed by the program, which is allowed
            self.done = True


def send_all(callers):
    poll = select.poll()
    by_descriptor = {caller.socket.fileno(): caller for caller in callers}
    for descriptor in by_descriptor:
        poll.register(descriptor, select.POLLOUT)
    end = time.monotonic() + SEND_SECONDS
    while by_descriptor and time.monotonic() < end:
        for descriptor, _ in poll.poll(100):
            caller = by_descriptor[descriptor]
            caller.send()
            if caller.done:
                poll.unregister(descriptor)
                del by_descriptor[descriptor]
    time.sleep(0.5)


def is_answered(port):
    """An ordinary request, repeated on a new connection if the connection is refused or closed."""
    end = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
                connection.sendall(b"GET /jobs/none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                if connection.recv(16).startswith(b"HTTP/1.1 "):
                    return True
        except OSError:
            time.sleep(0.2)
    return False


class Program:
    """One of the pool's programs with the descriptors of the test."""

    def __init__(self, binary, role, directory, port):
        self.ports = {"callers": port, "ready": port + 1, "metrics": port + 2} if role == "entry" else \
            {"announce": port, "metrics": port + 2}
        self.memory_mb = 160 if role == "entry" else 128
        settings = {"name": "x", "failure_domain": "a", "table_url": "http://127.0.0.1:1", "metrics_address": "127.0.0.1:%d" % (port + 2)}
        if role == "entry":
            settings.update(caller_address="127.0.0.1:%d" % port, ready_address="127.0.0.1:%d" % (port + 1))
        else:
            settings.update(announce_address="127.0.0.1:%d" % port, rpc_address="127.0.0.1:%d" % (port + 1),
                            worker_url="http://127.0.0.1:1")
        known = subprocess.run([binary, "settings", "document"], capture_output=True, text=True, check=True).stdout
        for key, value in {"memory_mb": self.memory_mb, "max_descriptors": DESCRIPTORS}.items():
            if "`%s`" % key in known:
                settings[key] = value
        path = os.path.join(directory, role + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines("%s: %s\n" % item for item in settings.items())
        self.log = open(os.path.join(directory, role + ".log"), "wb")
        self.process = subprocess.Popen([binary, "pool", role, "--settings", path], stdout=self.log, stderr=self.log,
                                        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))
        if not all(is_answered(each) for each in self.ports.values()):
            raise RuntimeError("%s does not start; see %s" % (role, path))

    def peak_mb(self):
        with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
            return next(int(line.split()[1]) // 1024 for line in file if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def run_case(binary, role, target, kind, directory, port):
    """@return The faults seen, and what was measured."""
    program = Program(binary, role, directory, port)
    callers = []
    try:
        payload, count = KINDS[kind]
        if payload is None:
            reset_connections(program.ports[target], count)
        else:
            callers = [Caller(program.ports[target], payload()) for _ in range(count)]
        send_all(callers)
        if program.process.poll() is not None:
            return ["ended with %d" % program.process.returncode], ""
        descriptors = program.descriptors()
        faults = [] if all(is_answered(each) for each in program.ports.values()) else ["an ordinary request got no answer"]
        if program.process.poll() is not None:
            return ["ended with %d" % program.process.returncode], ""
        peak = program.peak_mb()
        if peak > program.memory_mb:
            faults.append("resident memory over %d MB" % program.memory_mb)
        if descriptors > DESCRIPTOR_BOUND:
            faults.append("descriptors over %d" % DESCRIPTOR_BOUND)
        return faults, "peak %d MB, %d descriptors" % (peak, descriptors)
    finally:
        for caller in callers:
            caller.socket.close()
        program.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True)
    parser.add_argument("--port", type=int, default=28800)
    parser.add_argument("--case", action="append", help="ROLE/PORT/KIND; default: all")
    arguments = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (2048, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    cases = arguments.case or ["%s/%s" % (target, kind) for target, kinds in TARGETS.items() for kind in kinds]
    failed = 0
    with tempfile.TemporaryDirectory() as directory:
        for case in cases:
            faults, measured = run_case(arguments.program, *case.split("/"), directory, arguments.port)
            failed += bool(faults)
            print("%s %s: %s" % ("FAILED" if faults else "ok", case, "; ".join(faults + [measured])), flush=True)
    sys.exit(1 if failed else 0)


main()
