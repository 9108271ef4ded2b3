from jackdawcrank.decisions.measurements import MAX_DATABASES, Measurements


def test_page_has_counters_and_cumulative_buckets() -> None:
    measurements = Measurements()
    measurements.event("store_lost")
    for seconds in (0.005, 0.05, 0.3, 7.0, 100.0):
        measurements.answered("plots", "done", seconds)
    page = measurements.page()
    assert 'jackdawcrank_events_total{event="store_lost"} 1' in page
    answers = 'jackdawcrank_answers_total{database="plots",outcome="done"} 5'
    assert answers in page
    name = 'jackdawcrank_answer_seconds_bucket{database="plots",le='
    assert f'{name}"0.01"}} 1' in page
    assert f'{name}"0.4"}} 3' in page
    assert f'{name}"15.0"}} 4' in page
    assert f'{name}"+Inf"}} 5' in page


def test_label_values_are_escaped() -> None:
    measurements = Measurements()
    measurements.answered('a"b\\c\nd', "done", 0.1)
    assert 'database="a\\"b\\\\c d"' in measurements.page()


def test_number_of_databases_is_bounded() -> None:
    measurements = Measurements()
    for number in range(3 * MAX_DATABASES):
        measurements.answered(f"db{number}", "done", 0.1)
    assert len(measurements.seconds) <= MAX_DATABASES + 1
