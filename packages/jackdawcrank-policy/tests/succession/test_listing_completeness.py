from jackdawcrank_policy.succession import (
    ENTRY_RETURN_SECONDS,
    ListingCompleteness,
)


def test_listing_is_incomplete_before_the_first_answer() -> None:
    assert not ListingCompleteness().complete(100.0)


def test_listing_is_complete_when_expired_entries_are_back() -> None:
    listing = ListingCompleteness()
    listing.store_answered(10.0)
    listing.store_answered(11.0)
    assert not listing.complete(10.0 + ENTRY_RETURN_SECONDS - 0.1)
    assert listing.complete(10.0 + ENTRY_RETURN_SECONDS)


def test_an_outage_makes_the_listing_incomplete_again() -> None:
    listing = ListingCompleteness()
    listing.store_answered(10.0)
    listing.store_lost()
    assert not listing.complete(20.0)
    listing.store_answered(21.0)
    assert not listing.complete(22.0)
    assert listing.complete(21.0 + ENTRY_RETURN_SECONDS)
