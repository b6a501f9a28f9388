"""The weight store limits its rate."""

from __future__ import annotations

from result import Ok

from quetzalcourse.standins.deployment import MODEL, Deployment
from quetzalcourse.state.rows import FaultKind


async def test_limited_weight_store_is_a_fault() -> None:
    # The weight store refuses a request that came too soon. A refusal taken
    # for "no version" would make every sample look new enough.
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
