"""Derives numeric identifiers of services and availability zones from their names."""

import xxhash

ZONE_BITS = 16
ZONE_MASK = (1 << ZONE_BITS) - 1


def compute_service_id(name: str) -> int:
    """Return the 32-bit identifier of a service name."""
    return xxhash.xxh32_intdigest(name.encode())


def compute_zone_id(name: str) -> int:
    """Return the 16-bit identifier of an availability zone name."""
    return xxhash.xxh32_intdigest(name.encode()) & ZONE_MASK
