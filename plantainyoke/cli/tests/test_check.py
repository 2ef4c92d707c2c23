"""``plantainyokectl check`` on operators' configurations."""

import json

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plantainyoke.catalogue import (
    PAGE_ENTRIES,
    Catalogue,
    CatalogueChange,
    ConfigurationPage,
    RouteShare,
    ServiceCapacity,
    build_page,
    join_pages,
)
from plantainyoke.cli import run_control
from plantainyoke.cli.queries import _in_force
from plantainyoke.cli.queries._in_force import fetch_in_force
from plantainyoke.cli.queries._query import QueryError
from plantainyoke.platform._entries import EntryError, parse_configuration
from plantainyoke.platform.inspection import inspect_configuration
from plantainyoke.standins import PacketSimulation
from plantainyoke.validation import check_configuration, compare_configurations


def _route(name, port, service="orders", **changes):
    route = {"name": name, "hostname": "198.18.0.1", "prefix": f"/{port}/"}
    return {**route, "service": service, **changes}


def _split(**weights):
    return [{"service": name, "weight": weight} for name, weight in weights.items()]


ORDERS = {"name": "orders", "maxConns": 100, "coldStartS": 2, "coldPerS": 5}
CLEAN = {
    "version": 7,
    "routes": [_route("r-1", 443, aimMs=300, timeoutMs=1500), _route("r-2", 444)],
    "services": [ORDERS, {**ORDERS, "name": "stock"}],
    "limits": {"idleTimeoutMs": 15_000},
}
EVERY_FINDING = {
    "version": 0,
    "routes": [
        _route("r-0", 443),
        _route("r-1", 443, aimMs=300, timeoutMs=200, priority=1),
        _route("r-2", 445, hostname="224.0.0.1", service=None),
        _route("r-3", 70_000, timeoutMs=60_001),
        _route("r-4", 446, trafficSplit=_split(orders=-1, other=0)),
        _route("r-5", 447, hostname="10.1", prefix="447", aimMs=-1),
        _route("r-6", 444, service="stock", prefix="/+444/"),
    ],
    "services": [
        ORDERS,
        {**ORDERS, "coldPerS": 51},
        {**ORDERS, "name": "empty", "maxConns": 0},
        {**ORDERS, "name": "stock"},
    ],
    "limits": {"idleTimeoutMs": 250},
}
IN_FORCE = {
    **CLEAN,
    "routes": [*CLEAN["routes"], _route("r-9", 449, service="old")],
    "services": [*CLEAN["services"], {**ORDERS, "name": "old"}],
}
EXPECTED = [
    "routes[4].service service_ignored",
    "routes[5].hostname address_ambiguous",
    "routes[6].prefix port_ambiguous",
    "services[0] service_shadowed",
    "version version_too_low",
    "routes[0] route_shadowed",
    "routes[1].aimMs aim_above_timeout",
    "routes[2].hostname address_unreachable",
    "routes[2].service route_without_service",
    "routes[3].prefix port_unreachable",
    "routes[3].timeoutMs timeout_above_flow_age",
    "routes[4].trafficSplit[0].weight weight_negative",
    "routes[4].trafficSplit[1].service service_not_listed",
    "routes[4].trafficSplit route_without_weight",
    "routes[5].aimMs limit_negative",
    "limits.idleTimeoutMs idle_timeout_below_aim",
    "limits.idleTimeoutMs idle_timeout_below_timeout",
    "services[1].coldPerS cold_rate_above_flows",
    "services[2].maxConns service_without_flows",
    "version version_not_higher",
    "routes[1] route_changed",
    "routes[2] route_added",
    "routes[3] route_added",
    "routes[4] route_added",
    "routes[5] route_added",
    "routes[6].service split_changed",
    "routes[6] route_changed",
    "routes route_removed",
    "services[1] service_changed",
    "services[2] service_added",
    "services service_removed",
    "limits.idleTimeoutMs idle_timeout_changed",
]
BROKEN = {
    b"\xff\xfe{": " json_invalid",
    b"[" * 100_000: " json_invalid",
    b"[]": " type_invalid",
    b'{"version": 1, "routes": {}}': "routes type_invalid",
    json.dumps({**CLEAN, "version": 1 << 63}).encode(): "version type_invalid",
    json.dumps({**CLEAN, "routes": [{"name": 1}, _route("r", "x")]}).encode(): (
        "routes[1].prefix port_invalid"
    ),
    json.dumps({**CLEAN, "routes": [_route("r", 1, hostname="here\n")]}).encode(): (
        "routes[0].hostname address_invalid"
    ),
    json.dumps(
        {**CLEAN, "routes": [_route("r", 1, trafficSplit=[{"weight": 1}])]}
    ).encode(): "routes[0].trafficSplit[0].service field_missing",
}


@pytest.fixture
def check(tmp_path, capsys):
    """Return a function that checks two contents and returns the status and output."""

    def run_check(content, *options, against=None):
        path = tmp_path / "configuration.json"
        path.write_bytes(
            content if isinstance(content, bytes) else json.dumps(content).encode()
        )
        if against is not None:
            (tmp_path / "in_force.json").write_text(json.dumps(against))
            options = (*options, "--against", str(tmp_path / "in_force.json"))
        return run_control(["check", str(path), *options]), capsys.readouterr().out

    return run_check


def _list_codes(output):
    findings = json.loads(output)["findings"]
    return [f"{finding['place']} {finding['code']}" for finding in findings]


class TestFindings:
    def test_one_file_has_every_finding_at_its_place(self, check):
        status, output = check(EVERY_FINDING, "--format", "json", against=IN_FORCE)
        assert status == 1
        assert _list_codes(output) == EXPECTED

    def test_text_has_one_line_for_each_finding(self, check):
        """Names from the file must not add lines."""
        routes = [_route("r\n\u2028\x1b", 443, service="other\n")]
        _, output = check({**CLEAN, "routes": routes}, against=IN_FORCE)
        _, listed = check(
            {**CLEAN, "routes": routes}, "--format", "json", against=IN_FORCE
        )
        assert len(output.splitlines()) == len(_list_codes(listed))

    def test_valid_file_is_clean_also_against_an_equal_one(self, check):
        """A false finding would keep operators from sending a valid configuration."""
        assert check(CLEAN)[0] == 0
        assert check(CLEAN, against=CLEAN)[0] == 0
        assert check({**CLEAN, "version": 8}, against=CLEAN)[0] == 0

    @pytest.mark.parametrize(("content", "expected"), BROKEN.items())
    def test_broken_file_is_located(self, check, content, expected):
        status, output = check(content, "--format", "json", against=CLEAN)
        assert status == 1
        assert expected in _list_codes(output)

    def test_broken_file_is_not_compared(self, check):
        """A route that cannot be read would otherwise be reported as removed."""
        routes = [_route("r-1", "x"), CLEAN["routes"][1]]
        _, output = check(
            {**CLEAN, "routes": routes}, "--format", "json", against=CLEAN
        )
        assert _list_codes(output) == ["routes[0].prefix port_invalid"]

    def test_cold_rate_is_compared_with_the_slots_that_a_process_reports(self):
        """Without both values, a valid rate could be reported."""
        configuration = parse_configuration(json.dumps(CLEAN).encode())
        for slots, work_time_s, count in ((1, 0.21, 1), (2, 0.21, 0), (0, 9, 0)):
            capacity = {"orders": ServiceCapacity(slots, work_time_s)}
            findings = check_configuration(configuration, capacity)
            assert [one.code for one in findings] == ["cold_rate_above_slots"] * count

    @pytest.mark.parametrize(
        ("content", "expected"),
        [
            (json.dumps(CLEAN) + " " * 1_000_000, " file_too_large"),
            (
                json.dumps({**CLEAN, "limits": {"idleTimeoutMs": 0}}),
                "limits.idleTimeoutMs idle_timeout_not_positive",
            ),
        ],
    )
    def test_findings_that_exclude_others(self, check, content, expected):
        _, output = check(content.encode(), "--format", "json")
        assert _list_codes(output) == [expected]

    def test_service_files_are_checked_for_contradictions(self, tmp_path, capsys):
        (tmp_path / "fleet.yaml").write_text(
            "generation: 1\nzones: {a: in, b: out}\nnetworks: [10.0.0.0/8]\n"
        )
        (tmp_path / "orders.yaml").write_text(
            "service: orders\naddress: 127.0.0.1:443\nslots: 1\n"
            "request_timeout_ms: 60001\n"
            'targets: [{agent: "10.0.0.1:7000", zone: b}]\n'
        )
        assert run_control(["check", str(tmp_path), "--format", "json"]) == 1
        assert _list_codes(capsys.readouterr().out) == [
            "address address_unreachable",
            "targets service_out",
            "request_timeout_ms timeout_above_flow_age",
        ]


class TestUsage:
    @pytest.mark.parametrize(
        "arguments",
        [
            ["missing.json"],
            ["valid.json", "--against", "missing.json"],
            ["valid.json", "--control", "127.0.0.1:1"],
            ["notes.txt"],
            [".", "--against", "valid.json"],
        ],
    )
    def test_input_that_cannot_be_checked_exits_2(
        self, tmp_path, monkeypatch, capsys, arguments
    ):
        monkeypatch.chdir(tmp_path)
        (tmp_path / "valid.json").write_text(json.dumps(CLEAN))
        (tmp_path / "notes.txt").write_bytes(b"\xff")
        assert run_control(["check", *arguments]) == 2
        assert capsys.readouterr().err.startswith("plantainyokectl check: ")


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda items: (
        st.lists(items, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "hostname", "prefix", "service", "weight", "x"]),
            items,
        )
    ),
    max_leaves=8,
)
_MUTATED = st.fixed_dictionaries(
    {name: _JSON | st.just(CLEAN[name]) for name in CLEAN}
).map(json.dumps)


class TestArbitraryInput:
    @settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
    @given(st.binary(max_size=80) | _MUTATED.map(str.encode))
    @pytest.mark.parametrize("name", ["x.json", "x.toml", "x", "fleet/orders.yaml"])
    def test_any_bytes_give_findings_and_no_traceback(self, tmp_path, name, content):
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(content)
        status = run_control(
            ["check", str(path if path.suffix != ".yaml" else path.parent)]
        )
        assert status in (0, 1, 2)

    @given(st.binary(max_size=80) | _MUTATED.map(str.encode))
    def test_file_without_errors_is_what_processes_decode(self, content):
        """A file that passes the check must not be rejected by the processes."""
        inspected = inspect_configuration(content)
        try:
            assert inspected.configuration == parse_configuration(content)
        except EntryError:
            assert any(one.severity == "error" for one in inspected.findings)

    @pytest.mark.parametrize(
        ("name", "content"),
        [
            ("fleet/a.yaml", b"slots: 2001-99-99"),
            ("fleet/a.yaml", b"[" * 5_000),
            ("fleet/a.yaml", b'slots: !!int ""'),
            ("fleet/a.yaml", b"slots: !!timestamp x"),
            ("a.toml", b"a = " + b"[" * 5_000),
            ("a.json", b'{"version": 1, "routes": [], "services": ' + b"9" * 400),
        ],
    )
    def test_values_on_which_a_decoder_failed_are_errors(self, tmp_path, name, content):
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(content)
        checked = path if path.suffix != ".yaml" else path.parent
        assert run_control(["check", str(checked)]) == 1


class TestEffects:
    """The stated effects are those of the packet path."""

    def _open_flow(self):
        simulation = PacketSimulation({"orders": 2, "stock": 2})
        caller = simulation.open_flow()
        simulation.advance(1.0)
        assert caller.is_open
        return simulation, caller

    @pytest.mark.parametrize("change", ["route_removed", "split_changed"])
    def test_open_flow_stays_at_its_target(self, change):
        simulation, caller = self._open_flow()
        before, holder = simulation.configuration, simulation.find_holder(caller)
        (route,) = before.routes
        moved = msgspec.structs.replace(route, shares=(RouteShare("stock", 1),))
        routes = (moved,) if change == "split_changed" else ()
        after = msgspec.structs.replace(before, version=2, routes=routes)
        (finding,) = compare_configurations(after, before)
        assert finding.code == change
        assert "open flows stay at their targets" in finding.text
        simulation.publish(configuration=after)
        simulation.advance(0.5)
        caller.send_request()
        simulation.advance(1.0)
        assert caller.last_answered == 1 and caller.reset_at is None
        assert simulation.find_holder(caller) == holder
        fresh = simulation.open_flow()
        simulation.advance(1.0)
        assert (fresh.reset_at is not None) == (change == "route_removed")

    def test_last_of_two_routes_with_one_address_is_in_force(self):
        catalogue = Catalogue()
        configuration = inspect_configuration(json.dumps(EVERY_FINDING).encode())
        routes = configuration.configuration.routes
        change = CatalogueChange(
            0, 1, msgspec.structs.replace(configuration.configuration, version=1)
        )
        catalogue.apply(change, 0.0)
        assert catalogue.routes[routes[0].endpoint] == routes[1]


class TestPages:
    @pytest.mark.parametrize("count", [0, 1, PAGE_ENTRIES, PAGE_ENTRIES + 1, 4_000])
    def test_joined_pages_are_the_configuration_in_force(self, count):
        """An answer with all routes would block the process."""
        routes = [_route(f"r-{port}", port) for port in range(1, count + 1)]
        content = json.dumps({**CLEAN, "routes": routes}).encode()
        configuration = parse_configuration(content)
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 1, configuration), 0.0)
        first = build_page(catalogue, 0, lambda host: 0.0)
        pages = [
            build_page(catalogue, number, lambda host: 0.0)
            for number in range(first.pages)
        ]
        assert max(len(page.routes) for page in pages) <= PAGE_ENTRIES
        assert join_pages(pages) == configuration

    def test_pages_of_two_versions_are_not_combined(self, monkeypatch):
        """A comparison with a mixture would report routes that were never in force."""
        numbers = []

        def answer(control, query, parameters):
            numbers.append(int(parameters["page"]))
            version = 1 if len(numbers) == 1 else 2
            return msgspec.json.encode(ConfigurationPage(version, 15.0, 2, (), {}, {}))

        monkeypatch.setattr(_in_force, "fetch_answer", answer)
        assert fetch_in_force(("127.0.0.1", 1)).configuration.version == 2
        assert numbers == [0, 1, 0, 1]
        monkeypatch.setattr(_in_force, "fetch_answer", lambda *_: b"{}")
        with pytest.raises(QueryError):
            fetch_in_force(("127.0.0.1", 1))
