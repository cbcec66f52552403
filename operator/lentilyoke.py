"""Describes a lentilyoke cell and prints its configuration as JSON.

Values are checked when they are constructed. `Cell.print` writes the JSON that `lentilyoke config
apply` reads.

>>> cell = Cell("small", worker=Size(cores=16, memory_mib=65536))
>>> north = cell.region("north")
>>> north.data_centre("north-1", racks=["n1"])
>>> cell.team("checks", north, quota=Size(cores=8, memory_mib=16384))
>>> cell.to_dict()["regions"][0]["name"]
'north'
"""

from __future__ import annotations

import json
import re
import sys
from dataclasses import asdict, dataclass, field
from typing import Any, TextIO

_NAME = re.compile(r"^[a-z0-9-]{1,64}$")
_PACKING_RULES = ("best-fit", "first-fit", "least-loaded")


class ConfigError(ValueError):
    """An invalid value in the description; the message names its field."""


def _check_name(label: str, name: str) -> str:
    if not isinstance(name, str) or not _NAME.match(name):
        raise ConfigError(f"{label}: a name must be 1 to 64 of a-z, 0-9 and '-', not {name!r}")
    return name


def _check_range(label: str, value: float, low: float, high: float) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise ConfigError(f"{label} must lie between {low} and {high}, not {value!r}")


@dataclass(frozen=True)
class Size:
    """An amount of resources: processor cores, memory in MiB, whole accelerators."""

    cores: float
    memory_mib: int
    accelerators: int = 0

    def __post_init__(self) -> None:
        _check_range("cores", self.cores, 0, 4096 * 640)
        _check_range("memory_mib", self.memory_mib, 0, 64 * 1024 * 1024)
        _check_range("accelerators", self.accelerators, 0, 1_000_000)


@dataclass(frozen=True)
class Policy:
    """Scheduling policy of a cell."""

    batch: str = "best-fit"
    margin: float = 0.25
    reclaim: bool = False
    queue: int = 256
    retry_share: float = 0.1

    def __post_init__(self) -> None:
        if self.batch not in _PACKING_RULES:
            raise ConfigError(f"policy: batch must be one of {', '.join(_PACKING_RULES)}")
        _check_range("policy: margin", self.margin, 0, 1)
        _check_range("policy: queue", self.queue, 1, 65_536)
        _check_range("policy: retry_share", self.retry_share, 0, 1)


@dataclass
class Region:
    """A region with its data centres."""

    name: str
    data_centres: list[dict[str, Any]] = field(default_factory=list)

    def data_centre(self, name: str, racks: list[str]) -> None:
        """Adds a data centre with its racks."""
        _check_name("data centre", name)
        for rack in racks:
            _check_name("rack", rack)
        self.data_centres.append({"name": name, "racks": list(racks)})


@dataclass
class Cell:
    """A cell with its regions, teams, services and policy."""

    name: str
    worker: Size
    workers_per_rack: int = 8
    policy: Policy = Policy()
    _regions: list[Region] = field(default_factory=list)
    _teams: list[dict[str, Any]] = field(default_factory=list)
    _services: list[dict[str, Any]] = field(default_factory=list)

    def __post_init__(self) -> None:
        _check_name("cell", self.name)
        _check_range("workers_per_rack", self.workers_per_rack, 1, 64)

    def region(self, name: str) -> Region:
        """Adds a region and returns it."""
        region = Region(_check_name("region", name))
        self._regions.append(region)
        return region

    def team(
        self,
        name: str,
        region: Region,
        quota: Size,
        *,
        borrow: bool = True,
        urgent: bool = False,
        concurrency: int = 256,
    ) -> None:
        """Adds a team with its quota."""
        _check_name("team", name)
        _check_range(f"team {name}: concurrency", concurrency, 1, 100_000)
        self._teams.append(
            {
                "name": name,
                "region": region.name,
                "quota": asdict(quota),
                "borrow": borrow,
                "urgent": urgent,
                "concurrency": concurrency,
            }
        )

    def service(
        self,
        name: str,
        region: Region,
        *,
        run_ms: int = 1_000,
        rank: int = 0,
        objective_ms: int = 250,
        objective: float = 0.999,
    ) -> None:
        """Adds a service that handles quick requests."""
        _check_name("service", name)
        _check_range(f"service {name}: run_ms", run_ms, 1, 3_000)
        _check_range(f"service {name}: rank", rank, 0, 255)
        _check_range(f"service {name}: objective_ms", objective_ms, 1, 3_600_000)
        _check_range(f"service {name}: objective", objective, 0.5, 0.999999)
        self._services.append(
            {
                "name": name,
                "region": region.name,
                "run_ms": run_ms,
                "rank": rank,
                "objective_ms": objective_ms,
                "objective": objective,
            }
        )

    def to_dict(self) -> dict[str, Any]:
        """Returns the configuration as plain values.

        Raises ConfigError if a name is defined twice.
        """
        for label, names in self._names():
            duplicates = {name for name in names if names.count(name) > 1}
            if duplicates:
                raise ConfigError(f"{label}: {min(duplicates)!r} is defined twice")
        return {
            "name": self.name,
            "regions": [asdict(region) for region in self._regions],
            "worker": asdict(self.worker),
            "workers_per_rack": self.workers_per_rack,
            "teams": self._teams,
            "services": self._services,
            "policy": asdict(self.policy),
        }

    def print(self, to: TextIO = sys.stdout) -> None:
        """Writes the configuration as JSON."""
        json.dump(self.to_dict(), to, indent=2)
        to.write("\n")

    def _names(self) -> list[tuple[str, list[str]]]:
        centres = [centre for region in self._regions for centre in region.data_centres]
        return [
            ("region", [region.name for region in self._regions]),
            ("data centre", [centre["name"] for centre in centres]),
            ("rack", [rack for centre in centres for rack in centre["racks"]]),
            ("team", [team["name"] for team in self._teams]),
            ("service", [service["name"] for service in self._services]),
        ]
