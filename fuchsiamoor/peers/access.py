"""Proof of the peers' shared key, given in the handshake of each link, both ways.

The dialling side sends an offer: both members' ids, a nonce, the time and an HMAC over
them. The accepting side answers with an HMAC over the same, so that each knows that the
other holds a key in force and is the member it is taken for. Keys are rotated by
putting the new one second everywhere, then first, then dropping the old one.
"""

import hashlib
import hmac
import urllib.parse
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.errors import AccessDeniedError

MAX_CLOCK_DIFFERENCE_MS = 60_000
MAX_NONCES = 100_000
MAX_FIELD_CHARACTERS = 300

SENDER_HEADER = "Fuchsiamoor-Sender"
RECEIVER_HEADER = "Fuchsiamoor-Receiver"
NONCE_HEADER = "Fuchsiamoor-Nonce"
SENT_AT_HEADER = "Fuchsiamoor-Sent-At-Ms"
PROOF_HEADER = "Fuchsiamoor-Proof"


class Offer(NamedTuple):
    """What the dialling side says of itself.

    Parameters
    ----------
    sender : str
        Member that dials.
    receiver : str
        Member that it expects at the address.
    nonce : str
        Used once.
    sent_at_ms : int
        Unix time.
    proof : str
        HMAC over the other fields, in hexadecimal.
    """

    sender: str
    receiver: str
    nonce: str
    sent_at_ms: int
    proof: str


@dataclass(slots=True)
class Guard:
    """Keys in force, and the nonces seen while their offers are still in time."""

    keys: tuple[str, ...]
    nonce_ends_ms: dict[str, int] = field(default_factory=dict)


def make_guard(keys: tuple[str, ...]) -> Guard:
    """Return a guard that has seen no offer.

    Raises
    ------
    ValueError
        If there is no key or an empty one.
    """
    if not keys or not all(keys):
        raise ValueError(f"peer keys: found {len(keys)}, expected one or two non-empty")
    return Guard(keys)


def make_offer(
    key: str, sender: str, receiver: str, nonce: str, now_unix_ms: int
) -> Offer:
    """Return an offer proved with ``key``."""
    offer = Offer(sender, receiver, nonce, now_unix_ms, "")
    return offer._replace(proof=_prove(key, "offer", offer))


def format_offer(offer: Offer) -> dict[str, str]:
    """Return the headers that carry an offer."""
    return {
        SENDER_HEADER: urllib.parse.quote(offer.sender),
        RECEIVER_HEADER: urllib.parse.quote(offer.receiver),
        NONCE_HEADER: offer.nonce,
        SENT_AT_HEADER: str(offer.sent_at_ms),
        PROOF_HEADER: offer.proof,
    }


def parse_offer(headers: Mapping[str, str]) -> Offer:
    """Read an offer, not yet checked.

    Raises
    ------
    AccessDeniedError
        If a header is missing, repeated or malformed.
    """
    try:
        sender, receiver, nonce, sent_at_ms, proof = (
            headers[name]
            for name in (
                SENDER_HEADER,
                RECEIVER_HEADER,
                NONCE_HEADER,
                SENT_AT_HEADER,
                PROOF_HEADER,
            )
        )
    except LookupError:
        raise AccessDeniedError("handshake without an offer") from None
    texts = (sender, receiver, nonce, sent_at_ms, proof)
    if any(len(text) > MAX_FIELD_CHARACTERS for text in texts):
        raise AccessDeniedError("handshake with an overlong offer")
    if not (sent_at_ms.isascii() and sent_at_ms.isdigit()):
        raise AccessDeniedError(f"offer sent at {sent_at_ms!r}: expected a Unix time")
    unquote = urllib.parse.unquote
    return Offer(unquote(sender), unquote(receiver), nonce, int(sent_at_ms), proof)


def find_key(keys: tuple[str, ...], offer: Offer) -> str | None:
    """Return the key that proves an offer, None if none in force does."""
    for key in keys:
        if _is_equal(offer.proof, _prove(key, "offer", offer)):
            return key
    return None


def admit(guard: Guard, offer: Offer, now_unix_ms: int) -> None:
    """Let an offer in once.

    Parameters
    ----------
    guard : Guard
    offer : Offer
    now_unix_ms : int

    Raises
    ------
    AccessDeniedError
        If no key in force proves it, its time is too far off or it was used before.
    """
    if find_key(guard.keys, offer) is None:
        raise AccessDeniedError(f"{offer.sender!r}: no key in force proves the offer")
    if abs(now_unix_ms - offer.sent_at_ms) > MAX_CLOCK_DIFFERENCE_MS:
        raise AccessDeniedError(
            f"{offer.sender!r}: offer sent at {offer.sent_at_ms}, now {now_unix_ms}, "
            f"expected at most {MAX_CLOCK_DIFFERENCE_MS} ms between"
        )
    _forget_ended_nonces(guard, now_unix_ms)
    if offer.nonce in guard.nonce_ends_ms or len(guard.nonce_ends_ms) >= MAX_NONCES:
        raise AccessDeniedError(f"{offer.sender!r}: offer used before")
    guard.nonce_ends_ms[offer.nonce] = now_unix_ms + 2 * MAX_CLOCK_DIFFERENCE_MS


def prove_acceptance(key: str, offer: Offer) -> str:
    """Return the accepting side's proof for an offer."""
    return _prove(key, "acceptance", offer)


def check_acceptance(keys: tuple[str, ...], offer: Offer, proof: str) -> None:
    """Check the accepting side's proof.

    Raises
    ------
    AccessDeniedError
        If no key in force gives it.
    """
    if not any(_is_equal(proof, prove_acceptance(key, offer)) for key in keys):
        raise AccessDeniedError(
            f"{offer.receiver!r}: no key in force proves the answer"
        )


def _forget_ended_nonces(guard: Guard, now_unix_ms: int) -> None:
    """Drop nonces from the oldest on; they were added in order of their ends."""
    while guard.nonce_ends_ms:
        nonce, end_ms = next(iter(guard.nonce_ends_ms.items()))
        if end_ms > now_unix_ms:
            return
        del guard.nonce_ends_ms[nonce]


def _prove(key: str, purpose: str, offer: Offer) -> str:
    fields = (purpose, *offer[:3], str(offer.sent_at_ms))
    text = "".join(f"{len(field)}:{field}" for field in fields)
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).hexdigest()


def _is_equal(found: str, expected: str) -> bool:
    return hmac.compare_digest(found.encode(), expected.encode())
