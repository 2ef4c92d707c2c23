"""Regenerates the tables of docs/CAPACITY.md from the results in the repository.

Usage: ``python benchmarks/write_capacity.py``. Prose is kept; whatever stands
between a pair of markers is replaced.
"""

import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"

BALANCERS = 10_000
TARGETS = 55_000
ZONES = 34
FLOWS = 230e6
NEW_FLOWS_PER_S = 880_000
CHANGES_PER_S = 12_000 / 86_400
CPU_BOUND = 3.0  # percent of a core
MEMORY_BOUND_MB = 256
BYTES_BOUND = 26_000
READS_BOUND = 2_000

PROBES_PER_S = 2.0
WATCHERS = 2
SIBLINGS = 8
SIBLING_PROBES_PER_S = 2.5
FOLLOWER_PROBES_PER_S = 2.0
TREE_FANOUT = 4
READERS_PER_ZONE = 2
HOSTS_REFRESH_S = 200
WATCH_RENEWAL_S = 20
GOSSIP_MESSAGES_PER_S = 10
WATCH_PING_S = 2.0
HOMES = 2  # of a flow
FANOUT = 16  # subscribers of a source
POINTER_TIMEOUT_S = 600
MAX_REPORTS_PER_INTERVAL = 8
REPORTS_PER_S = 4
MESSAGE_BYTES = 50  # header, flow and load, without UDP and IP
ALIVE_BYTES = 15  # a frame without a change
ALIVES_PER_S = 2
RESTARTS_PER_S = 9_700 / 86_400 * 2  # a target leaves and another comes
PROCESS_MB = 16  # of a program that knows nothing yet, on the users' bench
US = 1e-6


def load(name: str) -> dict:
    return json.loads((RESULTS / f"{name}.json").read_text())


def row(*cells) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table(header: tuple, rows: list[tuple]) -> str:
    return "\n".join(
        [row(*header), row(*["---"] * len(header)), *(row(*r) for r in rows)]
    )


def slopes_table(slopes: dict) -> str:
    rows = [
        (
            f"{item['targets']:,} / {item['services']:,}",
            item["chunks"],
            f"{item['balancer_kb'] / 1024:.1f} MB",
            f"{item['agent_kb'] / 1024:.2f} MB",
            f"{item['balancer_change_ms']} ms",
            f"{item['agent_change_ms']} ms",
            f"{item['balancer_change_bytes']:,} B",
            f"{item['agent_change_bytes']:,} B",
        )
        for item in slopes["configuration"]
    ]
    header = (
        "targets / services",
        "chunks",
        "balancer holds",
        "agent holds",
        "change, balancer",
        "change, agent",
        "fetched, balancer",
        "fetched, agent",
    )
    return table(header, rows)


def membership_table(slopes: dict) -> str:
    rows = [
        (
            f"{item['balancers']:,}",
            item["watched"],
            f"{item['plan_watchers_ms']} ms",
            f"{item['first_plan_ms']} ms",
            f"{item['gossip_bytes'] / 1e6:.2f} MB",
            f"{item['gossip_us_per_event']} us",
            f"{item['zone_hint_bytes']} B",
        )
        for item in slopes["membership"]
    ]
    header = (
        "balancers",
        "agents watched",
        "plan watchers",
        "same, new pool",
        "1,620 events told singly",
        "CPU an event",
        "zone hint",
    )
    return table(header, rows)


def zone_failure_table(slopes: dict) -> str:
    rows = [
        (item["balancers"], f"{item['single_s']} s", f"{item['unit_s']} s")
        for item in slopes["zone_failure"]
    ]
    return table(("balancers", "told singly", "as a unit"), rows)


class Costs:
    """Costs of one datagram of each kind, both ends measured."""

    def __init__(self, slopes: dict) -> None:
        messages = slopes["messages"]
        probe, ack = messages["probe"], messages["probe_ack"]
        self.exchange_bytes = probe["bytes"] + ack["bytes"]
        self.ask_us = probe["encode_us"] + ack["decode_us"]
        self.answer_us = probe["decode_us"] + ack["encode_us"]


def balancer_rows(slopes: dict) -> list[tuple]:
    """Return (what, bytes/s, CPU %, MB, mechanism) of the balancer's control."""
    costs = Costs(slopes)
    full = slopes["configuration"][-1]
    members = slopes["membership"][-1]
    children = TREE_FANOUT + TARGETS / BALANCERS
    agent_children = TARGETS / BALANCERS
    watched = members["watched"]
    served = (
        TREE_FANOUT * full["balancer_change_bytes"]
        + agent_children * full["agent_change_bytes"]
    )
    hosts = slopes["hosts"]
    gossip_message = members["gossip_bytes"] / members["gossip_messages"]
    return [
        (
            "configuration in force",
            0,
            0,
            full["balancer_kb"] / 1024,
            "chunks of services; unchanged ones are kept",
        ),
        (
            "applying changes",
            full["balancer_change_bytes"] * CHANGES_PER_S,
            full["balancer_change_ms"] / 1e3 * CHANGES_PER_S * 100,
            0,
            "delta of the index, one chunk",
        ),
        (
            "serving changes to children",
            served * CHANGES_PER_S,
            0.1,
            0,
            f"tree of fan-out {TREE_FANOUT}; CPU estimated, not measured",
        ),
        (
            f"probing {watched} agents",
            watched * PROBES_PER_S * costs.exchange_bytes,
            watched * PROBES_PER_S * costs.ask_us * US * 100,
            0,
            "one watcher in the zone, one outside",
        ),
        (
            "asking a parent and a random balancer",
            2 * FOLLOWER_PROBES_PER_S * costs.exchange_bytes,
            2 * FOLLOWER_PROBES_PER_S * costs.ask_us * US * 100,
            0,
            "generation on every message",
        ),
        (
            f"answering {children + 1:.1f} that ask",
            (children + 1) * FOLLOWER_PROBES_PER_S * costs.exchange_bytes,
            (children + 1) * FOLLOWER_PROBES_PER_S * costs.answer_us * US * 100,
            0,
            "the same",
        ),
        (
            "host list, own and to children",
            hosts["compressed_bytes"] / HOSTS_REFRESH_S * (1 + children),
            hosts["parse_ms"] / 1e3 / HOSTS_REFRESH_S * 100,
            hosts["kb"] / 1024,
            "pulled along the tree, slower when long",
        ),
        (
            "planning who watches whom",
            0,
            members["plan_watchers_ms"] / 1e3 * CHANGES_PER_S * 100,
            0,
            "kept table of the zone's pool",
        ),
        (
            "gossip in a wave (not in steady state)",
            GOSSIP_MESSAGES_PER_S * gossip_message,
            GOSSIP_MESSAGES_PER_S * 40 * members["gossip_us_per_event"] * US * 100 / 40,
            0,
            "40 changes a message, 10 messages a second at most",
        ),
    ]


def agent_rows(slopes: dict) -> list[tuple]:
    """Return the same of the agent's control."""
    costs = Costs(slopes)
    full = slopes["configuration"][-1]
    records = slopes["records"][-1]
    sibling_rate = SIBLINGS * SIBLING_PROBES_PER_S
    hosts = slopes["hosts"]
    return [
        ("configuration in force", 0, 0, full["agent_kb"] / 1024, "own chunk only"),
        (
            "applying changes",
            full["agent_change_bytes"] * CHANGES_PER_S,
            full["agent_change_ms"] / 1e3 * CHANGES_PER_S * 100,
            0,
            "delta of the index",
        ),
        (
            f"answering {WATCHERS} watchers",
            WATCHERS * PROBES_PER_S * costs.exchange_bytes,
            WATCHERS * PROBES_PER_S * costs.answer_us * US * 100,
            0,
            "probes",
        ),
        (
            f"load of {SIBLINGS} siblings, both ways",
            2 * sibling_rate * costs.exchange_bytes,
            sibling_rate * (costs.ask_us + costs.answer_us) * US * 100,
            0,
            "at most eight siblings, by rendezvous",
        ),
        (
            "asking a parent",
            FOLLOWER_PROBES_PER_S * costs.exchange_bytes,
            FOLLOWER_PROBES_PER_S * costs.ask_us * US * 100,
            0,
            "generation on every message",
        ),
        (
            "host list",
            hosts["compressed_bytes"] / HOSTS_REFRESH_S,
            hosts["parse_ms"] / 1e3 / HOSTS_REFRESH_S * 100,
            hosts["kb"] / 1024,
            "pulled from the parent",
        ),
        (
            "10,000 idempotency records",
            0,
            0,
            records["bytes_each"] * 10_000 / 1024 / 1024,
            "bounded and timed",
        ),
    ]


def budget_table(rows: list[tuple], process_mb: float, *, steady=lambda r: True) -> str:
    cells = [
        (what, f"{size:,.0f}", f"{cpu:.2f}", f"{memory:.1f}", mechanism)
        for what, size, cpu, memory, mechanism in rows
    ]
    cells.append(
        ("the bare process", 0, 0, f"{process_mb:.0f}", "interpreter, libraries")
    )
    counted = [r for r in rows if steady(r)]
    size = sum(r[1] for r in counted)
    cpu = sum(r[2] for r in counted)
    memory = sum(r[3] for r in counted) + process_mb
    cells.append(
        (
            "**sum, steady state**",
            f"**{size:,.0f}**",
            f"**{cpu:.2f}**",
            f"**{memory:.0f}**",
            "",
        )
    )
    cells.append(
        (
            "bound",
            f"{BYTES_BOUND:,} {verdict(size, BYTES_BOUND)}",
            f"{CPU_BOUND} {verdict(cpu, CPU_BOUND)}",
            f"{MEMORY_BOUND_MB} {verdict(memory, MEMORY_BOUND_MB)}",
            "",
        )
    )
    return table(("what", "B/s", "% of a core", "MB", "mechanism"), cells)


def verdict(value: float, bound: float) -> str:
    return "(met)" if value <= bound else "(**missed**)"


def data_plane_table(slopes: dict, forwarding: dict, agent: dict) -> str:
    paths = forwarding["paths_us"]
    packet_us = (paths["forward"] + paths["return"]) / 2
    flows = FLOWS / BALANCERS
    pings = flows / WATCH_PING_S
    new = NEW_FLOWS_PER_S / BALANCERS
    first_us = max(forwarding["decisions_us"]["first"].values())
    per_agent = FLOWS / TARGETS
    new_agent = NEW_FLOWS_PER_S / TARGETS
    handshake = agent["agent"]["handshake_us"]
    connection_kb = agent["agent"]["connection_kb"]
    ping_us = 2 * agent["agent"]["request_us"] / 4
    rows = [
        (
            "balancer",
            f"probes of {flows:,.0f} standing lines",
            f"{flows:,.0f} / {WATCH_PING_S:.0f} s x 2 packets x {packet_us:.1f} us",
            f"{pings * 2 * packet_us * US:.2f} cores",
        ),
        (
            "balancer",
            f"{new:.0f} new flows a second, about 12 packets each",
            f"{new:.0f} x (12 x {packet_us:.1f} + {first_us:.1f}) us",
            f"{new * (12 * packet_us + first_us) * US:.3f} cores",
        ),
        (
            "agent",
            f"{new_agent:.0f} handshakes a second",
            f"{new_agent:.0f} x {handshake:,.0f} us",
            f"{new_agent * handshake * US:.3f} cores",
        ),
        (
            "agent",
            f"{per_agent:,.0f} open connections",
            f"{per_agent:,.0f} x {connection_kb} KB",
            f"{per_agent * connection_kb / 1024:,.0f} MB",
        ),
        (
            "agent",
            f"probes of {per_agent:,.0f} lines",
            f"{per_agent:,.0f} / {WATCH_PING_S:.0f} s x {ping_us:.0f} us "
            "(half a small request, estimated)",
            f"{per_agent / WATCH_PING_S * ping_us * US:.2f} cores",
        ),
    ]
    return table(("role", "what", "arithmetic", "cost"), rows)


def platform_table() -> str:
    readers = ZONES * READERS_PER_ZONE
    watch = readers / WATCH_RENEWAL_S
    changes = readers * CHANGES_PER_S * 2
    hosts = readers / HOSTS_REFRESH_S
    starts = (310 + 9_700) / 86_400 * 2
    total = watch + changes + hosts + starts
    rows = [
        (f"{readers} readers' waiting watches", f"{watch:.1f}"),
        ("an index and a chunk at each reader for each change", f"{changes:.1f}"),
        ("host list at each reader", f"{hosts:.1f}"),
        ("10,010 restarts a day, two reads each", f"{starts:.2f}"),
        (f"**sum** (bound {READS_BOUND:,})", f"**{total:.1f}**"),
        (
            "all alone (65,000 processes, no parent answers): 20 a zone and second",
            f"{ZONES * 20}",
        ),
    ]
    return table(("calls", "a second"), rows)


def fleet_table() -> str:
    rows = []
    for deployment in ("diop", "halyard"):
        for variant, result in load(f"fleet_{deployment}").items():
            for phase in result["phases"]:
                rows.append(
                    (
                        deployment,
                        variant,
                        phase["name"],
                        f"{phase['answered_share']:.4f}",
                        f"{phase['worst_second']:.3f}",
                        phase["broken_flows"],
                        phase["broken_outside_zone"],
                        next(iter(phase["imbalance"].values())),
                        f"{phase['p50_ms']} / {phase['p99_ms']}",
                    )
                )
    header = (
        "deployment",
        "variant",
        "scenario",
        "answered",
        "worst second",
        "broken flows",
        "outside zone",
        "busiest/mean",
        "p50 / p99 ms",
    )
    return table(header, rows)


def packet_slopes_table(catalogue: list[dict]) -> str:
    rows = [
        (
            f"{item['targets']:,} / {item['routes']:,}",
            f"{item['catalogue_mb']:.0f} MB",
            f"{item['snapshot_kb']:,} KB",
            f"{item['target_read_ms']} / {item['target_apply_ms']} ms",
            f"{item['target_bytes']} B",
            f"{item['routes_read_ms']} / {item['routes_apply_ms']} ms",
            f"{item['routes_bytes']} B",
            f"{item['homes_us']} us",
        )
        for item in catalogue
    ]
    header = (
        "targets / routes",
        "catalogue",
        "snapshot",
        "change of a target, reader / others",
        "passed on",
        "change of 5 routes, reader / others",
        "passed on",
        "homes of a flow",
    )
    return table(header, rows)


def packet_data_table(packets: dict) -> str:
    largest = packets["balancer"][-1]
    agent = packets["agent"]
    bare = packets["bare_relay_us"]
    flows_a_balancer = FLOWS / BALANCERS
    flows_an_agent = FLOWS / TARGETS
    balancer_mb = flows_a_balancer * largest["bytes_a_flow"] / 1e6
    # Pointers outlive short flows.
    pointers = HOMES * max(
        flows_an_agent, POINTER_TIMEOUT_S * NEW_FLOWS_PER_S / TARGETS
    )
    pointer_bytes = pointers * agent["bytes_a_pointer"]
    agent_mb = (flows_an_agent * agent["bytes_a_flow"] + pointer_bytes) / 1e6
    rows = [
        ("bare relay, a packet", f"{bare} us", ""),
        (
            "balancer, packet of a known flow",
            f"{largest['cached_us']} us",
            f"{largest['cached_us'] / bare:.1f} x bare, at 200,000 flows",
        ),
        ("balancer, packet of an unknown flow", f"{largest['miss_us']} us", ""),
        (
            "balancer, first packet of a flow",
            f"{largest['first_packet_us']} us",
            f"{NEW_FLOWS_PER_S / BALANCERS:.0f} a second",
        ),
        (
            "agent, packet to / from its target",
            f"{agent['to_target_us']} / {agent['from_target_us']} us",
            f"{agent['to_target_us'] / bare:.1f} / "
            f"{agent['from_target_us'] / bare:.1f} x bare",
        ),
        (
            "balancer, memory for its flows",
            f"{balancer_mb:.1f} MB",
            f"{flows_a_balancer:,.0f} flows, {largest['bytes_a_flow']} B each",
        ),
        (
            "agent, memory for its flows and pointers",
            f"{agent_mb:.1f} MB",
            f"{flows_an_agent:,.0f} flows of {agent['bytes_a_flow']} B, "
            f"{pointers:,.0f} pointers of {agent['bytes_a_pointer']} B",
        ),
    ]
    return table(("what", "cost", "at full size"), rows)


def packet_control_table(catalogue: list[dict], packets: dict) -> str:
    """Work out control of the packet path from counts and measured sizes."""
    largest = catalogue[-1]
    opened_balancer = NEW_FLOWS_PER_S / BALANCERS
    opened_agent = NEW_FLOWS_PER_S / TARGETS
    reports_agent = MAX_REPORTS_PER_INTERVAL * REPORTS_PER_S
    reports_balancer = reports_agent * TARGETS / BALANCERS
    churn = RESTARTS_PER_S * largest["target_bytes"]
    routes = CHANGES_PER_S * largest["routes_bytes"]
    catalogue_bytes = churn + routes + ALIVE_BYTES * ALIVES_PER_S
    load_us = packets["agent"]["from_target_us"]  # one datagram received or sent
    balancer_messages = opened_balancer + reports_balancer
    refreshed = 2 * FLOWS / TARGETS / POINTER_TIMEOUT_S
    agent_messages = 2 * HOMES * (opened_agent + refreshed) + opened_agent
    agent_messages += reports_agent
    rows = [
        (
            "balancer",
            f"{balancer_messages:.0f}",
            f"{(balancer_messages * MESSAGE_BYTES + catalogue_bytes) / 1000:.1f} KB/s",
            f"{balancer_messages * load_us * US * 100:.2f} %",
            f"{largest['catalogue_mb'] + PROCESS_MB:.0f} MB",
        ),
        (
            "agent",
            f"{agent_messages:.0f}",
            f"{(agent_messages * MESSAGE_BYTES + catalogue_bytes) / 1000:.1f} KB/s",
            f"{agent_messages * load_us * US * 100:.2f} %",
            f"{largest['catalogue_mb'] + PROCESS_MB:.0f} MB",
        ),
        (
            "source of others, in addition",
            "",
            f"{catalogue_bytes * FANOUT / 1000:.1f} KB/s",
            f"{CHANGES_PER_S * largest['routes_read_ms'] / 10:.2f} % (the reader)",
            f"{largest['catalogue_mb']:.0f} MB",
        ),
        ("bound", "", f"{BYTES_BOUND / 1000:.0f} KB/s", "3 %", f"{MEMORY_BOUND_MB} MB"),
    ]
    header = ("role", "messages a second", "bytes", "processor", "memory")
    return table(header, rows)


def render(page: str, tables: dict[str, str]) -> str:
    for name, content in tables.items():
        page = replace_between(page, f"<!-- {name} -->", f"<!-- /{name} -->", content)
    return page


def replace_between(page: str, begin: str, end: str, content: str) -> str:
    if begin not in page or end not in page:
        raise ValueError(f"the page has no markers {begin} and {end}")
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n{content}\n{end}{tail}"


def main() -> int:
    slopes, forwarding, agent = load("slopes"), load("forwarding"), load("agent")
    tables = {
        "slopes": slopes_table(slopes),
        "membership": membership_table(slopes),
        "zone-failure": zone_failure_table(slopes),
        "balancer": budget_table(
            balancer_rows(slopes),
            slopes["process_mb"]["balancer"],
            steady=lambda r: "wave" not in r[0],
        ),
        "agent": budget_table(agent_rows(slopes), slopes["process_mb"]["agent"]),
        "data-plane": data_plane_table(slopes, forwarding, agent),
        "platform": platform_table(),
        "fleet": fleet_table(),
    }
    catalogue, packets = load("catalogue"), load("packets")
    tables["packet-slopes"] = packet_slopes_table(catalogue)
    tables["packet-control"] = packet_control_table(catalogue, packets)
    tables["packet-data"] = packet_data_table(packets)
    PAGE.write_text(render(PAGE.read_text(), tables))
    return 0


if __name__ == "__main__":
    sys.exit(main())
