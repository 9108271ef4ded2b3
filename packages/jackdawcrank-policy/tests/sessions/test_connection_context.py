from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_policy.sessions import (
    ConnectionContext,
    PreparedStatement,
    PrepareStatement,
    ResetSession,
    SessionContext,
    SetupStep,
    SetValue,
)
from jackdawcrank_policy.sessions.connection_context import (
    MAX_PREPARED_PER_CONNECTION,
)


def set_up(
    context: ConnectionContext,
    session: SessionContext,
    statement: PreparedStatement | None,
) -> list[SetupStep]:
    """Plan the setup and record that the server has carried it out."""
    steps = context.plan_setup(session, statement).steps
    for step in steps:
        context.record(step)
    return list(steps)


READ = PreparedStatement(False, "q1")
WRITE = PreparedStatement(True, "q1")


def test_matching_connection_needs_no_setup() -> None:
    assert set_up(ConnectionContext(), SessionContext(), None) == []


def test_values_are_set_once() -> None:
    context = ConnectionContext()
    session = SessionContext({"zone": "north"})
    assert set_up(context, session, None) == [SetValue("zone", "north")]
    assert set_up(context, session, None) == []


def test_values_of_another_session_are_reset_first() -> None:
    context = ConnectionContext()
    set_up(context, SessionContext({"zone": "north", "unit": "t"}), None)
    steps = set_up(context, SessionContext({"unit": "kg"}), None)
    assert steps == [ResetSession(), SetValue("unit", "kg")]


def test_reset_drops_prepared_names() -> None:
    context = ConnectionContext()
    set_up(context, SessionContext({"zone": "north"}), READ)
    steps = set_up(context, SessionContext(), READ)
    assert steps == [ResetSession(), PrepareStatement("j0", READ)]


def test_equal_statements_of_two_sessions_share_a_name() -> None:
    context = ConnectionContext()
    set_up(context, SessionContext(), READ)
    assert set_up(context, SessionContext(), READ) == []


def test_read_and_write_of_one_shape_have_two_names() -> None:
    context = ConnectionContext()
    set_up(context, SessionContext(), READ)
    set_up(context, SessionContext(), WRITE)
    assert context.names[READ] != context.names[WRITE]


def test_names_are_bounded() -> None:
    context = ConnectionContext()
    for number in range(3 * MAX_PREPARED_PER_CONNECTION):
        set_up(
            context, SessionContext(), PreparedStatement(False, f"q{number}")
        )
        assert len(context.names) <= MAX_PREPARED_PER_CONNECTION


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.sampled_from("abc"), st.sampled_from("xy")),
            st.sampled_from([None, READ, WRITE]),
        ),
        max_size=12,
    )
)
def test_setup_steps_reproduce_the_session(
    uses: list[tuple[dict[str, str], PreparedStatement | None]],
) -> None:
    context = ConnectionContext()
    values: dict[str, str] = {}
    names: dict[str, PreparedStatement] = {}
    for wanted, statement in uses:
        for step in set_up(context, SessionContext(wanted), statement):
            if isinstance(step, ResetSession):
                values.clear()
                names.clear()
            elif isinstance(step, SetValue):
                values[step.name] = step.value
            else:
                names[step.name] = step.statement
        assert values == wanted
        if statement:
            assert names[context.names[statement]] == statement


def test_steps_that_were_not_carried_out_are_planned_again() -> None:
    # A later session would execute a name that the server does not know.
    context = ConnectionContext()
    session = SessionContext({"zone": "north"})
    plan = context.plan_setup(session, READ)
    assert context.plan_setup(session, READ) == plan
    assert context == ConnectionContext()
