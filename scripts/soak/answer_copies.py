"""Answers too many: a worker sends an answer a second time, late, in the place of the next one on that connection."""
import asyncio
import contextlib
import random

from history import History

# Delays after the answer: within the time of a retry, and up to the time of later requests.
SHORT_DELAY_S = (0.0002, 0.004)
LONG_DELAY_S = (0.01, 0.4)
LONG_SHARE = 0.2
SECOND_COPY_SHARE = 0.2


class AnswerCopies:
    """Draws and sends the copies of one worker's complete answers. A copy never interrupts another answer."""

    def __init__(self, history: History, rng: random.Random):
        self._history = history
        self._rng = rng
        self._streaming = set()  # transports on which an answer is being sent in parts
        self.share = 0.0

    @contextlib.contextmanager
    def streaming(self, transport):
        """While a stream is sent on `transport`, no copy is."""
        self._streaming.add(transport)
        try:
            yield
        finally:
            self._streaming.discard(transport)

    def draw(self, transport, response):
        """Sends copies of `response`, which is about to be sent on `transport`, if the draw says so."""
        if self.share == 0 or transport is None or self._rng.random() >= self.share:
            return
        data = _encode(response)
        for _ in range(2 if self._rng.random() < SECOND_COPY_SHARE else 1):
            delay = self._rng.uniform(*(LONG_DELAY_S if self._rng.random() < LONG_SHARE else SHORT_DELAY_S))
            asyncio.get_running_loop().call_later(delay, self._send, transport, data)

    def _send(self, transport, data):
        if transport.is_closing() or transport in self._streaming:
            return
        self._history.copies += 1
        transport.write(data)


def _encode(response):
    body = response.body or b''
    lines = [f'HTTP/1.1 {response.status} {response.reason}']
    lines += [f'{name}: {value}' for name, value in response.headers.items() if name != 'Content-Length']
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
