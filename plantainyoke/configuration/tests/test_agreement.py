from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.configuration import ConfigurationState
from plantainyoke.configuration.tests.test_state import BUILDS

NODES = 4


@dataclass
class World:
    """Processes, and a platform whose replicas may be stale or down."""

    states: list[ConfigurationState] = field(
        default_factory=lambda: [ConfigurationState() for _ in range(NODES)]
    )
    published: list[int] = field(default_factory=lambda: [0])
    is_down: bool = False

    def read(self, node: int, replica: int) -> None:
        """Let a process read one of the platform's replicas."""
        if not self.is_down:
            build = BUILDS[self.published[-1 - replica % len(self.published)]]
            self.take(node, build.index_document, build.chunk_documents)

    def pull(self, node: int, peer: int) -> None:
        """Let a process ask another one."""
        source = self.states[peer]
        if source.snapshot.generation:
            self.take(node, source.index_document, source.chunk_documents)

    def take(self, node: int, index: bytes, chunks: dict[str, bytes]) -> None:
        pending = self.states[node].check_index(index).unwrap()
        if pending is not None:
            chunk_documents = {
                name: chunks[name] for name in pending.missing_digests if name in chunks
            }
            self.states[node].apply(pending, chunk_documents)

    def restart(self, node: int, peer: int) -> None:
        """Replace a process; it asks the platform and a peer before it serves."""
        self.states[node] = ConfigurationState()
        self.read(node, NODES)
        if peer != node:
            self.pull(node, peer)

    def versions(self) -> list[tuple[int, str]]:
        return [state.snapshot.version for state in self.states]


nodes = st.integers(0, NODES - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.integers(0, len(BUILDS) - 1), nodes),
        st.tuples(st.just("read"), nodes, st.integers(0, 5)),
        st.tuples(st.just("pull"), nodes, nodes),
        st.tuples(st.just("restart"), nodes, nodes),
        st.tuples(st.just("outage"), nodes, nodes),
    ),
    max_size=40,
)


class TestAgreement:
    @given(steps)
    def test_no_process_reverts_and_all_agree_in_the_end(self, schedule):
        """Stale replicas, outages, restarts and pulls in any order, or twice."""
        world = World()
        for action, first, second in schedule:
            before = world.versions()
            if action == "publish":
                world.published.append(first)
            elif action == "read":
                world.read(first, second)
            elif action == "pull":
                world.pull(first, second)
            elif action == "outage":
                world.is_down = not world.is_down
            else:
                world.restart(first, second)
            after = world.versions()
            for node in range(NODES):
                if action != "restart" or node != first:
                    assert after[node] >= before[node]
                elif second != first:
                    assert after[first] >= before[second]
        highest = max(world.versions())
        for peer in range(NODES):
            for node in range(NODES):
                world.pull(node, peer)
        assert set(world.versions()) == {highest}
