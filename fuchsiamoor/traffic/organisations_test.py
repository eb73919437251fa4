import pytest

from fuchsiamoor.testing import organisations_data
from fuchsiamoor.traffic import organisations


def test_each_key_names_its_organisation():
    known = organisations.make_organisations(
        organisations_data.make_organisation(name, name.encode(), name.encode() * 2)
        for name in ("lab", "clinic")
    )
    for key, name in ((b"lab", "lab"), (b"lablab", "lab"), (b"clinic", "clinic")):
        digest = organisations.digest_key(key)
        assert organisations.find_organisation(known, digest).name == name


@pytest.mark.parametrize("digest", [b"", b"x", organisations.digest_key(b"other")])
def test_another_digest_names_none(digest):
    known = organisations.make_organisations([organisations_data.make_organisation()])
    assert organisations.find_organisation(known, digest) is None


def test_a_digest_that_only_begins_alike_names_none():
    known = organisations.make_organisations([organisations_data.make_organisation()])
    digest = organisations.digest_key(organisations_data.KEY)
    assert organisations.find_organisation(known, digest[:-1] + b"x") is None
    assert organisations.find_organisation(known, digest[:8]) is None


@pytest.mark.parametrize("name", ["lab", "clinic"])
def test_a_name_or_key_of_another_organisation_is_refused(name):
    given = [
        organisations_data.make_organisation(),
        organisations_data.make_organisation(name),
    ]
    with pytest.raises(ValueError, match=r"twice|another") as refused:
        organisations.make_organisations(given)
    assert organisations_data.KEY.decode() not in str(refused.value)
