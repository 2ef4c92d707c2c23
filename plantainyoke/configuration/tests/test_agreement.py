from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.configuration import ConfigurationStore
from plantainyoke.configuration.tests.test_store import BUILDS

NODES = 4


@dataclass
class World:
    """Processes, and a platform whose replicas may be stale or down."""

    stores: list[ConfigurationStore] = field(
        default_factory=lambda: [ConfigurationStore() for _ in range(NODES)]
    )
    published: list[int] = field(default_factory=lambda: [0])
    is_down: bool = False

    def read(self, node: int, replica: int) -> None:
        """Let a process read one of the platform's replicas."""
        if not self.is_down:
            build = BUILDS[self.published[-1 - replica % len(self.published)]]
            self.take(node, build.index, build.chunks)

    def pull(self, node: int, peer: int) -> None:
        """Let a process ask another one."""
        source = self.stores[peer]
        if source.snapshot.generation:
            self.take(node, source.index_document, source.documents)

    def take(self, node: int, index: bytes, chunks: dict[str, bytes]) -> None:
        offer = self.stores[node].evaluate(index).unwrap()
        if offer is not None:
            documents = {name: chunks[name] for name in offer.missing if name in chunks}
            self.stores[node].apply(offer, documents)

    def restart(self, node: int, peer: int) -> None:
        """Replace a process; it asks the platform and a peer before it serves."""
        self.stores[node] = ConfigurationStore()
        self.read(node, NODES)
        if peer != node:
            self.pull(node, peer)

    def versions(self) -> list[tuple[int, str]]:
        return [store.snapshot.version for store in self.stores]


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
