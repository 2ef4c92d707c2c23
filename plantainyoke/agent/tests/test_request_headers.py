import pytest

from plantainyoke.agent._request_headers import (
    RESUME_HEADER,
    SESSION_HEADER,
    TIMEOUT_HEADER,
    MalformedRequestError,
    PartialRequest,
    build_request,
    parse_resume,
    parse_session,
)

# Numbers that no integer of 64 bits holds, or that are none.
ODD_NUMBERS = [b"9" * 5000, b"9" * 400, b"%d" % 2**64, b"-1", b"", b"1.5", b"\xc2\xb2"]


class TestOddNumbers:
    # Digits by the thousand raised an error of another type, so that a request that did
    # not run was answered as one whose outcome is unknown.
    @pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda one: str(one[:8]))
    def test_epoch_of_a_session_is_malformed(self, number):
        with pytest.raises(MalformedRequestError):
            parse_session([(SESSION_HEADER, b"s;epoch=" + number)])

    @pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda one: str(one[:8]))
    @pytest.mark.parametrize("template", [b"1;age=%b", b"%b;age=1"])
    def test_resume_query_is_malformed(self, template, number):
        with pytest.raises(MalformedRequestError):
            parse_resume([(RESUME_HEADER, template % number)], 0.0)

    @pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda one: str(one[:8]))
    def test_timeout_is_malformed(self, number):
        headers = [(b":method", b"GET"), (b":path", b"/"), (TIMEOUT_HEADER, number)]
        with pytest.raises(MalformedRequestError):
            build_request(PartialRequest(headers), None, now=0.0, max_timeout_s=30.0)

    def test_largest_numbers_are_accepted(self):
        number = b"%d" % (2**64 - 1)
        assert parse_session([(SESSION_HEADER, b"s;epoch=" + number)])[1] == 2**64 - 1
