from jackdawcrank_policy.waiting import WaitingLine


def test_more_urgent_goes_first_then_the_earlier() -> None:
    line: WaitingLine[str] = WaitingLine()
    line.join(2, 10.0, "late review")
    line.join(1, 10.0, "upload")
    line.join(2, 10.0, "review")
    order = [line.pop(0.0), line.pop(0.0), line.pop(0.0)]
    assert [one.item for one in order if one] == [
        "upload",
        "late review",
        "review",
    ]


def test_whoever_cannot_be_served_in_time_is_passed_over() -> None:
    line: WaitingLine[str] = WaitingLine()
    line.join(1, 1.0, "too late")
    line.join(1, 5.0, "in time")
    place = line.pop(2.0)
    assert place is not None and place.item == "in time"


def test_place_given_up_is_not_served() -> None:
    line: WaitingLine[str] = WaitingLine()
    place = line.join(1, 5.0, "gone")
    line.leave(place)
    line.leave(place)
    assert line.length == 0
    assert line.pop(0.0) is None


def test_clear_returns_everybody_who_still_waits() -> None:
    line: WaitingLine[str] = WaitingLine()
    line.leave(line.join(1, 5.0, "gone"))
    line.join(1, 5.0, "here")
    assert line.clear() == ["here"]
    assert line.length == 0
