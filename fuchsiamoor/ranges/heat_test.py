from fuchsiamoor.ranges import heat as heats
from fuchsiamoor.ranges import table as tables

OWN, OTHER = "10.0.0.1/i@1", "10.0.0.2/i@2"


def make_table(*owners):
    size = 65_536 // len(owners)
    rows = tuple(
        tables.Row(n * size, (n + 1) * size - 1, owner, 1, f"t{n}")
        for n, owner in enumerate(owners)
    )
    return tables.RangeTable("s", 4, rows)


def test_half_of_a_hot_stretch_goes_to_another():
    heat = heats.Heat()
    for number in range(300):
        key = 5_000 + number % 60 if number % 3 == 0 else number * 100
        heats.note_request(heat, key, number)
    stretch = heats.find_hot_stretch(heats.read_counts(heat))
    assert 4_990 <= stretch.first < stretch.last < 5_060
    assert 0.1 <= stretch.share <= 0.25
    planned = heats.plan_split(make_table(OWN, OTHER), OWN, stretch, OTHER)
    moving = [row for row in planned.rows if row.moving_to]
    assert [(row.first, row.last) for row in moving] == [stretch[:2]]
    assert all(row.owner == OWN for row in planned.rows[:-1])
    assert tables.decode_table(tables.encode_table(planned)) == planned


def test_even_load_has_no_hot_stretch():
    counts = dict.fromkeys(range(0, 4096, 16), 5)
    assert heats.find_hot_stretch(counts) is None


def test_one_busy_key_cannot_be_halved():
    assert heats.find_hot_stretch({7: 100, 2_000: 1, 3_000: 1}) is None


def test_a_few_requests_say_nothing():
    assert heats.find_hot_stretch({7: 3, 8: 3}) is None


def test_what_was_asked_for_a_while_ago_is_forgotten():
    heat = heats.Heat()
    heats.note_request(heat, 0, 0)
    heats.note_request(heat, 160, 5_000)
    assert heats.read_counts(heat) == {10: 1}


def test_keys_of_others_and_keys_on_the_move_are_left_alone():
    stretch = heats.Stretch(40_000, 40_015, 0.3)
    table = make_table(OWN, OTHER)
    assert heats.plan_split(table, OWN, stretch, OTHER) is None
    moving = heats.plan_split(table, OTHER, stretch, OWN)
    assert heats.plan_split(moving, OTHER, stretch, OWN) is None
