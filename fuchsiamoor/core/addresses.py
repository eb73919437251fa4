"""Network addresses: host and port."""

import re
from typing import NamedTuple

PORT_MAX = 65_535


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``.

    Raises
    ------
    ValueError
        If the port is missing, not a number or out of range.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch("[0-9]{1,5}", port) or not host:
        raise ValueError(f"address {text!r:.60}: expected HOST:PORT")
    if int(port) > PORT_MAX:
        raise ValueError(f"address {text!r:.60}: expected a port up to {PORT_MAX}")
    return Address(host, int(port))


def format_address(address: Address) -> str:
    """Return ``HOST:PORT``."""
    return f"{address.host}:{address.port}"
