"""Consistent hashing of new flows to agents.

Balancers build the same table from the same set of agents, so they select the same
agents for a flow without coordination, and a change of one agent moves few flows.

References
----------
Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer",
NSDI 2016, section 3.4 (the table construction).
"""

from array import array
from collections.abc import Sequence

import xxhash

SLOTS_PER_AGENT = 64
TABLE_SIZES = (251, 509, 1021, 2039, 4093, 8191, 16381, 32749, 65521, 131071)
EMPTY_SLOT = 0xFFFF
MAX_CANDIDATES = 4
MAX_SLOTS_SCANNED = 64


class CandidateTable:
    """Maps a hash to a short ordered list of distinct agents.

    Parameters
    ----------
    agents : sequence of int
        Packed addresses. Every process with the same set builds the same table.
    """

    def __init__(self, agents: Sequence[int]) -> None:
        self.agents = sorted(agents)
        self.slots = _fill_slots(self.agents)

    def find_first(self, key: bytes) -> int:
        """Return the preferred agent for a key; the table must not be empty."""
        position = xxhash.xxh64_intdigest(key) % len(self.slots)
        return self.agents[self.slots[position]]

    def find_candidates(self, key: bytes) -> list[int]:
        """Return up to ``MAX_CANDIDATES`` distinct agents, the preferred one first."""
        if not self.agents:
            return []
        slots, agents = self.slots, self.agents
        size = len(slots)
        position = xxhash.xxh64_intdigest(key) % size
        count = min(MAX_CANDIDATES, len(agents))
        chosen = [agents[slots[position]]]
        for step in range(1, MAX_SLOTS_SCANNED):
            if len(chosen) == count:
                break
            agent = agents[slots[(position + step) % size]]
            if agent not in chosen:
                chosen.append(agent)
        return chosen


def _fill_slots(agents: Sequence[int]) -> array:
    """Return the index of the preferred agent for each slot."""
    if not agents:
        return array("H")
    min_size = SLOTS_PER_AGENT * len(agents)
    size = next((size for size in TABLE_SIZES if size >= min_size), TABLE_SIZES[-1])
    slots = array("H", [EMPTY_SLOT]) * size
    positions, steps = _compute_permutations(agents, size)
    filled = 0
    while True:
        for index in range(len(agents)):
            position = positions[index]
            while slots[position] != EMPTY_SLOT:
                position = (position + steps[index]) % size
            slots[position] = index
            positions[index] = (position + steps[index]) % size
            filled += 1
            if filled == size:
                return slots


def _compute_permutations(
    agents: Sequence[int], size: int
) -> tuple[list[int], list[int]]:
    """Return the first slot and the step of each agent's permutation of the slots."""
    positions, steps = [], []
    for agent in agents:
        digest = xxhash.xxh64_intdigest(agent.to_bytes(8, "big"))
        positions.append((digest >> 32) % size)
        steps.append((digest & 0xFFFFFFFF) % (size - 1) + 1)
    return positions, steps
