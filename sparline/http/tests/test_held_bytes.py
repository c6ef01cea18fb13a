"""The account gives up unfinished messages by their progress and age, and always lets one go on."""

import pytest

from sparline.http._held_bytes import (
    LARGE_FRACTION,
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALL_MS,
    HeldBytes,
    HoldingState,
)

LIMIT_BYTES = 16 * SMALL_BYTES
LARGE_BYTES = 4 * SMALL_BYTES


class Account:
    """Hold messages by a letter, and the letters of those that were woken."""

    def __init__(self):
        self.held = HeldBytes(LIMIT_BYTES)
        self.now_ms = 0.0
        self.messages = {}
        self.woken = []

    def open(self, name, held_bytes=0):
        self.messages[name] = self.held.open(self.now_ms, lambda: self.woken.append(name))
        self.grow(name, held_bytes)

    def grow(self, name, more_bytes):
        self.held.grow(self.messages[name], more_bytes, self.now_ms)

    def ask(self, name, more_bytes=SMALL_BYTES):
        return self.held.ask(self.messages[name], more_bytes, self.now_ms)

    def press(self, name, more_bytes=SMALL_BYTES):
        self.held.press(self.messages[name], more_bytes)

    def keep(self, name):
        self.held.keep(self.messages[name])

    def release(self, name):
        self.held.release(self.messages[name])

    def given_up(self):
        return "".join(name for name, one in self.messages.items() if one.is_given_up)


def full_of(names, held_bytes=LARGE_BYTES):
    account = Account()
    for name in names:
        account.open(name, held_bytes)
    return account


def test_only_large_message_may_exceed_the_account():
    account = full_of("a", 10 * LIMIT_BYTES)
    assert account.ask("a")


def test_room_of_small_messages_is_never_taken_by_large_ones():
    account = full_of("abc")
    account.open("d")
    assert not account.ask("d", SMALL_BYTES + 1)
    for name in "efgh":
        account.open(name)
        assert account.ask(name)
        account.grow(name, SMALL_BYTES)
    account.open("i")
    assert not account.ask("i", 1)


@pytest.mark.parametrize(
    ("idle_ms", "given_up"), ((0.0, ""), (STALL_MS - 1, ""), (STALL_MS, "a"), (10 * STALL_MS, "a"))
)
def test_message_without_progress_is_given_up_as_another_needs_room(idle_ms, given_up):
    account = full_of("abc")
    account.now_ms = idle_ms
    account.grow("b", PROGRESS_BYTES)
    account.grow("c", PROGRESS_BYTES)
    account.open("d", SMALL_BYTES)
    assert not account.ask("d")
    assert account.given_up() == given_up
    assert account.woken == list(given_up)


@pytest.mark.parametrize("grown_bytes", (1, PROGRESS_BYTES - 1))
def test_byte_now_and_then_is_no_progress(grown_bytes):
    account = full_of("abc")
    account.now_ms = STALL_MS
    account.grow("b", PROGRESS_BYTES)
    account.grow("c", PROGRESS_BYTES)
    account.grow("a", grown_bytes)
    account.open("d", SMALL_BYTES)
    account.ask("d")
    assert account.given_up() == "a"


def test_no_more_are_given_up_than_it_takes():
    account = full_of("abc")
    account.now_ms = STALL_MS
    account.open("d", SMALL_BYTES)
    for _ in range(3):
        assert not account.ask("d")
    assert account.given_up() == "a"
    account.release("a")
    assert account.ask("d")


def test_message_that_waits_for_room_does_not_stall():
    account = full_of("abc")
    assert not account.ask("c")
    account.now_ms = 2 * STALL_MS
    account.grow("a", PROGRESS_BYTES)
    account.grow("b", PROGRESS_BYTES)
    account.open("d", SMALL_BYTES)
    assert not account.ask("d")
    assert account.given_up() == ""
    account.release("b")
    assert account.ask("c")
    account.now_ms += STALL_MS - 1
    account.grow("a", PROGRESS_BYTES)
    account.grow("c", SMALL_BYTES)
    account.grow("d", LARGE_BYTES)
    account.ask("d")
    assert account.given_up() == ""


@pytest.mark.parametrize("pressed", "abc")
def test_newest_is_given_up_where_all_wait(pressed):
    account = full_of("abc")
    assert not any(account.ask(name) for name in "abc")
    account.press(pressed)
    account.press(pressed)
    assert account.given_up() == "c"
    account.release("c")
    assert account.woken == ["c", "a", "b"]


def test_whole_messages_are_never_given_up():
    account = full_of("abc")
    account.now_ms = 10 * STALL_MS
    for name in "abc":
        account.keep(name)
    account.open("d", SMALL_BYTES)
    assert not account.ask("d")
    account.press("d")
    assert account.given_up() == "d"


def test_small_messages_inside_their_share_are_spared():
    account = full_of("abc")
    for name in "efg":
        account.open(name, SMALL_BYTES - 1)
    account.now_ms = STALL_MS
    for name in "abc":
        account.grow(name, PROGRESS_BYTES)
    assert not account.ask("a")
    assert account.given_up() == ""
    account.press("a")
    assert account.given_up() == "c"


def test_large_messages_that_wait_for_each_other_all_end():
    account = full_of("abcdefghij", LIMIT_BYTES // 10)
    served = []
    waiting = list("abcdefghij")
    while waiting:
        for name in list(waiting):
            one = account.messages[name]
            if one.is_given_up:
                account.release(name)
                waiting.remove(name)
            elif one.held_bytes >= LIMIT_BYTES // 2:
                account.release(name)
                served.append(name)
                waiting.remove(name)
            elif account.ask(name):
                account.grow(name, SMALL_BYTES)
            else:
                account.press(name)
        assert account.held.total_bytes <= LIMIT_BYTES * LARGE_FRACTION + 10 * SMALL_BYTES
    assert served[0] == "a"
    assert account.held.total_bytes == account.held.unfinished_count == 0


def test_parts_are_released_as_they_leave():
    account = HeldBytes(LIMIT_BYTES)
    answer = account.open_kept()
    account.grow(answer, LARGE_BYTES, 0.0)
    for _ in range(LARGE_BYTES // SMALL_BYTES):
        account.release_part(answer, SMALL_BYTES)
    assert account.total_bytes == 0
    account.release(answer)
    account.release(answer)
    assert account.total_bytes == 0
    assert answer.state is HoldingState.RELEASED


@pytest.mark.parametrize(("idle_ms", "given_up"), ((0.0, "d"), (STALL_MS, "e")))
def test_what_comes_to_a_full_account_is_given_up_at_once(idle_ms, given_up):
    account = full_of("abc")
    for name in "efgh":
        account.open(name, SMALL_BYTES)
    account.now_ms = idle_ms
    for name in "abcfgh":
        account.grow(name, 0 if name in "fgh" else PROGRESS_BYTES)
        account.messages[name].marked_at_ms = idle_ms
    account.open("d", SMALL_BYTES)
    account.held.settle(account.messages["d"], account.now_ms)
    assert account.given_up() == given_up
