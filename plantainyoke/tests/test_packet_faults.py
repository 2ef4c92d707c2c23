"""Random series of changes and faults, in virtual time."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from plantainyoke.standins import PacketSimulation
from plantainyoke.tests._fault_run import FaultRun

SERVICES = {"orders": 5, "drawings": 3}

hosts = st.integers(10, 17)
balancers = st.integers(100, 102)
steps = st.one_of(
    st.tuples(st.just("restart_agents"), st.sets(hosts, min_size=1)),
    st.tuples(st.just("restart_balancers"), st.sets(balancers, min_size=1)),
    st.tuples(st.just("restart_all"), st.none()),
    st.tuples(st.just("kill_agent"), hosts),
    st.tuples(st.just("restart_target"), hosts),
    st.tuples(st.just("drain"), hosts),
    st.tuples(st.just("zone_out"), st.sampled_from("abc")),
    st.tuples(st.just("zones_in"), st.none()),
    st.tuples(st.just("split"), st.sampled_from([(1, 0), (1, 1), (0, 1), (9, 1)])),
    st.tuples(st.just("lag"), balancers),
    st.tuples(st.just("catch_up"), st.none()),
    st.tuples(st.just("spray"), st.booleans()),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.02, 0.1])),
    st.tuples(st.just("cut"), st.tuples(balancers, hosts)),
    st.tuples(st.just("heal"), st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.1, 0.7])),
)


# A placement whose agents did not answer was reset while one of them had placed it.
UNANSWERED_PLACEMENT = [
    ("loss", 0.1),
    ("wait", 0.1),
    ("kill_agent", 14),
    ("zone_out", "b"),
    ("split", (0, 1)),
    ("cut", (100, 12)),
    ("zone_out", "b"),
    ("restart_all", None),
]


@settings(max_examples=60)
@example(UNANSWERED_PLACEMENT, 291)
@given(st.lists(steps, min_size=1, max_size=14), st.integers(0, 2**16))
def test_flows_survive_any_series_of_faults(series, seed):
    run = FaultRun(PacketSimulation(SERVICES, seed=seed))
    for name, argument in series:
        run.apply(name, argument)
        run.check_services()
        run.check_resets()
    run.calm()
    run.check_resets()
    run.check_found()
