"""Tests of a short seeded run and of the regression cases."""

import pytest

from soak._cases import load_cases
from soak._run import SoakOptions, run_seed

SHORT_RUN = {"balancers": 2, "agents": 5, "series": 1, "faults": 6}


class TestShortRun:
    @pytest.mark.parametrize("seed", [1])
    def test_violates_no_invariant(self, run_async, network_prefix, tmp_path, seed):
        result = run_async(
            run_seed(seed, SoakOptions(network_prefix, **SHORT_RUN), tmp_path)
        )
        assert result.violations == []
        assert result.answers > result.flows > 0


class TestCases:
    def test_each_case_states_a_cause(self):
        assert all(case.cause for case in load_cases())
