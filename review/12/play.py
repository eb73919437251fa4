"""Clients that send requests behind one another while the daemon stops."""

import asyncio
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import fleet as fleets  # noqa: E402

CLIENTS = 12
ANSWER_BYTES = 9_000
DEADLINE_MS = 10_000
# A client sends a request each 50 ms, and so has 180 KB/s to read. It reads 150 KB/s.
GAP_S = 0.05
READ_BYTES = 1_500
PAUSE_S = 0.01
SENDING_S = 4.0
STOP_AFTER_S = 2.0


class Fleet(fleets.Fleet):
    """The deployment with a route that waits as long as the clients do."""

    def make_configuration(self, version="r7"):
        """Return the configuration in the store."""
        found = super().make_configuration(version)
        return found.replace(b'"3s", "600ms"', b'"12s", "2s"')


class Client:
    """One kept connection with several requests at a time."""

    def __init__(self, fleet, machine, number):
        self.fleet, self.machine, self.number = fleet, machine, number
        self.sent, self.answered = [], []
        self.may_send, self.end = True, ""

    async def play(self):
        """Send and read until all is answered or the connection has ended."""
        loop = asyncio.get_running_loop()
        self.connection = socket.socket()
        # A small window and the packets of a network, as on the pages' links.
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_460)
        self.connection.setblocking(False)
        await loop.sock_connect(self.connection, self.machine["outbound"])
        sending = asyncio.create_task(self._send(loop))
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await self._read(loop)
        except (OSError, TimeoutError) as error:
            self.end = repr(error)
        sending.cancel()
        self.connection.close()
        self.fleet.record.add("client", self.number, "ends:", self.end)

    async def _send(self, loop):
        for number in range(int(SENDING_S / GAP_S)):
            if not self.may_send:
                return
            name = f"pipe{self.number:04x}{number:08x}"
            payload = fleets.make_request(
                f"/status/{name}", name, deadline_ms=DEADLINE_MS
            )
            self.sent.append(name)
            await loop.sock_sendall(self.connection, payload)
            await asyncio.sleep(GAP_S)
        self.may_send = False

    async def _read(self, loop):
        received = bytearray()
        while self.may_send or len(self.answered) < len(self.sent):
            try:
                async with asyncio.timeout(1):
                    part = await loop.sock_recv(self.connection, READ_BYTES)
            except TimeoutError:
                continue
            if not part:
                self.end = "closed by the daemon"
                return
            received += part
            while answer := self._take_answer(received):
                self.answered.append((self.sent[len(self.answered)], *answer))
                if answer[1]:
                    # The client sends nothing more, and the rest isn't answered.
                    self.may_send, self.end = False, "after `Connection: close`"
                    return
            await asyncio.sleep(PAUSE_S)
        self.end = "all answered"

    def _take_answer(self, received):
        """Remove a whole answer; return its status and whether it closes."""
        head, separator, rest = received.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        if not separator:
            return None
        [size] = [int(x[15:]) for x in lines if x.startswith("content-length:")]
        if len(rest) < size:
            return None
        received[:] = rest[size:]
        return lines[0].split()[1], "connection: close" in lines


async def play(fleet, has_trouble):
    """Return the broken rule, "" if it held."""
    for backend in fleet.backends.values():
        backend.answer_bytes = ANSWER_BYTES
    machine = fleet.machines[0]
    clients = [Client(fleet, machine, number) for number in range(CLIENTS)]
    playing = [asyncio.create_task(client.play()) for client in clients]
    await asyncio.sleep(STOP_AFTER_S)
    if has_trouble:
        fleet.signal(machine, signal.SIGTERM)
    await asyncio.gather(*playing)
    ran = {run[0] for run in fleet.runs}
    lost = []
    for client in clients:
        whole = {name for name, _, _ in client.answered}
        lost += [name for name in client.sent if name in ran and name not in whole]
    fleet.record.add("passed on, and not answered whole:", *lost)
    if lost:
        return f"LOST: {len(lost)} requests that were passed on got no whole answer"
    return ""


if __name__ == "__main__":
    fleets.Fleet = Fleet
    fleets.main(FOLDER, play, (fleets.PLAIN,) * 4)
