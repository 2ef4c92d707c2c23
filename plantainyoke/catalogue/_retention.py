"""Decides what a view keeps that the store has lost.

Load pattern: while the store is unreachable, targets cannot renew their entries, and
when it returns, every entry has lapsed although all targets serve. If it returns from
an older copy, it also lists targets that left, drain or have started again as they were
before, and zones as they were before. Operators and targets write all of this again
within two seconds. Until then a view keeps what it knew, and afterwards it adopts what
is published. A process that starts meanwhile knows nothing that it could keep; its
snapshot must not take from others what they know.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

import msgspec

from plantainyoke.catalogue._types import CatalogueChange, Target, Unconfirmed

RETURN_GRACE_S = 2.3  # writers need up to two seconds after the store's return


class Departure(NamedTuple):
    """Incarnation of a target that left, and the time in seconds."""

    born_ms: int
    at: float


class Unpublished(NamedTuple):
    """State of a target in a view that differs from what the store has published.

    Attributes
    ----------
    published : Target or None
        Entry in the store, None if it has none.
    until : float
        Time in seconds at which the view adopts what is published.
    """

    published: Target | None
    until: float


def merge_target(known: Target, published: Target) -> Target:
    """Return the later state of a target, which may be the known or published one.

    A later incarnation takes precedence. Within one incarnation a target that drains
    does not stop to, and one of which either state says that it is cold is treated so.
    """
    if known.born_ms != published.born_ms:
        return max(known, published, key=lambda target: target.born_ms)
    return msgspec.structs.replace(
        published,
        draining=known.draining or published.draining,
        cold=known.cold or published.cold,
    )


def merge_targets(
    known: Mapping[str, Target], published: Mapping[str, Target], gone: Collection[str]
) -> dict[str, Target]:
    """Return the targets of a view after the store returned.

    Parameters
    ----------
    known : mapping of str to Target
        Targets that the view had, by name.
    published : mapping of str to Target
        Targets that the store lists, by name.
    gone : collection of str
        Names of targets that the store lists although they are known to be gone.
    """
    merged = {name: target for name, target in published.items() if name not in gone}
    for name, target in known.items():
        merged[name] = merge_target(target, merged.get(name, target))
    return merged


def add_missing_targets(
    snapshot: CatalogueChange, known: Mapping[str, Target]
) -> CatalogueChange:
    """Return a snapshot that keeps known targets which it lacks as unconfirmed.

    Parameters
    ----------
    snapshot : CatalogueChange
        State of another process, right after the store was unreachable here.
    known : mapping of str to Target
        Targets of the view, by name.
    """
    listed = {target.name for target in snapshot.targets}
    missing = {name: target for name, target in known.items() if name not in listed}
    if not missing:
        return snapshot
    unconfirmed = snapshot.unconfirmed or Unconfirmed({}, 0.0)
    return msgspec.structs.replace(
        snapshot,
        targets=(*snapshot.targets, *missing.values()),
        unconfirmed=Unconfirmed(
            {**dict.fromkeys(missing), **unconfirmed.targets},
            max(unconfirmed.remaining_s, RETURN_GRACE_S),
            unconfirmed.zones_out,
        ),
    )
