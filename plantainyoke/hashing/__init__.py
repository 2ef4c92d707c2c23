"""Hashes on which all processes agree."""

from plantainyoke.hashing._identifiers import service_identifier, zone_identifier
from plantainyoke.hashing._rendezvous import rank_by_rendezvous
from plantainyoke.hashing._ring import HashRing

__all__ = ["HashRing", "rank_by_rendezvous", "service_identifier", "zone_identifier"]
