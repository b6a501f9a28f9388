"""Rate limit of the weight store."""

from __future__ import annotations

from result import Ok

from quetzalcourse.standins.deployment import MODEL, Deployment
from quetzalcourse.state.rows import FaultKind


async def test_rate_limited_weight_store_returns_a_fault() -> None:
    # The weight store rejects requests above its rate limit. A rejection read
    # as "no version" would make every sample look fresh enough.
    deployment = Deployment()
    await deployment.on_start()
    deployment.platform.weights[MODEL] = 7
    deployment.platform.faults.weight_requests = 1
    platform = deployment.daemon.platform
    answers = [await platform.newest(MODEL) for _ in range(8)]
    await deployment.on_stop()
    refused = [one.err_value for one in answers if not isinstance(one, Ok)]
    taken = [one.ok_value for one in answers if isinstance(one, Ok)]
    assert refused
    assert {fault.kind for fault in refused} == {FaultKind.not_applied}
    assert set(taken) <= {7}
