"""The sizes and latencies of a deployment."""

import attrs


@attrs.frozen
class Deployment:
    """One deployment.

    Attributes:
      name: Its name.
      data_center_ms: Latency one way between data centres of a region.
      region_ms: Latency one way between regions.
      connect_ms: What a new backend connection costs.
    """

    name: str
    data_center_ms: float
    region_ms: float
    connect_ms: float


MOORFELD = Deployment("moorfeld", 1.5, 8.0, 10.0)
PAMOJA = Deployment("pamoja", 0.5, 20.0, 30.0)
DEPLOYMENTS = (MOORFELD, PAMOJA)
REGIONS = 3
