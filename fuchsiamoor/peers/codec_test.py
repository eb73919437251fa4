import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import messages, tables, verdicts
from fuchsiamoor.core.errors import FrameError
from fuchsiamoor.peers import codec
from fuchsiamoor.peers.codec import Envelope, Role
from fuchsiamoor.testing import messages_data, traffic_data

envelopes = st.builds(
    Envelope,
    st.integers(0, codec.MAX_CORRELATION_ID),
    st.sampled_from([Role.TELL, Role.CALL, Role.ANSWER]),
    messages_data.message_strategy(),
)
plain = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary() | st.floats(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text() | st.integers(), inner),
)


@given(st.lists(envelopes, max_size=30))
def test_frame_round_trip(batch):
    frame = codec.join_frame([codec.encode_envelope(item) for item in batch])
    decoded = codec.decode_frame(frame)
    assert decoded == batch
    assert list(map(type, decoded)) == list(map(type, batch))
    for before, after in zip(batch, decoded, strict=True):
        assert repr(before.message) == repr(after.message)


@pytest.mark.parametrize("count", [0, 23, 24, 255, 256, codec.MAX_ENVELOPES])
def test_frame_of_many_envelopes(count):
    batch = [Envelope(i, Role.CALL, messages.Done()) for i in range(count)]
    frame = codec.join_frame([codec.encode_envelope(item) for item in batch])
    assert codec.decode_frame(frame) == batch


def decode_or_frame_error(frame):
    try:
        codec.decode_frame(frame)
    except FrameError:
        pass


@given(st.binary(max_size=300))
def test_garbage_raises_only_frame_error(garbage):
    decode_or_frame_error(garbage)


@given(plain)
def test_valid_cbor_with_unexpected_structure_raises_only_frame_error(value):
    decode_or_frame_error(cbor2.dumps(value))
    decode_or_frame_error(cbor2.dumps([[1, 1, 2, value]]))


@given(envelopes, st.data())
def test_damaged_frame_raises_only_frame_error(envelope, data):
    frame = bytearray(codec.join_frame([codec.encode_envelope(envelope)]))
    position = data.draw(st.integers(0, len(frame) - 1))
    frame[position] = data.draw(st.integers(0, 255))
    decode_or_frame_error(bytes(frame))


@given(envelopes, plain, st.data())
def test_wrong_field_raises_only_frame_error(envelope, value, data):
    item = cbor2.loads(codec.encode_envelope(envelope))
    item[data.draw(st.integers(0, len(item) - 1))] = value
    decode_or_frame_error(cbor2.dumps([item]))


@given(envelopes, st.data())
def test_truncated_frame_is_refused(envelope, data):
    frame = codec.join_frame([codec.encode_envelope(envelope)])
    size = data.draw(st.integers(0, len(frame) - 1))
    with pytest.raises(FrameError):
        codec.decode_frame(frame[:size])


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        cbor2.dumps([[1, 0, 21]]) + b"\x00",
        b"\x9f\x83\x01\x00\x15\xff",
        b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
        b"\x5b\xff\xff\xff\xff\xff\xff\xff\xff",
        b"\x81" * 100_000,
        bytes.fromhex("81c482187b01"),
        cbor2.dumps([[1, 1, 6, "d", 2**64, 1, 1]]),
        cbor2.dumps([[1, 1, 4, "id", "extra"]]),
        cbor2.dumps([[1, 1, True]]),
        cbor2.dumps([[True, 1, 21]]),
        cbor2.dumps([[-1, 1, 21]]),
        cbor2.dumps([[1, 9, 21]]),
        cbor2.dumps([[1, 3, 21]]),
        cbor2.dumps([[1, 1, 99]]),
        cbor2.dumps([[i, 0, 21] for i in range(codec.MAX_ENVELOPES + 1)]),
        cbor2.dumps([[1, 0, 14, "d", 1, 1, [0] * 70_000]]),
    ],
    ids=lambda frame: frame[:12].hex(),
)
def test_malformed_frame_is_refused(frame):
    with pytest.raises(FrameError):
        codec.decode_frame(frame)


def test_frame_over_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(codec, "MAX_FRAME_BYTES", 3)
    with pytest.raises(FrameError, match="found 4 bytes"):
        codec.decode_frame(b"\x81\x82\x01\x03")


def test_message_over_the_limit_is_not_encoded(monkeypatch):
    monkeypatch.setattr(codec, "MAX_ENVELOPE_BYTES", 100)
    push = messages.TablePush("d", 1, bytes(200))
    with pytest.raises(FrameError, match="TablePush"):
        codec.encode_envelope(Envelope(1, Role.CALL, push))


def test_message_with_a_wrong_field_is_not_encoded():
    with pytest.raises(FrameError):
        codec.encode_envelope(Envelope(1, Role.CALL, messages.Cancel(object())))


def test_verdict_keeps_its_reason():
    answer = messages_data.make_answer(
        verdict=verdicts.NotRun(verdicts.Reason.SHED, "full")
    )
    sent = Envelope(1, Role.ANSWER, messages.Answered(answer, "", 0))
    [received] = codec.decode_frame(codec.join_frame([codec.encode_envelope(sent)]))
    assert received.message.answer.verdict.reason is verdicts.Reason.SHED
    assert type(received.message.answer.verdict) is verdicts.NotRun


@given(messages_data.member_strategy())
def test_member_round_trip(member):
    assert codec.decode_member(codec.encode_member(member)) == member


def test_table_round_trip():
    table = tables.make_empty_table("stock@a", 8)._replace(
        pending={2: tables.PendingShard("m#1", 4)}, voters=(tables.Voter("m#1", 2),)
    )
    encoded = codec.encode_record(table)
    assert codec.decode_record(tables.ShardTable, encoded) == table


@given(st.binary(max_size=200))
def test_garbage_member_raises_only_frame_error(garbage):
    try:
        codec.decode_member(garbage)
    except FrameError:
        pass


def test_a_field_that_the_version_before_lacks_is_sent_only_if_it_is_set():
    plain = traffic_data.make_carried_request()
    named = plain._replace(organisation="lab")
    envelope = Envelope(1, Role.CALL, messages.AskTransfer(plain, 5))
    sent = cbor2.loads(codec.encode_envelope(envelope))
    assert len(sent[3]) == len(plain) - plain.ADDED_FIELDS
    for request in (plain, named, plain._replace(is_copy=True)):
        for message in (request, messages.AskTransfer(request, 5)):
            frame = [codec.encode_envelope(Envelope(1, Role.CALL, message))]
            (received,) = codec.decode_frame(codec.join_frame(frame))
            assert received.message == message
