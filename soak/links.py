"""Loopback TCP proxies that can delay, block (one way or both), silence or reset connections."""

import asyncio
import socket

import http_wire as http

READ_SIZE_BYTES = 16384


class Link:
    """Forwards connections from its own address to a target.

    `mode`: ok, delay, cut (nothing passes in either direction), one_way (nothing passes back). `silence` permanently
    stops forwarding on the open connections while new ones work; `reset` resets the open connections.

    `strand` partitions the two sides as a network does: new connections are not answered (hang), or refused (reset,
    refuse); open ones are silent (hang), reset (reset) or live on (refuse).
    """

    DELAY_S = 0.08

    def __init__(self, target, source_ip=None):
        self.target = target
        self.source = (source_ip, 0) if source_ip else None
        self.target_is_down = False
        self.stranded = ""
        self.full_queue = []
        self.mode = "ok"
        self.pairs = {}
        self.silenced = set()
        # Addresses of peers whose connections the target refused: it has read nothing from them.
        self.refused_peers = set()

    async def start(self, ip, port):
        self.listen_address = (ip, port)
        self.server = await asyncio.start_server(self.accept, ip, port)
        self.address = f"{ip}:{port}"

    def refuse(self):
        """Refuses connections at once, as the system does for a process that has ended, if the link passes them on at
        all. Accepting them and resetting them takes the time of the soak, which a gateway must not see."""
        self.target_is_down = True
        if self.mode == "ok":
            self.server.close()

    async def accept_again(self):
        self.target_is_down = False
        if not self.server.is_serving() and not self.stranded:
            self.server = await asyncio.start_server(self.accept, *self.listen_address)

    async def strand(self, how):
        self.stranded = how
        self.server.close()
        await asyncio.sleep(0)
        if how == "hang":
            self.fill_queue()
        elif how == "reset":
            self.reset()

    async def join_again(self):
        self.stranded = ""
        for each in self.full_queue:
            each.close()
        self.full_queue = []
        if not self.target_is_down:
            await self.accept_again()

    def fill_queue(self):
        """Listens with a full queue: the system does not answer further connections."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(self.listen_address)
        listening.listen(0)
        self.full_queue.append(listening)
        for _ in range(3):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(self.listen_address)
            self.full_queue.append(waiting)

    async def accept(self, reader, writer):
        peer = writer.get_extra_info("peername")
        self.refused_peers.discard(peer)
        await self.wait_until_open()
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target, local_addr=self.source)
        except OSError:
            self.refused_peers.add(peer)
            http.abort(writer)
            return
        pair_id = object()
        self.pairs[pair_id] = (writer, target_writer)
        try:
            await asyncio.gather(self.forward(pair_id, reader, target_writer, False),
                                 self.forward(pair_id, target_reader, writer, True))
        finally:
            self.pairs.pop(pair_id, None)
            http.abort(writer)
            http.abort(target_writer)

    async def wait_until_open(self):
        """Waits until the link is no longer cut."""
        while self.mode == "cut":
            await asyncio.sleep(0.05)

    async def forward(self, pair_id, reader, writer, from_target):
        try:
            while piece := await reader.read(READ_SIZE_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(self.DELAY_S)
                while pair_id in self.silenced or self.stranded == "hang" or self.mode == "cut" or (from_target and self.mode == "one_way"):
                    await asyncio.sleep(0.05)
                    # Delayed bytes are discarded when their sender resets the connection.
                    if reader.exception() is not None:
                        raise reader.exception()
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # A reset on one side is propagated to the other.
            for each in self.pairs.get(pair_id, ()):
                http.abort(each)

    def reset(self):
        for pair in self.pairs.values():
            for writer in pair:
                http.abort(writer)

    def silence(self):
        self.silenced.update(self.pairs)


class LinkGroup:
    """The links from each node to one target, each at a port of its own; faults concern all of them but for `strand`."""

    def __init__(self, target, nodes):
        self.links = [Link(target) for _ in range(nodes)]

    async def start(self, ip, port):
        self.ip, self.port = ip, port
        self.address = f"{ip}:{port}"
        for index, link in enumerate(self.links):
            await link.start(ip, port + index)

    def address_for(self, node_index):
        return f"{self.ip}:{self.port + node_index}"

    @property
    def mode(self):
        return self.links[0].mode

    @mode.setter
    def mode(self, mode):
        for link in self.links:
            link.mode = mode

    def refuse(self):
        for link in self.links:
            link.refuse()

    async def accept_again(self):
        for link in self.links:
            await link.accept_again()

    def reset(self):
        for link in self.links:
            link.reset()

    def silence(self):
        for link in self.links:
            link.silence()

    def close(self):
        for link in self.links:
            link.server.close()
            for each in link.full_queue:
                each.close()
