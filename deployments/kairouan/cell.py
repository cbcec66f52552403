"""The cell of the Régie Municipale des Données Agricoles de Kairouan; packing comes first."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "operator"))

from lentilyoke import Cell, Policy, Size

cell = Cell(
    "kairouan",
    worker=Size(cores=16, memory_mib=65_536, accelerators=2),
    policy=Policy(batch="best-fit", reclaim=False, queue=512),
)

centre_est = cell.region("centre-est")
centre_est.data_centre("kairouan-1", racks=["ke1", "ke2", "ke3"])
centre_est.data_centre("sousse-1", racks=["so1", "so2"])
nord_ouest = cell.region("nord-ouest")
nord_ouest.data_centre("beja-1", racks=["be1", "be2"])

# Extension officers need an answer before they leave the farm.
cell.team("officers", centre_est, quota=Size(cores=32, memory_mib=131_072), urgent=True, concurrency=512)
cell.service("parcel-check", centre_est, run_ms=1_000, rank=2, objective_ms=250, objective=0.999)
# Counts for the season's report: each must be taken once at most.
cell.service("report-count", centre_est, run_ms=1_500, rank=1, objective_ms=1_000, objective=0.99)
# Governorate planners run the season's acreage reports.
cell.team("planners", centre_est, quota=Size(cores=400, memory_mib=1_572_864), urgent=True)
# The irrigation board keeps a standing watch on plots.
cell.team("irrigation", nord_ouest, quota=Size(cores=120, memory_mib=393_216))
# Researchers fit crop models on accelerators, with whatever is idle.
cell.team("research", nord_ouest, quota=Size(cores=48, memory_mib=196_608, accelerators=24))

if __name__ == "__main__":
    cell.print()
