"""Translation between the users' platform and the product.

The formats and names of the platform's store, settings files and packets are known to
this package only; the other packages use the product's types.
"""

from plantainyoke.platform._packets import (
    MAX_PACKET_BYTES,
    PACKET_CODEC,
    MalformedPacketError,
    clear_bounced_flag,
    encode_reset,
    parse_caller_packet,
    parse_target_packet,
    peek_flow_key,
)
from plantainyoke.platform._reader import PlatformReader
from plantainyoke.platform._settings import SettingsError, load_process_settings
from plantainyoke.platform._store import StoreUnavailableError

__all__ = [
    "PACKET_CODEC",
    "MAX_PACKET_BYTES",
    "MalformedPacketError",
    "PlatformReader",
    "SettingsError",
    "StoreUnavailableError",
    "clear_bounced_flag",
    "encode_reset",
    "peek_flow_key",
    "load_process_settings",
    "parse_caller_packet",
    "parse_target_packet",
]
