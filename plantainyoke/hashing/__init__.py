"""Hash functions that give the same results in every process.

Processes choose hosts independently, without coordination, so the results must not
depend on the process or on the order of its changes.
"""

from plantainyoke.hashing._identifiers import compute_service_id, compute_zone_id
from plantainyoke.hashing._rendezvous import rank_by_rendezvous
from plantainyoke.hashing._ring import HashRing

__all__ = ["HashRing", "rank_by_rendezvous", "compute_service_id", "compute_zone_id"]
