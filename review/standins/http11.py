"""A small HTTP/1.1 server and client for the stand-ins: one thread per channel, loopback only."""

import random
import select
import socket
import threading

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class Message:
    """A request or an answer. Header names are in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def path(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


def read_message(stream, has_body=True):
    """Reads one message, or returns None if the channel ended before a complete one."""
    first = stream.readline()
    if not first.endswith(b"\r\n"):
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line.endswith(b"\n"):
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0")) if has_body else 0
    body = stream.read(size) if size else b""
    if len(body) != size:
        return None
    return Message(first.decode("latin-1").strip(), headers, body)


def format_answer(status, headers=(), body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def is_closed(channel):
    """True if the other side has closed the channel."""
    ready, _, _ = select.select([channel], [], [], 0)
    if not ready:
        return False
    try:
        return channel.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


class Server:
    """Calls `handle(message, channel)` for each request and sends the bytes that it returns.
    None closes the channel without an answer."""

    def __init__(self, address, handle):
        self.handle = handle
        self.channels = set()
        self.lock = threading.Lock()
        self.running = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.running:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.channels.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        try:
            stream = channel.makefile("rb")
            while self.running:
                message = read_message(stream)
                answer = self.handle(message, channel) if message else None
                if answer is None:
                    break
                channel.sendall(answer)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.channels.discard(channel)
        channel.close()

    def close(self):
        """Ends the server as a crash does: closes the port and resets all channels."""
        self.running = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            channels = list(self.channels)
        for channel in channels:
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def call(address, method, path, headers=(), body=b"", timeout=2.0):
    """Sends one request on a new channel. Returns the answer, or None without a complete one."""
    lines = ["%s %s HTTP/1.1" % (method, path)]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append("Host: %s:%d" % address)
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    try:
        with socket.create_connection(address, timeout=timeout) as channel:
            channel.settimeout(timeout)
            channel.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            return read_message(channel.makefile("rb"))
    except OSError:
        return None


def free_ports(count, taken=set()):  # pylint: disable=dangerous-default-value
    """Ports of the loopback address that are free now, below those of outgoing channels. No port is
    returned twice."""
    found = []
    while len(found) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            found.append(port)
    return found
