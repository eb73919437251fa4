"""Dispatch: answers each message of a peer by the part that it concerns."""

from fuchsiamoor.core import errors, messages, tables
from fuchsiamoor.daemon import exchange, serving_leases
from fuchsiamoor.daemon import knowledge as knowledges
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import tables_codec


async def handle_message(
    node: nodes.Node, sender_id: str, message: messages.Message
) -> messages.Message:
    """Answer one message.

    Raises
    ------
    FrameError
        If the message is not one that a peer may send.
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
            return _take_table(node, message)
        case messages.FetchTable():
            return _show_table(node, message.domain)
        case messages.Prepare():
            return await _release(node, message)
        case messages.AbortMove():
            return _abort(node, message)
        case messages.Digest():
            node.last_exchange_ms = node.now_ms()
            return knowledges.reply_to_digest(node.knowledge, message)
        case messages.Ping():
            return messages.Done()
        case messages.StatePush():
            exchange.take_state(node, message)
            return messages.Done()
    raise errors.FrameError(f"unexpected {type(message).__name__} from {sender_id}")


def _take_table(node: nodes.Node, push: messages.TablePush) -> messages.TableAcked:
    knowledges.adopt_table(node.knowledge, push.table)
    return messages.TableAcked(push.domain, _known(node, push.domain).revision)


def _show_table(node: nodes.Node, domain: str) -> messages.TablePush:
    table = _known(node, domain)
    value = node.knowledge.table_values.get(domain)
    if value is None:
        value = tables_codec.encode_table(table)
    return messages.TablePush(domain, table.revision, value)


def _known(node: nodes.Node, domain: str) -> tables.ShardTable:
    table = nodes.find_table(node, domain)
    return table if table is not None else tables.make_empty_table(domain, 0)


async def _release(node: nodes.Node, prepare: messages.Prepare) -> messages.Message:
    """Drain the shards of a planned move and give them up."""
    holder = node.holders.get(prepare.domain)
    if holder is None:
        return messages.ReleaseRefused(prepare.domain, prepare.move_id)
    match holders.begin_release(holder, prepare):
        case holders.ReleaseBegun(shards):
            await servings.drain_shards(node.serving, prepare.domain, shards)
        case messages.ReleaseRefused() as refused:
            return refused
    return holders.finish_release(holder, prepare)


def _abort(node: nodes.Node, abort: messages.AbortMove) -> messages.Done:
    holder = node.holders.get(abort.domain)
    if holder is not None:
        holders.abort_release(holder, abort)
        servings.handle_state_change(node.serving)
    return messages.Done()
