"""Send one order through a session and report whether it may be sent again.

The caller distinguishes an order that did not run from one whose outcome is unknown:
only the first is safe to send again.

Usage: ``python examples/place_order.py HOST:PORT SERVER_NAME CA_FILE TEXT``.
"""

import asyncio
import sys

from plantainyoke.caller import (
    CallerError,
    ConnectError,
    OutcomeUnknownError,
    RefusedError,
    Session,
    SessionOptions,
)
from plantainyoke.network import (
    parse_address,
)


async def place_order(address: str, server_name: str, ca: str, text: str) -> int:
    """Send the order, print its outcome and return the exit code."""
    options = SessionOptions(server_name, ca)
    async with Session(parse_address(address), options) as session:
        try:
            answer = await session.request("POST", "/orders", body=text.encode())
        except OutcomeUnknownError as error:
            print(
                f"check whether the order was placed before sending it again: {error}"
            )
            return 1
        except (RefusedError, ConnectError) as error:
            print(f"the order did not run and may be sent again: {error}")
            return 1
        except CallerError as error:
            print(f"no complete answer: {type(error).__name__} {error}")
            return 1
    print(answer.body.decode())
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(place_order(*sys.argv[1:5])))
