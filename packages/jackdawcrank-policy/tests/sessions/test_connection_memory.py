from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_policy.sessions import (
    ClearSession,
    ConnectionMemory,
    DefineStatement,
    PreparedStatement,
    SessionMemory,
    SetValue,
)
from jackdawcrank_policy.sessions.connection_memory import (
    MAX_DEFINED_STATEMENTS,
)

READ = PreparedStatement(False, "q1")
WRITE = PreparedStatement(True, "q1")


def test_fitting_connection_needs_nothing() -> None:
    assert ConnectionMemory().plan(SessionMemory(), None) == []


def test_values_are_set_once() -> None:
    memory = ConnectionMemory()
    session = SessionMemory({"zone": "north"})
    assert memory.plan(session, None) == [SetValue("zone", "north")]
    assert memory.plan(session, None) == []


def test_values_of_another_session_are_cleared_first() -> None:
    memory = ConnectionMemory()
    memory.plan(SessionMemory({"zone": "north", "unit": "t"}), None)
    steps = memory.plan(SessionMemory({"unit": "kg"}), None)
    assert steps == [ClearSession(), SetValue("unit", "kg")]


def test_clearing_makes_names_unknown_too() -> None:
    memory = ConnectionMemory()
    memory.plan(SessionMemory({"zone": "north"}), READ)
    steps = memory.plan(SessionMemory(), READ)
    assert steps == [ClearSession(), DefineStatement("j0", READ)]


def test_equal_statements_of_two_sessions_share_a_name() -> None:
    memory = ConnectionMemory()
    memory.plan(SessionMemory(), READ)
    assert memory.plan(SessionMemory(), READ) == []


def test_read_and_write_of_one_shape_have_two_names() -> None:
    memory = ConnectionMemory()
    memory.plan(SessionMemory(), READ)
    memory.plan(SessionMemory(), WRITE)
    assert memory.names[READ] != memory.names[WRITE]


def test_names_are_bounded() -> None:
    memory = ConnectionMemory()
    for number in range(3 * MAX_DEFINED_STATEMENTS):
        memory.plan(SessionMemory(), PreparedStatement(False, f"q{number}"))
        assert len(memory.names) <= MAX_DEFINED_STATEMENTS


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.sampled_from("abc"), st.sampled_from("xy")),
            st.sampled_from([None, READ, WRITE]),
        ),
        max_size=12,
    )
)
def test_replaying_the_steps_always_gives_the_session(
    uses: list[tuple[dict[str, str], PreparedStatement | None]],
) -> None:
    memory = ConnectionMemory()
    values: dict[str, str] = {}
    names: dict[str, PreparedStatement] = {}
    for wanted, statement in uses:
        for step in memory.plan(SessionMemory(wanted), statement):
            if isinstance(step, ClearSession):
                values.clear()
                names.clear()
            elif isinstance(step, SetValue):
                values[step.name] = step.value
            else:
                names[step.name] = step.statement
        assert values == wanted
        if statement:
            assert names[memory.names[statement]] == statement
