"""Tests of the library for operators."""

import doctest
import io
import json
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lentilyoke
from lentilyoke import Cell, ConfigError, Policy, Size


def small() -> Cell:
    cell = Cell("small", worker=Size(cores=16, memory_mib=65_536))
    north = cell.region("north")
    north.data_centre("north-1", racks=["n1"])
    cell.team("checks", north, quota=Size(cores=8, memory_mib=16_384))
    cell.service("parcel", north, run_ms=500)
    return cell


class Description(unittest.TestCase):
    def test_prints_json(self) -> None:
        out = io.StringIO()
        small().print(out)
        self.assertEqual(json.loads(out.getvalue())["services"][0]["run_ms"], 500)

    def test_invalid_values_are_rejected_with_the_name_of_their_field(self) -> None:
        for construct, label in [
            (lambda: Cell("Small", worker=Size(1, 1)), "cell"),
            (lambda: Size(cores=-1, memory_mib=1), "cores"),
            (lambda: Policy(batch="worst-fit"), "batch"),
            (lambda: small().service("slow", small().region("x"), run_ms=9_000), "run_ms"),
        ]:
            with self.assertRaisesRegex(ConfigError, label):
                construct()

    def test_duplicate_names_are_rejected(self) -> None:
        cell = small()
        cell.region("south").data_centre("south-1", racks=["n1"])
        with self.assertRaisesRegex(ConfigError, "rack: 'n1'"):
            cell.to_dict()

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(lentilyoke).failed, 0)

    def test_committed_configurations_are_what_the_descriptions_print(self) -> None:
        root = Path(__file__).resolve().parents[2] / "deployments"
        for deployment in ("kairouan", "festival"):
            spec: dict = {"__name__": "description", "__file__": str(root / deployment / "cell.py")}
            exec((root / deployment / "cell.py").read_text(), spec)
            committed = json.loads((root / deployment / "cell.json").read_text())
            self.assertEqual(spec["cell"].to_dict(), committed)


if __name__ == "__main__":
    unittest.main()
