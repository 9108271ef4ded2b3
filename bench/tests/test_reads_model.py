"""Short runs of the reads policy over lagging replicas, on virtual time."""

import pytest

from reads_model.deployment import MOORFELD, PAMOJA, Deployment
from reads_model.policies import Policy
from reads_model.replication import LagShape
from reads_model.simulation import Scenario, Simulation

SEED = 1
SECONDS = 22.0


@pytest.mark.parametrize("lag", [0.1, 2.0])
@pytest.mark.parametrize("shape", LagShape)
@pytest.mark.parametrize(
    "deployment", [MOORFELD, PAMOJA], ids=lambda one: one.name
)
def test_no_read_is_older_than_asked(
    deployment: Deployment, shape: LagShape, lag: float
) -> None:
    scenario = Scenario(
        deployment, Policy.EVIDENCE, shape, lag, seconds=SECONDS
    )
    tallies = Simulation(scenario, SEED).run().tallies.values()
    assert sum(tally.violations for tally in tallies) == 0
    assert sum(tally.reads for tally in tallies) > 300
    assert sum(tally.replica for tally in tallies) > 100
