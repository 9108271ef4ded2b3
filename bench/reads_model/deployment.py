"""Sizes and latencies of the deployments that are measured."""

import attrs


@attrs.frozen
class Deployment:
    """One deployment's places and sizes.

    Attributes:
      name: The deployment's name.
      data_center_seconds: One way between data centres of a region.
      region_seconds: One way between regions.
      slots: Statements that one server runs at once.
    """

    name: str
    data_center_seconds: float
    region_seconds: float
    slots: int

    def one_way(self, region: int, other: int) -> float:
        """Return the seconds of one way between two regions' VMs."""
        near = region == other
        return self.data_center_seconds if near else self.region_seconds


MOORFELD = Deployment("moorfeld", 0.0015, 0.008, 5)
PAMOJA = Deployment("pamoja", 0.0005, 0.020, 3)
