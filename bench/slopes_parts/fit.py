"""Least-squares fits of what a role costs per unit."""

import attrs
import numpy


@attrs.frozen
class Slope:
    """What one more unit costs.

    Attributes:
      role: The role of the process that pays.
      unit: What there is more of.
      quantity: What is paid, with its unit.
      slope: The quantity per unit.
      error: The standard error of the slope.
      base: The quantity at no unit.
      sizes: The numbers of units at which it was measured.
      values: The quantity at each.
    """

    role: str
    unit: str
    quantity: str
    slope: float
    error: float
    base: float
    sizes: list[float]
    values: list[float]


def fit_line(
    role: str,
    unit: str,
    quantity: str,
    sizes: list[float],
    values: list[float],
) -> Slope:
    """Return the line through measurements at three or more sizes.

    Args:
      role: The role of the process that pays.
      unit: What there is more of.
      quantity: What is paid, with its unit.
      sizes: The numbers of units.
      values: The quantity at each.
    """
    (base, slope), (_, error) = solve([[1.0] * len(sizes), sizes], values)
    return Slope(role, unit, quantity, slope, error, base, sizes, values)


def fit_plane(
    quantity: str,
    units: list[tuple[str, str, list[float]]],
    values: list[float],
) -> list[Slope]:
    """Return the slopes of a quantity over several numbers at once.

    Args:
      quantity: What is paid, with its unit.
      units: For each number the role, the unit and the sizes.
      values: The quantity at each measurement.
    """
    columns = [[1.0] * len(values), *(sizes for _, _, sizes in units)]
    coefficients, errors = solve(columns, values)
    return [
        Slope(role, unit, quantity, slope, error, coefficients[0], s, values)
        for (role, unit, s), slope, error in zip(
            units, coefficients[1:], errors[1:], strict=True
        )
    ]


def solve(
    columns: list[list[float]], values: list[float]
) -> tuple[list[float], list[float]]:
    """Return the least-squares coefficients and their standard errors.

    Args:
      columns: The values of each variable at each measurement.
      values: The measured quantity.
    """
    matrix = numpy.array(columns, dtype=float).T
    target = numpy.array(values, dtype=float)
    coefficients, _, _, _ = numpy.linalg.lstsq(matrix, target, rcond=None)
    residuals = target - matrix @ coefficients
    freedom = max(1, len(values) - len(columns))
    variance = float(residuals @ residuals) / freedom
    covariance = numpy.linalg.pinv(matrix.T @ matrix) * variance
    errors = numpy.sqrt(numpy.diag(covariance))
    return coefficients.tolist(), errors.tolist()
