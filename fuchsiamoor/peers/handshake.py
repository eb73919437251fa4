"""Mutual authentication of peers by a shared key, in the handshake of each link.

The dialling side sends an offer: both members' ids, a nonce, the time and an HMAC over
them. The accepting side answers with an HMAC over the same fields. This proves to each
side that the other holds a valid key and is the expected member. To rotate keys, add
the new key as the second one on every daemon, then make it the first, then remove the
old one.
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
    """Credentials that the dialling side sends in the headers of the handshake.

    Parameters
    ----------
    sender : str
        Id of the dialling member.
    receiver : str
        Id of the member that the sender expects at the address.
    nonce : str
        Accepted only once, to prevent replay.
    sent_at_ms : int
        Unix time in milliseconds.
    proof : str
        HMAC over the other fields, in hexadecimal.
    """

    sender: str
    receiver: str
    nonce: str
    sent_at_ms: int
    proof: str


@dataclass(slots=True)
class Authenticator:
    """Valid keys, and the nonces of offers that are recent enough to be replayed."""

    keys: tuple[str, ...]
    nonce_expiry_ms: dict[str, int] = field(default_factory=dict)


def make_authenticator(keys: tuple[str, ...]) -> Authenticator:
    """Return an authenticator that has seen no offer.

    Raises
    ------
    ValueError
        If there are no keys or one of them is empty.
    """
    if not keys or not all(keys):
        raise ValueError(f"peer keys: found {len(keys)}, expected one or two non-empty")
    return Authenticator(keys)


def make_offer(
    key: str, sender: str, receiver: str, nonce: str, now_unix_ms: int
) -> Offer:
    """Return an offer signed with ``key``."""
    offer = Offer(sender, receiver, nonce, now_unix_ms, "")
    return offer._replace(proof=_compute_proof(key, "offer", offer))


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
    """Parse an offer from headers without verifying its proof.

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
    """Return the valid key with which an offer was signed, None if there is none."""
    for key in keys:
        if _is_equal(offer.proof, _compute_proof(key, "offer", offer)):
            return key
    return None


def authenticate(authenticator: Authenticator, offer: Offer, now_unix_ms: int) -> None:
    """Verify an offer and record its nonce, so that it is accepted only once.

    Parameters
    ----------
    authenticator : Authenticator
    offer : Offer
    now_unix_ms : int

    Raises
    ------
    AccessDeniedError
        If the offer was not signed with a valid key, its time differs by more than
        `MAX_CLOCK_DIFFERENCE_MS`, its nonce was used before or `MAX_NONCES` nonces
        are recorded.
    """
    if find_key(authenticator.keys, offer) is None:
        raise AccessDeniedError(f"{offer.sender!r}: no key in force proves the offer")
    if abs(now_unix_ms - offer.sent_at_ms) > MAX_CLOCK_DIFFERENCE_MS:
        raise AccessDeniedError(
            f"{offer.sender!r}: offer sent at {offer.sent_at_ms}, now {now_unix_ms}, "
            f"expected at most {MAX_CLOCK_DIFFERENCE_MS} ms between"
        )
    _drop_expired_nonces(authenticator, now_unix_ms)
    if (
        offer.nonce in authenticator.nonce_expiry_ms
        or len(authenticator.nonce_expiry_ms) >= MAX_NONCES
    ):
        raise AccessDeniedError(f"{offer.sender!r}: offer used before")
    authenticator.nonce_expiry_ms[offer.nonce] = (
        now_unix_ms + 2 * MAX_CLOCK_DIFFERENCE_MS
    )


def prove_acceptance(key: str, offer: Offer) -> str:
    """Return the proof with which the accepting side answers an offer."""
    return _compute_proof(key, "acceptance", offer)


def verify_acceptance(keys: tuple[str, ...], offer: Offer, proof: str) -> None:
    """Verify the proof with which the accepting side answered an offer.

    Raises
    ------
    AccessDeniedError
        If the proof was not made with a valid key.
    """
    if not any(_is_equal(proof, prove_acceptance(key, offer)) for key in keys):
        raise AccessDeniedError(
            f"{offer.receiver!r}: no key in force proves the answer"
        )


def _drop_expired_nonces(authenticator: Authenticator, now_unix_ms: int) -> None:
    """Drop expired nonces; the dict is ordered by expiry."""
    while authenticator.nonce_expiry_ms:
        nonce, end_ms = next(iter(authenticator.nonce_expiry_ms.items()))
        if end_ms > now_unix_ms:
            return
        del authenticator.nonce_expiry_ms[nonce]


def _compute_proof(key: str, purpose: str, offer: Offer) -> str:
    fields = (purpose, *offer[:3], str(offer.sent_at_ms))
    text = "".join(f"{len(field)}:{field}" for field in fields)
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).hexdigest()


def _is_equal(found: str, expected: str) -> bool:
    return hmac.compare_digest(found.encode(), expected.encode())
