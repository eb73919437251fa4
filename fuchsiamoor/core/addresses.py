"""Network addresses: host and port."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``.

    Raises
    ------
    ValueError
        If the port is missing or not a number.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not host:
        raise ValueError(f"address {text!r}: expected HOST:PORT")
    return Address(host, int(port))


def format_address(address: Address) -> str:
    """Return ``HOST:PORT``."""
    return f"{address.host}:{address.port}"
