"""Calls to members of the cluster, including this daemon itself."""

from fuchsiamoor.core import errors, messages
from fuchsiamoor.daemon import node as nodes


async def call_member(
    node: nodes.Node, member_id: str, message: messages.Message, timeout_ms: int
) -> messages.Message:
    """Send a message to a member and return its reply.

    Raises
    ------
    PeerError
    """
    if member_id == node.member.member_id:
        return await node.handle_message(member_id, message)
    member = nodes.find_member(node, member_id)
    if member is None:
        raise errors.PeerUnreachableError(f"member {member_id} is not in the directory")
    return await node.links.call(member, message, timeout_ms)
