"""Decides what a view keeps that the store has lost.

Load pattern: while the store is unreachable, targets cannot renew their entries, and
when it returns, every entry has lapsed although all targets serve. If it returns from
an older copy, it also lists targets that left, drain or have started again as they were
before, and zones as they were before. Operators and targets write all of this again
within two seconds. Until then a view keeps what it knew, and afterwards it adopts what
is published.
"""

from collections.abc import Collection, Mapping

import msgspec

from plantainyoke.catalogue._types import Target

RETURN_GRACE_S = 2.3  # writers need up to two seconds after the store's return


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
