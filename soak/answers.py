"""Responses of the stand-in endpoints, truthful ones and those of faulty endpoints, as actions on the connection."""

import itertools
from dataclasses import dataclass

import http_wire as http

EVENTS_PER_STREAM = 12
# Faulty responses of streams, of resumed streams and of plain calls. `unframed` is a valid whole response that has
# neither a length nor chunks. Two others end early by an orderly close: `torn` inside an event or a JSON text, `killed`
# between events because the process is killed.
STREAM_LIES = ("head", "cut", "unframed", "torn", "killed", "gap", "twice", "back")
RESUMED_LIES = ("skip", "restart", "gap", "twice", "torn", "killed")
PLAIN_LIES = ("head", "cut", "unframed", "torn", "killed", "chunks", "chunks_cut", "status")
# Status codes outside HTTP (RFC 9110, section 15).
INVALID_CODES = ("000", "099", "600", "999")


class Lies:
    """Selects each faulty response in turn over all endpoints, so that a short time brings all of them."""

    def __init__(self, random):
        self.next = {lies: itertools.cycle(random.sample(lies, len(lies)))
                     for lies in (STREAM_LIES, RESUMED_LIES, PLAIN_LIES)}

    def take(self, lies):
        return next(self.next[lies])


def event_data(id, run, number):
    """Returns the data of one stream event; `run` names the service and the software version that produced it."""
    return f"{id} {run} {number}"


def stream_output(id, run):
    """Returns the text of a whole stream, as a turn keeps it."""
    return "".join(event_data(id, run, number) + "\n" for number in range(1, EVENTS_PER_STREAM + 1))


@dataclass(frozen=True)
class StreamAnswer:
    """Numbers of the events that a run sends, their framing, and how it ends: end, close (in order), killed (in order,
    by the end of the process) or reset."""

    numbers: tuple
    chunked: bool = True
    ending: str = "end"
    head_only: bool = False
    torn: bool = False

    def repeats(self, last):
        """Whether it is a run of its own, which doesn't go on after event `last`."""
        return last > 0 and self.numbers[:1] == (1,)

    def whole(self, last):
        return (self.numbers == tuple(range(last + 1, EVENTS_PER_STREAM + 1)) and not self.head_only
                and not self.torn and self.ending == ("end" if self.chunked else "close"))


def stream_answer(random, last, lie):
    """Returns the response of a run that goes on after event `last`."""
    numbers = tuple(range(last + 1, EVENTS_PER_STREAM + 1))
    at = random.randint(1, max(1, len(numbers) - 1))
    before, after = numbers[:at], numbers[at:]
    if lie == "head":
        return StreamAnswer((), ending="close", head_only=True)
    if lie == "cut":
        return StreamAnswer(before, ending=random.choice(("close", "reset")))
    if lie == "unframed":
        return StreamAnswer(numbers, chunked=False, ending="close")
    if lie in ("torn", "killed"):
        return StreamAnswer(before, chunked=False, ending="close" if lie == "torn" else "killed", torn=lie == "torn")
    # A missing last event would look like a shorter stream, and a missing first one like another numbering.
    if lie == "gap" and len(numbers) > 2:
        left_out = random.randint(1, len(numbers) - 2)
        return StreamAnswer(numbers[:left_out] + numbers[left_out + 1:])
    if lie == "twice":
        return StreamAnswer(before + before[-1:] + after)
    if lie == "back":
        return StreamAnswer(before + numbers[max(0, at - 3):])
    if lie == "skip" and len(numbers) > 1:
        return StreamAnswer(numbers[1:])
    if lie == "restart":
        return StreamAnswer(tuple(range(1, EVENTS_PER_STREAM + 1)))
    return StreamAnswer(numbers)


def plain_bytes(fields, body, lie):
    """Returns the bytes of a plain response, and how the connection ends: end, close (in order), killed (in order, by
    the end of the process) or reset."""
    # Nothing shows that the part of a text which is not JSON is not the whole.
    if lie == "torn" and "Content-Type" not in fields:
        lie = "killed"
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    half = body[:len(body) // 2]
    if lie == "head":
        return f"HTTP/1.1 200 OK\r\n{head}Content-Length: 1".encode(), "close"
    if lie == "cut":
        return http.response_bytes(200, fields, body)[:-len(half)], "close"
    if lie == "status":
        code = INVALID_CODES[sum(fields["X-Request-Id"].encode()) % len(INVALID_CODES)]
        return f"HTTP/1.1 {code} X\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body, "end"
    if lie in ("unframed", "torn", "killed"):
        start = f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()
        return start + (body if lie == "unframed" else half), "killed" if lie == "killed" else "close"
    if lie in ("chunks", "chunks_cut"):
        chunks = http.chunk(half) + (http.chunk(body[len(half):]) + http.LAST_CHUNK if lie == "chunks" else b"")
        start = f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        return start + chunks, "end" if lie == "chunks" else "close"
    return http.response_bytes(200, fields, body), "end"
