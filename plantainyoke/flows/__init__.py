"""Flows of the packet path: state, datagrams and the search for a holder.

Shared by balancers and agents. It defines the key and packets of a flow, the datagrams
between the processes, an agent's table of its target's flows, the pointers to holders
that homes keep, and the searches for a holder without a pointer.
"""

from plantainyoke.flows._flow_table import FlowTable, HalfOpenFlow, HeldFlow
from plantainyoke.flows._homes import HolderTable, choose_homes
from plantainyoke.flows._messages import (
    IGNORE_FAILING_FLAG,
    MAX_ALTERNATES,
    MAX_HOPS,
    MAY_WAIT_FLAG,
    MOSTLY_COLD_FLAG,
    FlowRefusal,
    Ingress,
    Knowledge,
    Load,
    MalformedMessageError,
    Message,
    MessageKind,
    decode_flow_key,
    decode_knowledge,
    decode_load_body,
    decode_message,
    decode_open_body,
    decode_refusal,
    encode_load_body,
    encode_message,
    encode_open_body,
    encode_open_detail,
)
from plantainyoke.flows._relay import (
    RelayedMessage,
    add_hop,
    decode_relay_body,
    encode_relay_body,
)
from plantainyoke.flows._search import WIDEN_DELAY_S, Search, SearchTable
from plantainyoke.flows._segment import (
    FLOW_KEY_BYTES,
    FlowFormatError,
    FlowKey,
    Segment,
    format_flow,
    get_caller_ip,
    get_service_endpoint,
    parse_flow,
)

__all__ = [
    "IGNORE_FAILING_FLAG",
    "MAY_WAIT_FLAG",
    "MOSTLY_COLD_FLAG",
    "FLOW_KEY_BYTES",
    "MAX_ALTERNATES",
    "MAX_HOPS",
    "FlowKey",
    "HalfOpenFlow",
    "HeldFlow",
    "FlowTable",
    "HolderTable",
    "Ingress",
    "Knowledge",
    "MessageKind",
    "Load",
    "Message",
    "MalformedMessageError",
    "FlowRefusal",
    "RelayedMessage",
    "add_hop",
    "decode_relay_body",
    "encode_relay_body",
    "Search",
    "SearchTable",
    "WIDEN_DELAY_S",
    "Segment",
    "get_caller_ip",
    "choose_homes",
    "decode_open_body",
    "decode_flow_key",
    "decode_knowledge",
    "decode_load_body",
    "decode_message",
    "decode_refusal",
    "format_flow",
    "encode_open_body",
    "encode_open_detail",
    "encode_load_body",
    "encode_message",
    "FlowFormatError",
    "parse_flow",
    "get_service_endpoint",
]
