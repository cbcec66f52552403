"""The cell of the Korea Festival Park-and-Ride Association; waiting time comes first."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "operator"))

from lentilyoke import Cell, Policy, Size

cell = Cell(
    "festival",
    worker=Size(cores=16, memory_mib=65_536, accelerators=1),
    policy=Policy(batch="least-loaded", queue=256, retry_share=0.05),
)

sudogwon = cell.region("sudogwon")
sudogwon.data_centre("seoul-1", racks=["se1", "se2", "se3"])
sudogwon.data_centre("incheon-1", racks=["in1", "in2"])
yeongnam = cell.region("yeongnam")
yeongnam.data_centre("busan-1", racks=["bu1", "bu2"])

# Festivalgoers book shuttle seats; a hold must never be taken twice.
cell.team("gates", sudogwon, quota=Size(cores=64, memory_mib=262_144), urgent=True, concurrency=2_048)
cell.service("seat-hold", sudogwon, run_ms=500, rank=3, objective_ms=200, objective=0.999)
cell.service("seat-view", sudogwon, run_ms=300, rank=1, objective_ms=200, objective=0.99)
# Lot marshals assign coaches to lots: all coaches of a wave together.
cell.team("marshals", sudogwon, quota=Size(cores=128, memory_mib=524_288), urgent=True)
cell.service("coach-assign", yeongnam, run_ms=800, rank=2, objective_ms=500, objective=0.99)
# Drivers follow live boarding manifests all night.
cell.team("drivers", yeongnam, quota=Size(cores=96, memory_mib=393_216))
# Forecasts of the next night's demand, with whatever is idle.
cell.team("planning", yeongnam, quota=Size(cores=64, memory_mib=262_144))

if __name__ == "__main__":
    cell.print()
