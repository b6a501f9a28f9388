"""Bursts of lookups of several client accounts, beyond the servers' slots."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import Caller
from soak.callers import CALL_TIMEOUT_SECONDS, OK, RequestOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzalcourse.standins.rollout.upstream import UpstreamStandin

# Two plain servers with these slots serve 80 requests a second.
SERVER_SLOTS = 2
WORK_SECONDS = 0.05
BURST_RATE = 140.0
BURST_SECONDS = 1.0
BURST_INTERVAL_SECONDS = 2.0
FINAL_BURST_SECONDS = 4.0
LARGE_ACCOUNT = 'burst-0'
ACCOUNTS = (LARGE_ACCOUNT, *(f'burst-{number}' for number in range(1, 8)))
LARGE_ACCOUNT_SHARE = 0.6
# Requests of an account from which its share says something.
MIN_REQUESTS = 10
# Bounds of the burst that no fault disturbs.
MAX_REFUSALS_PER_RUN = 1.5
MIN_SERVED_RATIO = 0.5


def add_accounts(config: dict[str, Any]) -> dict[str, Any]:
    """Add the client accounts of the bursts to a manifest."""
    accounts = [
        {'name': name, 'api_keys': [build_key(name)]} for name in ACCOUNTS
    ]
    return config | {'tenants': config['tenants'] + accounts}


def build_key(account: str) -> str:
    """Build the API key of an account."""
    return f'key-of-{account}'


class BurstCallers:
    """Callers of all accounts, one of which sends most requests.

    :param addresses: ``host:port`` of each daemon's listener for callers.
    """

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Start without requests."""
        self.outcomes: list[RequestOutcome] = []
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self._addresses = addresses
        self._random = random.Random(seed)
        self._callers = {name: Caller(build_key(name)) for name in ACCOUNTS}
        self._count = 0

    async def send_bursts(self, stop: asyncio.Event) -> None:
        """Send one burst after another until ``stop`` is set."""
        while not stop.is_set():
            await self.send_burst(BURST_SECONDS)
            await asyncio.sleep(BURST_INTERVAL_SECONDS)

    async def send_burst(self, seconds: float) -> None:
        """Send a burst, and wait for its responses."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        self.asked.clear()
        self.served.clear()
        calls = []
        while loop.time() < ends_at:
            calls.append(asyncio.ensure_future(self._send()))
            await asyncio.sleep(self._random.expovariate(BURST_RATE))
        await asyncio.gather(*calls)

    async def _send(self) -> None:
        account = LARGE_ACCOUNT
        if self._random.random() > LARGE_ACCOUNT_SHARE:
            account = self._random.choice(ACCOUNTS[1:])
        path = self._random.choice(
            [documents.LOOKUP_PREFIX, documents.NON_IDEMPOTENT_PREFIX]
        )
        address = self._random.choice(self._addresses)
        self._count += 1
        request_id = f'l-{self._count}'
        outcome = RequestOutcome(request_id, path, 0, sent=time.time())
        self.outcomes.append(outcome)
        self.asked[account] += 1
        try:
            reply = await self._callers[account].call(
                address,
                'POST',
                path,
                request_id.encode(),
                request_id=request_id,
                seconds=CALL_TIMEOUT_SECONDS,
            )
        except (aiohttp.ClientError, TimeoutError):
            return
        outcome.status = reply.status
        outcome.body = reply.body
        outcome.answered = time.time()
        self.served[account] += reply.status == OK


def count_refusals(servers: Iterable[UpstreamStandin]) -> Counter[str]:
    """Count the refusals and runs of all plain servers."""
    counts: Counter[str] = Counter()
    for server in servers:
        if server.service == documents.CATALOGUE:
            counts['refusals'] += server.refusals
            counts['runs'] += len(server.runs)
    return counts


def check_burst(
    before: Mapping[str, int],
    after: Mapping[str, int],
    asked: Mapping[str, int],
    served: Mapping[str, int],
) -> list[str]:
    """Check a burst that no fault disturbed.

    Daemons don't overfill the servers again and again, and the large account
    doesn't take what the small ones need.

    :param before: refusals and runs of the servers before the burst.
    :param after: the same after it.
    :param asked: requests of each account.
    :param served: those that were served.
    """
    refusals = after['refusals'] - before['refusals']
    runs = after['runs'] - before['runs']
    violations = []
    if refusals > MAX_REFUSALS_PER_RUN * runs:
        violations.append(f'burst: {refusals} refusals for {runs} runs')
    mean = sum(served.values()) / max(sum(asked.values()), 1)
    violations += [
        f'burst: {name} got {served.get(name, 0)} of {count} requests'
        for name, count in asked.items()
        if name != LARGE_ACCOUNT
        and count >= MIN_REQUESTS
        and served.get(name, 0) < MIN_SERVED_RATIO * mean * count
    ]
    return violations
