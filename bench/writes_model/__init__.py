"""A small model of a deployment for the benchmarks of writes."""

from writes_model.deployment import DEPLOYMENTS, MOORFELD, PAMOJA, Deployment
from writes_model.network import Network
from writes_model.world import World

__all__ = [
    "DEPLOYMENTS",
    "MOORFELD",
    "PAMOJA",
    "Deployment",
    "Network",
    "World",
]
