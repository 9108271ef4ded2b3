"""Test of what a result says of its command."""

from report import command_line


def test_no_path_of_the_machine_is_written() -> None:
    arguments = ["/some/where/bench/drain.py", "--seed", "1"]
    assert command_line(arguments) == "python bench/drain.py --seed 1"
