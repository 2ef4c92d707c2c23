"""Regenerate the tables of docs/CAPACITY.md from the benchmark results.

Usage: ``python benchmarks/write_capacity.py``. Reads ``benchmarks/results`` and scales
the measured costs to the fleet of ``BALANCERS`` and ``TARGETS``. Only the text between
a pair of markers is replaced.
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
CPU_BOUND_PERCENT = 3.0  # of a core
MEMORY_BOUND_MB = 256
BYTES_PER_S_BOUND = 26_000
READS_PER_S_BOUND = 2_000

PROBES_PER_S = 2.0
PROBING_BALANCERS = 2
SIBLINGS = 8
SIBLING_PROBES_PER_S = 2.5
FOLLOWER_PROBES_PER_S = 2.0
TREE_FANOUT = 4
READERS_PER_ZONE = 2
HOSTS_REFRESH_INTERVAL_S = 200
WATCH_RENEWAL_INTERVAL_S = 20
GOSSIP_MESSAGES_PER_S = 10
PING_INTERVAL_S = 2.0
HOMES_PER_FLOW = 2
FANOUT = 16  # subscribers of a source
POINTER_TIMEOUT_S = 600
MAX_REPORTS_PER_INTERVAL = 8
REPORTS_PER_S = 4
MESSAGE_BYTES = 50  # header, flow and load, without UDP and IP
HEARTBEAT_BYTES = 15  # a frame without a change
HEARTBEATS_PER_S = 2
RESTARTS_PER_S = 9_700 / 86_400 * 2  # each removes one target and adds another
PROCESS_MB = 16  # without a catalogue, on the users' bench
S_PER_US = 1e-6


def load_result(name: str) -> dict:
    return json.loads((RESULTS / f"{name}.json").read_text())


def format_row(*cells) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def format_table(header: tuple, rows: list[tuple]) -> str:
    return "\n".join(
        [
            format_row(*header),
            format_row(*["---"] * len(header)),
            *(format_row(*r) for r in rows),
        ]
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
    return format_table(header, rows)


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
    return format_table(header, rows)


def zone_failure_table(slopes: dict) -> str:
    rows = [
        (item["balancers"], f"{item['single_s']} s", f"{item['unit_s']} s")
        for item in slopes["zone_failure"]
    ]
    return format_table(("balancers", "told singly", "as a unit"), rows)


class ProbeCosts:
    """Costs of one probe and its answer.

    Attributes
    ----------
    exchange_bytes : int
        Size of both datagrams.
    probe_us, answer_us : float
        CPU time to send a probe and read its answer, or to read and answer it.
    """

    def __init__(self, slopes: dict) -> None:
        messages = slopes["messages"]
        probe, ack = messages["probe"], messages["probe_ack"]
        self.exchange_bytes = probe["bytes"] + ack["bytes"]
        self.probe_us = probe["encode_us"] + ack["decode_us"]
        self.answer_us = probe["decode_us"] + ack["encode_us"]


def balancer_rows(slopes: dict) -> list[tuple]:
    """Return the control-plane costs of a balancer.

    Returns
    -------
    list of tuple
        Name, bytes/s, percent of a core, MB and mechanism of each cost.
    """
    probe_costs = ProbeCosts(slopes)
    largest = slopes["configuration"][-1]
    membership = slopes["membership"][-1]
    children = TREE_FANOUT + TARGETS / BALANCERS
    agent_children = TARGETS / BALANCERS
    probed_count = membership["watched"]
    served_bytes = (
        TREE_FANOUT * largest["balancer_change_bytes"]
        + agent_children * largest["agent_change_bytes"]
    )
    hosts = slopes["hosts"]
    gossip_message_bytes = membership["gossip_bytes"] / membership["gossip_messages"]
    return [
        (
            "configuration in force",
            0,
            0,
            largest["balancer_kb"] / 1024,
            "chunks of services; unchanged ones are kept",
        ),
        (
            "applying changes",
            largest["balancer_change_bytes"] * CHANGES_PER_S,
            largest["balancer_change_ms"] / 1e3 * CHANGES_PER_S * 100,
            0,
            "delta of the index, one chunk",
        ),
        (
            "serving changes to children",
            served_bytes * CHANGES_PER_S,
            0.1,
            0,
            f"tree of fan-out {TREE_FANOUT}; CPU estimated, not measured",
        ),
        (
            f"probing {probed_count} agents",
            probed_count * PROBES_PER_S * probe_costs.exchange_bytes,
            probed_count * PROBES_PER_S * probe_costs.probe_us * S_PER_US * 100,
            0,
            "one watcher in the zone, one outside",
        ),
        (
            "asking a parent and a random balancer",
            2 * FOLLOWER_PROBES_PER_S * probe_costs.exchange_bytes,
            2 * FOLLOWER_PROBES_PER_S * probe_costs.probe_us * S_PER_US * 100,
            0,
            "generation on every message",
        ),
        (
            f"answering {children + 1:.1f} that ask",
            (children + 1) * FOLLOWER_PROBES_PER_S * probe_costs.exchange_bytes,
            (children + 1)
            * FOLLOWER_PROBES_PER_S
            * probe_costs.answer_us
            * S_PER_US
            * 100,
            0,
            "the same",
        ),
        (
            "host list, own and to children",
            hosts["compressed_bytes"] / HOSTS_REFRESH_INTERVAL_S * (1 + children),
            hosts["parse_ms"] / 1e3 / HOSTS_REFRESH_INTERVAL_S * 100,
            hosts["kb"] / 1024,
            "pulled along the tree, slower when long",
        ),
        (
            "planning who watches whom",
            0,
            membership["plan_watchers_ms"] / 1e3 * CHANGES_PER_S * 100,
            0,
            "kept table of the zone's pool",
        ),
        (
            "gossip in a wave (not in steady state)",
            GOSSIP_MESSAGES_PER_S * gossip_message_bytes,
            GOSSIP_MESSAGES_PER_S
            * 40
            * membership["gossip_us_per_event"]
            * S_PER_US
            * 100
            / 40,
            0,
            "40 changes a message, 10 messages a second at most",
        ),
    ]


def agent_rows(slopes: dict) -> list[tuple]:
    """Return the control-plane costs of an agent, in the form of ``balancer_rows``."""
    probe_costs = ProbeCosts(slopes)
    largest = slopes["configuration"][-1]
    records = slopes["records"][-1]
    sibling_probes_per_s = SIBLINGS * SIBLING_PROBES_PER_S
    hosts = slopes["hosts"]
    return [
        ("configuration in force", 0, 0, largest["agent_kb"] / 1024, "own chunk only"),
        (
            "applying changes",
            largest["agent_change_bytes"] * CHANGES_PER_S,
            largest["agent_change_ms"] / 1e3 * CHANGES_PER_S * 100,
            0,
            "delta of the index",
        ),
        (
            f"answering {PROBING_BALANCERS} watchers",
            PROBING_BALANCERS * PROBES_PER_S * probe_costs.exchange_bytes,
            PROBING_BALANCERS * PROBES_PER_S * probe_costs.answer_us * S_PER_US * 100,
            0,
            "probes",
        ),
        (
            f"load of {SIBLINGS} siblings, both ways",
            2 * sibling_probes_per_s * probe_costs.exchange_bytes,
            sibling_probes_per_s
            * (probe_costs.probe_us + probe_costs.answer_us)
            * S_PER_US
            * 100,
            0,
            "at most eight siblings, by rendezvous",
        ),
        (
            "asking a parent",
            FOLLOWER_PROBES_PER_S * probe_costs.exchange_bytes,
            FOLLOWER_PROBES_PER_S * probe_costs.probe_us * S_PER_US * 100,
            0,
            "generation on every message",
        ),
        (
            "host list",
            hosts["compressed_bytes"] / HOSTS_REFRESH_INTERVAL_S,
            hosts["parse_ms"] / 1e3 / HOSTS_REFRESH_INTERVAL_S * 100,
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


def budget_table(
    rows: list[tuple], process_mb: float, *, is_steady=lambda r: True
) -> str:
    cells = [
        (name, f"{size:,.0f}", f"{cpu:.2f}", f"{memory:.1f}", mechanism)
        for name, size, cpu, memory, mechanism in rows
    ]
    cells.append(
        ("the bare process", 0, 0, f"{process_mb:.0f}", "interpreter, libraries")
    )
    counted = [r for r in rows if is_steady(r)]
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
            f"{BYTES_PER_S_BOUND:,} {format_bound_check(size, BYTES_PER_S_BOUND)}",
            f"{CPU_BOUND_PERCENT} {format_bound_check(cpu, CPU_BOUND_PERCENT)}",
            f"{MEMORY_BOUND_MB} {format_bound_check(memory, MEMORY_BOUND_MB)}",
            "",
        )
    )
    return format_table(("what", "B/s", "% of a core", "MB", "mechanism"), cells)


def format_bound_check(value: float, bound: float) -> str:
    return "(met)" if value <= bound else "(**missed**)"


def data_plane_table(slopes: dict, forwarding: dict, agent: dict) -> str:
    paths = forwarding["paths_us"]
    packet_us = (paths["forward"] + paths["return"]) / 2
    balancer_flows = FLOWS / BALANCERS
    pings_per_s = balancer_flows / PING_INTERVAL_S
    new_flows_per_s = NEW_FLOWS_PER_S / BALANCERS
    first_us = max(forwarding["decisions_us"]["first"].values())
    agent_flows = FLOWS / TARGETS
    new_flows_per_agent_s = NEW_FLOWS_PER_S / TARGETS
    handshake = agent["agent"]["handshake_us"]
    connection_kb = agent["agent"]["connection_kb"]
    ping_us = 2 * agent["agent"]["request_us"] / 4
    rows = [
        (
            "balancer",
            f"probes of {balancer_flows:,.0f} standing lines",
            f"{balancer_flows:,.0f} / {PING_INTERVAL_S:.0f} s x 2 packets "
            f"x {packet_us:.1f} us",
            f"{pings_per_s * 2 * packet_us * S_PER_US:.2f} cores",
        ),
        (
            "balancer",
            f"{new_flows_per_s:.0f} new flows a second, about 12 packets each",
            f"{new_flows_per_s:.0f} x (12 x {packet_us:.1f} + {first_us:.1f}) us",
            f"{new_flows_per_s * (12 * packet_us + first_us) * S_PER_US:.3f} cores",
        ),
        (
            "agent",
            f"{new_flows_per_agent_s:.0f} handshakes a second",
            f"{new_flows_per_agent_s:.0f} x {handshake:,.0f} us",
            f"{new_flows_per_agent_s * handshake * S_PER_US:.3f} cores",
        ),
        (
            "agent",
            f"{agent_flows:,.0f} open connections",
            f"{agent_flows:,.0f} x {connection_kb} KB",
            f"{agent_flows * connection_kb / 1024:,.0f} MB",
        ),
        (
            "agent",
            f"probes of {agent_flows:,.0f} lines",
            f"{agent_flows:,.0f} / {PING_INTERVAL_S:.0f} s x {ping_us:.0f} us "
            "(half a small request, estimated)",
            f"{agent_flows / PING_INTERVAL_S * ping_us * S_PER_US:.2f} cores",
        ),
    ]
    return format_table(("role", "what", "arithmetic", "cost"), rows)


def platform_table() -> str:
    readers = ZONES * READERS_PER_ZONE
    watches_per_s = readers / WATCH_RENEWAL_INTERVAL_S
    change_reads_per_s = readers * CHANGES_PER_S * 2
    hosts = readers / HOSTS_REFRESH_INTERVAL_S
    start_reads_per_s = (310 + 9_700) / 86_400 * 2
    total_per_s = watches_per_s + change_reads_per_s + hosts + start_reads_per_s
    rows = [
        (f"{readers} readers' waiting watches", f"{watches_per_s:.1f}"),
        (
            "an index and a chunk at each reader for each change",
            f"{change_reads_per_s:.1f}",
        ),
        ("host list at each reader", f"{hosts:.1f}"),
        ("10,010 restarts a day, two reads each", f"{start_reads_per_s:.2f}"),
        (f"**sum** (bound {READS_PER_S_BOUND:,})", f"**{total_per_s:.1f}**"),
        (
            "all alone (65,000 processes, no parent answers): 20 a zone and second",
            f"{ZONES * 20}",
        ),
    ]
    return format_table(("calls", "a second"), rows)


def fleet_table() -> str:
    rows = []
    for deployment in ("diop", "halyard"):
        for variant, result in load_result(f"fleet_{deployment}").items():
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
    return format_table(header, rows)


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
    return format_table(header, rows)


def packet_data_table(packets: dict) -> str:
    largest = packets["balancer"][-1]
    agent = packets["agent"]
    bare = packets["bare_relay_us"]
    balancer_flows = FLOWS / BALANCERS
    agent_flows = FLOWS / TARGETS
    balancer_mb = balancer_flows * largest["bytes_a_flow"] / 1e6
    # Pointers outlive short flows, so their number can exceed that of the open flows.
    pointers = HOMES_PER_FLOW * max(
        agent_flows, POINTER_TIMEOUT_S * NEW_FLOWS_PER_S / TARGETS
    )
    pointer_bytes = pointers * agent["bytes_a_pointer"]
    agent_mb = (agent_flows * agent["bytes_a_flow"] + pointer_bytes) / 1e6
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
            f"{balancer_flows:,.0f} flows, {largest['bytes_a_flow']} B each",
        ),
        (
            "agent, memory for its flows and pointers",
            f"{agent_mb:.1f} MB",
            f"{agent_flows:,.0f} flows of {agent['bytes_a_flow']} B, "
            f"{pointers:,.0f} pointers of {agent['bytes_a_pointer']} B",
        ),
    ]
    return format_table(("what", "cost", "at full size"), rows)


def packet_control_table(catalogue: list[dict], packets: dict) -> str:
    """Compute the control-plane cost of the packet path from rates and sizes."""
    largest = catalogue[-1]
    new_flows_per_balancer_s = NEW_FLOWS_PER_S / BALANCERS
    new_flows_per_agent_s = NEW_FLOWS_PER_S / TARGETS
    reports_per_agent_s = MAX_REPORTS_PER_INTERVAL * REPORTS_PER_S
    reports_per_balancer_s = reports_per_agent_s * TARGETS / BALANCERS
    restart_bytes_per_s = RESTARTS_PER_S * largest["target_bytes"]
    route_bytes_per_s = CHANGES_PER_S * largest["routes_bytes"]
    catalogue_bytes = (
        restart_bytes_per_s + route_bytes_per_s + HEARTBEAT_BYTES * HEARTBEATS_PER_S
    )
    message_us = packets["agent"]["from_target_us"]  # one datagram received or sent
    balancer_messages = new_flows_per_balancer_s + reports_per_balancer_s
    refreshed_pointers_per_s = 2 * FLOWS / TARGETS / POINTER_TIMEOUT_S
    agent_messages = (
        2 * HOMES_PER_FLOW * (new_flows_per_agent_s + refreshed_pointers_per_s)
        + new_flows_per_agent_s
    )
    agent_messages += reports_per_agent_s
    rows = [
        (
            "balancer",
            f"{balancer_messages:.0f}",
            f"{(balancer_messages * MESSAGE_BYTES + catalogue_bytes) / 1000:.1f} KB/s",
            f"{balancer_messages * message_us * S_PER_US * 100:.2f} %",
            f"{largest['catalogue_mb'] + PROCESS_MB:.0f} MB",
        ),
        (
            "agent",
            f"{agent_messages:.0f}",
            f"{(agent_messages * MESSAGE_BYTES + catalogue_bytes) / 1000:.1f} KB/s",
            f"{agent_messages * message_us * S_PER_US * 100:.2f} %",
            f"{largest['catalogue_mb'] + PROCESS_MB:.0f} MB",
        ),
        (
            "source of others, in addition",
            "",
            f"{catalogue_bytes * FANOUT / 1000:.1f} KB/s",
            f"{CHANGES_PER_S * largest['routes_read_ms'] / 10:.2f} % (the reader)",
            f"{largest['catalogue_mb']:.0f} MB",
        ),
        (
            "bound",
            "",
            f"{BYTES_PER_S_BOUND / 1000:.0f} KB/s",
            "3 %",
            f"{MEMORY_BOUND_MB} MB",
        ),
    ]
    header = ("role", "messages a second", "bytes", "processor", "memory")
    return format_table(header, rows)


def render(page: str, tables: dict[str, str]) -> str:
    for name, content in tables.items():
        page = replace_between(page, f"<!-- {name} -->", f"<!-- /{name} -->", content)
    return page


def replace_between(page: str, begin: str, end: str, content: str) -> str:
    if begin not in page or end not in page:
        raise ValueError(f"the page lacks the marker {begin} or {end}")
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n{content}\n{end}{tail}"


def main() -> int:
    slopes, forwarding, agent = (
        load_result("slopes"),
        load_result("forwarding"),
        load_result("agent"),
    )
    tables = {
        "slopes": slopes_table(slopes),
        "membership": membership_table(slopes),
        "zone-failure": zone_failure_table(slopes),
        "balancer": budget_table(
            balancer_rows(slopes),
            slopes["process_mb"]["balancer"],
            is_steady=lambda r: "wave" not in r[0],
        ),
        "agent": budget_table(agent_rows(slopes), slopes["process_mb"]["agent"]),
        "data-plane": data_plane_table(slopes, forwarding, agent),
        "platform": platform_table(),
        "fleet": fleet_table(),
    }
    catalogue, packets = load_result("catalogue"), load_result("packets")
    tables["packet-slopes"] = packet_slopes_table(catalogue)
    tables["packet-control"] = packet_control_table(catalogue, packets)
    tables["packet-data"] = packet_data_table(packets)
    PAGE.write_text(render(PAGE.read_text(), tables))
    return 0


if __name__ == "__main__":
    sys.exit(main())
