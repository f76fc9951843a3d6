from random import Random

import pytest

from banyanwheel_core.effects import Peer
from banyanwheel_core.id_stock import COORDINATORS, IdStock, NoIdsError
from banyanwheel_core.membership import Membership
from banyanwheel_core.messages import IdBlock, Load, MemberRecord

NOW = 100.0


def member(number, incarnation="1" * 16):
    data_centre = ("gulf-a", "gulf-b")[number % 2]
    return MemberRecord(
        f"a{number}", incarnation, "127.0.0.1:1", data_centre, "r", ("counter",), 8
    )


def make_stock(name="entry-1", members=200):
    membership = Membership(name, "gulf-a", "", random=Random(1))
    for number in range(members):
        membership.apply(member(number), number, 0, NOW)
    return IdStock(name, "gulf-a", membership, Random(1)), membership


def asked(stock):
    return {effect.peer.name for effect in stock.fetch(NOW)}


def test_entries_spread_their_jobs_over_different_coordinators():
    first, second = asked(make_stock("entry-1")[0]), asked(make_stock("entry-2")[0])
    assert len(first) == len(second) == COORDINATORS
    assert len(first | second) > COORDINATORS


def test_most_coordinators_stand_in_the_own_data_centre():
    names = asked(make_stock()[0])
    near = [name for name in names if int(name[1:]) % 2 == 0]
    assert COORDINATORS / 2 < len(near) < COORDINATORS


def test_ids_of_a_replaced_coordinator_are_not_used_nor_asked_for_again():
    stock, _ = make_stock(members=1)
    stock.stock(Peer("a0", "1" * 16), IdBlock(0, 5, 60_000), NOW)
    stock.replaced("a0", "2" * 16)
    with pytest.raises(NoIdsError):
        stock.take(NOW)
    assert asked(stock) == set()


def test_ids_older_than_half_their_lifetime_are_dropped():
    stock, _ = make_stock(members=1)
    stock.stock(Peer("a0", "1" * 16), IdBlock(0, 5, 60_000), NOW)
    assert stock.take(NOW + 29).startswith("a0.")
    with pytest.raises(NoIdsError):
        stock.take(NOW + 31)


def test_the_coordinator_with_free_slots_comes_first():
    stock, _ = make_stock(members=2)
    for number in range(2):
        stock.stock(Peer(f"a{number}", "1" * 16), IdBlock(0, 5, 60_000), NOW)
    stock.loaded("a0", Load(0, 500), NOW)
    stock.loaded("a1", Load(3, 0), NOW)
    assert [stock.take(NOW)[:2] for _ in range(3)] == ["a1"] * 3
