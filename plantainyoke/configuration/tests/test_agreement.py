from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.configuration import ConfigurationState
from plantainyoke.configuration.tests.test_state import BUILDS

PROCESS_COUNT = 4


@dataclass
class Simulation:
    """Processes and a platform whose replicas may be stale or unreachable.

    Attributes
    ----------
    states : list of ConfigurationState
        One for each process.
    published : list of int
        Positions in ``BUILDS`` of the published generations, oldest first. Replica
        ``n`` returns the one ``n`` positions before the last, modulo their number.
    is_platform_unreachable : bool
    """

    states: list[ConfigurationState] = field(
        default_factory=lambda: [ConfigurationState() for _ in range(PROCESS_COUNT)]
    )
    published: list[int] = field(default_factory=lambda: [0])
    is_platform_unreachable: bool = False

    def read(self, process: int, replica: int) -> None:
        """Read a replica of the platform and apply the result to a process."""
        if not self.is_platform_unreachable:
            build = BUILDS[self.published[-1 - replica % len(self.published)]]
            self.apply_documents(process, build.index_document, build.chunk_documents)

    def pull(self, process: int, peer: int) -> None:
        """Pull the configuration of a peer and apply it to a process."""
        source = self.states[peer]
        if source.snapshot.generation:
            self.apply_documents(process, source.index_document, source.chunk_documents)

    def apply_documents(
        self, process: int, index: bytes, chunks: dict[str, bytes]
    ) -> None:
        pending = self.states[process].check_index(index).unwrap()
        if pending is not None:
            chunk_documents = {
                digest: chunks[digest]
                for digest in pending.missing_digests
                if digest in chunks
            }
            self.states[process].apply(pending, chunk_documents)

    def restart(self, process: int, peer: int) -> None:
        """Replace a process by one that first reads the platform and a peer."""
        self.states[process] = ConfigurationState()
        self.read(process, PROCESS_COUNT)
        if peer != process:
            self.pull(process, peer)

    def list_versions(self) -> list[tuple[int, str]]:
        return [state.snapshot.version for state in self.states]


processes = st.integers(0, PROCESS_COUNT - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.integers(0, len(BUILDS) - 1), processes),
        st.tuples(st.just("read"), processes, st.integers(0, 5)),
        st.tuples(st.just("pull"), processes, processes),
        st.tuples(st.just("restart"), processes, processes),
        st.tuples(st.just("outage"), processes, processes),
    ),
    max_size=40,
)


class TestAgreement:
    @given(steps)
    def test_versions_never_decrease_and_all_processes_converge(self, schedule):
        """Guard against processes that return to an older version or never converge.

        Stale replicas, outages, restarts and pulls occur in any order and repeatedly.
        """
        simulation = Simulation()
        for action, first, second in schedule:
            before = simulation.list_versions()
            if action == "publish":
                simulation.published.append(first)
            elif action == "read":
                simulation.read(first, second)
            elif action == "pull":
                simulation.pull(first, second)
            elif action == "outage":
                simulation.is_platform_unreachable = (
                    not simulation.is_platform_unreachable
                )
            else:
                simulation.restart(first, second)
            after = simulation.list_versions()
            for process in range(PROCESS_COUNT):
                if action != "restart" or process != first:
                    assert after[process] >= before[process]
                elif second != first:
                    assert after[first] >= before[second]
        latest_version = max(simulation.list_versions())
        for peer in range(PROCESS_COUNT):
            for process in range(PROCESS_COUNT):
                simulation.pull(process, peer)
        assert set(simulation.list_versions()) == {latest_version}
