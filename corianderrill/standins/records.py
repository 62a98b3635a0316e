"""Realistic rows of both fleets, made from a seed."""

import random

import msgspec

from corianderrill import names
from corianderrill.standins import deployments

COUNCILS = ("Logan", "Ipswich", "Redland", "Moreton Bay", "Toowoomba")
STREETS = ("Wharf St", "Ann St", "Kent Ln", "Station Rd", "Musgrave Rd")
PERMIT_STATES = ("live", "lapsed", "pending renewal")
TRAINS = ("R101", "R214", "E002", "E010", "R330")
GOODS = ("kohv", "kama", "leivaviil", "vesi 0,5 l", "kohuke")
SUPPLIERS = ("Saku Talu", "Rae Piim", "Kadrina Leib", "Nõmme Kohv")


class IndexedRow(msgspec.Struct, frozen=True):
    """A row as the index builder keeps it."""

    key: str
    fields: dict[str, object]


def _make_notice(rng: random.Random, number: int) -> IndexedRow:
    council = rng.choice(COUNCILS)
    return IndexedRow(
        key=f"permit-{number:05}",
        fields={
            "council": council,
            "site": f"{rng.randint(1, 240)} {rng.choice(STREETS)}",
            "state": rng.choice(PERMIT_STATES),
            "expires": f"2026-{rng.randint(1, 12):02}-{rng.randint(1, 28):02}",
        },
    )


def _make_lot(rng: random.Random, number: int) -> IndexedRow:
    return IndexedRow(
        key=f"lot-{number:05}",
        fields={
            "train": rng.choice(TRAINS),
            "item": rng.choice(GOODS),
            "supplier": rng.choice(SUPPLIERS),
            "units": rng.randint(4, 96),
            "expires": f"2026-12-{rng.randint(1, 31):02}",
        },
    )


MAKERS = {
    deployments.GANTRY.fleet: _make_notice,
    deployments.RONGITOITLUS.fleet: _make_lot,
}


def make_rows(
    fleet: names.FleetName, shape: deployments.ServiceShape, seed: int
) -> tuple[IndexedRow, ...]:
    """Return the rows of one service; the same seed gives the same rows."""
    rng = random.Random(f"{seed}/{fleet}/{shape.name}")
    make = MAKERS[fleet]
    return tuple(make(rng, number) for number in range(shape.rows))
