"""Dispatches each message from a peer to its handler and returns the reply."""

from fuchsiamoor.core import errors, messages, tables
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.daemon import serving_leases, state_sync
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import tables_codec


async def handle_message(
    node: nodes.Node, sender_id: str, message: messages.Message
) -> messages.Message:
    """Handle one message and return the reply.

    Raises
    ------
    FrameError
        If peers may not send a message of this type.
    """
    match message:
        case messages.Forward():
            return await servings.serve(node.serving, message)
        case messages.Cancel():
            servings.cancel(node.serving, message.request_id)
            return messages.Done()
        case messages.Renew():
            return serving_leases.handle_renew(node, message)
        case messages.Vouch():
            return serving_leases.handle_vouch(node, message)
        case messages.TablePush():
            return _adopt_table(node, message)
        case messages.FetchTable():
            return _read_table(node, message.domain)
        case messages.Prepare():
            return await _release_shards(node, message)
        case messages.AbortMove():
            return _abort_move(node, message)
        case messages.Digest():
            node.last_exchange_ms = node.now_ms()
            return cluster_states.reply_to_digest(node.cluster_state, message)
        case messages.Ping():
            return messages.Done()
        case messages.StatePush():
            state_sync.adopt_state(node, message)
            return messages.Done()
    raise errors.FrameError(f"unexpected {type(message).__name__} from {sender_id}")


def _adopt_table(node: nodes.Node, push: messages.TablePush) -> messages.TableAcked:
    cluster_states.adopt_table(node.cluster_state, push.table)
    return messages.TableAcked(
        push.domain, _find_table_or_empty(node, push.domain).revision
    )


def _read_table(node: nodes.Node, domain: str) -> messages.TablePush:
    table = _find_table_or_empty(node, domain)
    value = node.cluster_state.table_values.get(domain)
    if value is None:
        value = tables_codec.encode_table(table)
    return messages.TablePush(domain, table.revision, value)


def _find_table_or_empty(node: nodes.Node, domain: str) -> tables.ShardTable:
    table = nodes.find_table(node, domain)
    return table if table is not None else tables.make_empty_table(domain, 0)


async def _release_shards(
    node: nodes.Node, prepare: messages.Prepare
) -> messages.Message:
    """Drain the shards of a planned move, then release their ownership."""
    holder = node.holders.get(prepare.domain)
    if holder is None:
        return messages.ReleaseRefused(prepare.domain, prepare.move_id)
    match holders.begin_release(holder, prepare):
        case holders.ReleaseBegun(shards):
            await servings.drain_shards(node.serving, prepare.domain, shards)
        case messages.ReleaseRefused() as refused:
            return refused
    return holders.finish_release(holder, prepare)


def _abort_move(node: nodes.Node, abort: messages.AbortMove) -> messages.Done:
    holder = node.holders.get(abort.domain)
    if holder is not None:
        holders.abort_release(holder, abort)
        servings.handle_state_change(node.serving)
    return messages.Done()
