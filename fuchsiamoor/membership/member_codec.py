"""Members as bytes, for the store and for the exchange between daemons."""

import cbor2

from fuchsiamoor.core import addresses, errors, members


def encode_member(member: members.Member) -> bytes:
    """Return a member as a CBOR array of its fields, addresses as text."""
    fields = [
        addresses.format_address(field)
        if isinstance(field, addresses.Address)
        else field
        for field in member
    ]
    return cbor2.dumps(fields)


def decode_member(data: bytes) -> members.Member:
    """Read a member.

    Raises
    ------
    FrameError
        If the bytes are not a member.
    """
    try:
        fields = cbor2.loads(data)
        member = members.Member(*fields)
        return member._replace(
            peer_address=addresses.parse_address(member.peer_address),
            caller_address=addresses.parse_address(member.caller_address),
            operator_address=addresses.parse_address(member.operator_address),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError) as error:
        raise errors.FrameError(f"member record: {error}") from error
