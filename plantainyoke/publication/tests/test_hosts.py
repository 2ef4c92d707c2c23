import json

import pytest
from returns.result import Failure

from plantainyoke.publication import parse_hosts

RECORD = {"address": "10.1.0.5:7000", "zone": "plateau", "role": "agent"}


class TestHostList:
    # One odd record kept the whole list, and all later ones, from being in use.
    @pytest.mark.parametrize(
        "odd",
        [
            7,
            {},
            {**RECORD, "role": "witness"},
            {**RECORD, "address": "10.1.0.5:70000"},
            {**RECORD, "address": "10.1.0.5:" + "9" * 5000},
            {**RECORD, "zone": None},
            {**RECORD, "leaving": 2**70},
        ],
        ids=lambda odd: str(odd)[-30:],
    )
    def test_invalid_record_is_left_out(self, odd):
        hosts = parse_hosts(json.dumps([odd, RECORD]).encode()).unwrap()
        assert len(hosts.entries) == 1

    @pytest.mark.parametrize(
        "document", [b"", b"{}", b"[", b"\xff", b"[" * 100_000 + b"]" * 100_000]
    )
    def test_document_that_is_no_list_is_a_failure(self, document):
        result = parse_hosts(document)
        assert isinstance(result, Failure) or not result.unwrap().entries
