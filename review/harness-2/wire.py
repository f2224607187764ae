"""The subset of HTTP/1.1 that the stand-ins and clients of review 2 use."""

import asyncio
import json
import socket
import struct


class Lost(Exception):
    """The connection ended before the message was complete; `partial` holds the body bytes that came."""

    def __init__(self, text, partial=b""):
        super().__init__(text)
        self.partial = partial


class Message:
    def __init__(self, line, fields):
        self.line = line
        self.fields = fields
        self.body = b""

    @property
    def status(self):
        return int(self.line[1])

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the head of the next message; None when the connection ends before its first byte."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Lost("ended inside the head") from error
    except OSError as error:
        raise Lost(str(error)) from error
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields)


async def read_pieces(reader, message):
    """Yields the body piece by piece."""
    try:
        if message.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            left = int(message.get("content-length", 0))
            while left:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise Lost("ended inside the body")
                left -= len(piece)
                yield piece
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Lost("ended inside the body") from error


async def read_message(reader):
    message = await read_head(reader)
    if message is None:
        return None
    pieces = []
    try:
        async for piece in read_pieces(reader, message):
            pieces.append(piece)
    except Lost as error:
        error.partial = b"".join(pieces)
        raise
    message.body = b"".join(pieces)
    return message


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def response(status, fields=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_response(status, value):
    return response(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer):
    """Resets the connection."""
    connection = writer.transport.get_extra_info("socket") if writer.transport else None
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if writer.transport:
        writer.transport.abort()


async def call(address, method, target, body=b"", timeout=2.0):
    """One call on a connection of its own; returns the whole answer."""
    ip, _, port = address.rpartition(":")

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(request(method, target, {"Host": address}, body))
            return await read_message(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)
