"""Specification of all events in the decision log."""

import attrs


@attrs.frozen
class EventSpec:
    """One type of event.

    Attributes:
      name: The name of the event.
      when: The condition under which the event is written.
      fields: Descriptions of the fields by name, with units.
    """

    name: str
    when: str
    fields: dict[str, str]


REQUEST = {"request": "the caller's id of the statement"}
CALLER = {
    "database": "the database",
    "account": "the client account; empty for none",
}
GROUP = {"group": "the database group"}
SERVER = {"server": "the backend server"}
ATTEMPTS = {
    "attempts": "attempts that were made",
    "reason": "what went wrong last",
}
REPORT = {
    **GROUP,
    **SERVER,
    "leads": "whether it takes itself for the primary",
    "leaving": "whether it is shutting down",
    "revision": "the store's version of the report",
}
KEY_AGE = {
    "age": "seconds since the configuration was proven to be the newest one; "
    "null if it was not",
    "bound": "seconds within which a withdrawn key must be refused; null if "
    "none is set",
}
LOST = {
    **REQUEST,
    **CALLER,
    **GROUP,
    **SERVER,
    "silent": "whether the connection stood all the while",
    "waited": "seconds until it was given up",
}

ACCOUNT = {"account": "the client account"}
HOLDER = {"holder": "the VM that counts the account; empty if none answered"}

EVENTS = (
    EventSpec(
        "account_limited",
        "an operation of an account is refused beyond its limit, or because no "
        "VM that counts it answers",
        {
            **REQUEST,
            **ACCOUNT,
            "rate": "operations per second that it may run",
            "burst": "operations beyond the rate",
            **HOLDER,
            "retry_after_ms": "when the caller is told to return",
        },
    ),
    EventSpec(
        "account_counting",
        "this VM begins to count an account",
        {
            **ACCOUNT,
            "operations": "operations in the window, as first reported",
            "tokens": "the operations that it may grant at once",
        },
    ),
    EventSpec(
        "account_usage",
        "every 5 s, for the 20 busiest accounts of this VM",
        {
            **ACCOUNT,
            "admitted": "operations admitted since the last line",
            "limited": "operations refused since the last line",
            **HOLDER,
        },
    ),
    EventSpec(
        "started",
        "the process begins",
        {"data_center": "where it runs"},
    ),
    EventSpec("stopped", "the process has closed everything", {}),
    EventSpec(
        "leaving",
        "the process was told to stop",
        {"sessions": "sessions that are open"},
    ),
    EventSpec(
        "left",
        "the last session ended or the grace is used up",
        {
            "cut_transactions": "transactions that had to be rolled back",
            "seconds": "seconds since the signal",
        },
    ),
    EventSpec(
        "settings_reloaded",
        "the settings file was read again",
        {
            "why": "`signal` after SIGHUP, or `changed` if the file differs",
            "changes": "old and new value of each changed setting by name",
            "restart_needed": "changed settings that need a restart",
        },
    ),
    EventSpec(
        "settings_rejected",
        "the changed settings file is invalid; the old settings stay",
        {"why": "as in `settings_reloaded`", "detail": "what is wrong"},
    ),
    EventSpec(
        "store_lost",
        "the first call to the store without a usable answer",
        {"detail": "which call and why"},
    ),
    EventSpec(
        "store_regained",
        "the store answers again",
        {"failures": "calls that failed in between"},
    ),
    EventSpec(
        "store_restored",
        "the store came back from an older copy and lost recent writes",
        {"old_epoch": "its epoch before", "epoch": "its epoch now"},
    ),
    EventSpec(
        "store_calls",
        "the process has called the store since the last such line",
        {"calls": "number of calls by operation, table and failure"},
    ),
    EventSpec(
        "history_gone",
        "the store no longer keeps the changes asked for",
        {"table": "the table", "after": "the version asked for"},
    ),
    EventSpec(
        "follower_failed",
        "an unexpected error ended a call or the use of its answer; the table "
        "is read again",
        {"table": "the table", "detail": "the error"},
    ),
    EventSpec(
        "configuration_in_force",
        "a newer configuration was taken in",
        {
            "version": "its version",
            "databases": "databases in it",
            "groups": "groups in it",
        },
    ),
    EventSpec(
        "configuration_unreadable",
        "a stored configuration cannot be used; the last one stays",
        {"revision": "the store's version of it", "detail": "why"},
    ),
    EventSpec(
        "account_unreadable",
        "a declaration of a client account, or a key of it, cannot be used; the "
        "rest of the configuration is in force; at most 20 lines for each",
        {
            "account": "the account; empty if the entry has no usable name",
            "detail": "why, without any key",
        },
    ),
    EventSpec(
        "keys_unproven",
        "keys of client accounts can no longer be accepted, since the "
        "configuration may be older than the bound on withdrawals allows",
        KEY_AGE,
    ),
    EventSpec(
        "keys_proven",
        "the age of the configuration is proven again",
        KEY_AGE,
    ),
    EventSpec(
        "key_refused",
        "a caller's key was refused on connecting or for a statement",
        {
            "request": "the caller's id of the statement; empty on connecting",
            "database": "the database",
            "account": "the client account if it was identified before",
            "key": "the first 8 hexadecimal digits of the key's digest",
            "reason": "`unknown`, `withdrawn` or `unproven`",
            "age": KEY_AGE["age"],
        },
    ),
    EventSpec(
        "report_unreadable",
        "a server's report cannot be used; it names no server",
        {"key": "the report's key"},
    ),
    EventSpec("server_listed", "a server was reported first", REPORT),
    EventSpec("server_reported", "a server's report changed", REPORT),
    EventSpec("server_gone", "a server is taken for gone", GROUP | SERVER),
    EventSpec(
        "primary_changed",
        "the proxy believes in another primary",
        {
            **GROUP,
            "old": "the primary before, or null",
            "new": "the primary now, or null",
        },
    ),
    EventSpec(
        "not_primary",
        "a server answered that it does not lead",
        {**GROUP, **SERVER, "revision": "the report that said it did"},
    ),
    EventSpec(
        "connection_failed",
        "no connection to a server was made",
        {
            **GROUP,
            **SERVER,
            "reason": "refused, silent, wrong_server or full",
            "detail": "a sentence about it",
            "held": "connections that this proxy holds there",
        },
    ),
    EventSpec(
        "connection_not_idle",
        "a connection came back inside a transaction and was closed",
        {**SERVER, "state": "where it stood"},
    ),
    EventSpec(
        "server_queue",
        "statements waited for a server or were refused there; at most every 5 s "
        "for each server, priority and account",
        {
            **GROUP,
            **SERVER,
            "priority": "the priority; -1 for statements of open transactions",
            "account": "the client account: one of the 10 busiest at the "
            "server, `*` for all others, empty for callers without one",
            "waited": "statements that waited for a connection or for the "
            "window, or for both",
            "longest_ms": "the longest wait in milliseconds",
            "mean_ms": "the mean wait of these statements in milliseconds",
            "refused": "statements refused because the wait limit passed, or "
            "would pass",
            "full": "statements, or connections for them, that the server "
            "refused as full",
            "places": "the window: how many statements this VM may have in "
            "flight at the server",
        },
    ),
    EventSpec(
        "statement",
        "a statement outside a transaction was answered",
        {
            **REQUEST,
            **CALLER,
            "writes": "whether it changes data",
            **SERVER,
            "needed": "the log position that a replica had to have",
            **ATTEMPTS,
            "ms": "milliseconds until the answer",
            "outcome": "done, or the problem that the caller was told",
            "version": "the configuration's version",
        },
    ),
    EventSpec(
        "statement_error",
        "an unexpected error of the program ended a statement; its caller was "
        "told that it is in doubt",
        {
            **REQUEST,
            "database": "the database; empty at a home",
            "detail": "the error",
        },
    ),
    EventSpec(
        "transaction_statement",
        "a statement failed inside a transaction",
        {
            **REQUEST,
            **CALLER,
            **GROUP,
            **SERVER,
            "outcome": "the problem that the caller was told",
            "ms": "milliseconds until the answer",
        },
    ),
    EventSpec(
        "transaction_ended",
        "a commit was answered",
        {
            **REQUEST,
            **CALLER,
            **GROUP,
            **SERVER,
            "outcome": "done, or the problem that the caller was told",
            "position": "the log position of the commit",
            "ms": "milliseconds until the answer",
        },
    ),
    EventSpec(
        "transaction_refused",
        "no server could open a transaction in time",
        {**REQUEST, **CALLER, **ATTEMPTS},
    ),
    EventSpec(
        "transaction_lost",
        "a statement in a transaction got no answer; it was rolled back",
        LOST,
    ),
    EventSpec(
        "commit_in_doubt",
        "a commit got no answer; it may stand or not",
        LOST,
    ),
    EventSpec(
        "idle_transaction_ended",
        "a caller rested in a transaction for too long",
        {**CALLER, "idle": "seconds without a statement"},
    ),
    EventSpec(
        "replacing_primary",
        "this proxy has claimed the replacement of a primary",
        {
            **GROUP,
            "old": "the primary to replace",
            "reason": "leaving, missing, refusing, silent or unconfirmed",
            "token": "the claim's number",
        },
    ),
    EventSpec(
        "claim_failed",
        "the store gave no answer to a claim",
        {**GROUP, "detail": "why"},
    ),
    EventSpec(
        "claim_unreadable",
        "a claim in the store cannot be read; nobody can act on the group",
        {"key": "the row", "detail": "why"},
    ),
    EventSpec(
        "successor_chosen",
        "a replica that holds every acknowledged commit was found",
        {
            **GROUP,
            **SERVER,
            "position": "the last entry that it holds",
            "token": "the claim's number",
            "term": "the term under which replicas were frozen",
        },
    ),
    EventSpec(
        "no_successor",
        "no replica may be promoted without risk",
        {
            **GROUP,
            "missing": "replicas that may hold a commit alone",
            "token": "the claim's number",
        },
    ),
    EventSpec(
        "primary_reached_by_peers",
        "other proxies reach a primary that this one is about to replace",
        {
            **GROUP,
            **SERVER,
            "peers": "the number of proxies that it answered, two at most",
        },
    ),
    EventSpec(
        "servers_unknown",
        "a replacement ends since running servers may be missing from the list",
        GROUP,
    ),
    EventSpec(
        "promotion_ordered",
        "the platform answered an order, or did not",
        {
            **GROUP,
            **SERVER,
            "token": "the claim's number",
            "answer": "done, refused, unavailable or unanswered",
        },
    ),
    EventSpec(
        "promotion_without_effect",
        "a promoted server does not lead after a while",
        GROUP | SERVER,
    ),
    EventSpec(
        "resume_left_out",
        "this process was silent for so long that another one may replace the "
        "primary; replicas that it suspended stay so",
        {**GROUP, "servers": "the replicas", "term": "the own term"},
    ),
    EventSpec(
        "hand_over_undone",
        "no replica caught up with a leaving primary, which leads again",
        {**GROUP, "position": "where the old primary stopped"},
    ),
    EventSpec(
        "status_refused",
        "a server did not say how it stands",
        {**GROUP, "problem": "the problem", "detail": "what it said"},
    ),
    EventSpec(
        "members_read",
        "the VMs that may be homes have changed",
        {"count": "how many there are"},
    ),
    EventSpec(
        "member_unwritten",
        "this VM's own row could not be written; it is tried again",
        {"detail": "why"},
    ),
    EventSpec(
        "relies_on_others",
        "others began or ceased to tell this VM what the store holds",
        {"tables": "the tables that they vouch for now"},
    ),
    EventSpec(
        "subscriber_closed",
        "another proxy did not read what it was told of the store",
        {"unsent": "bytes that waited to be sent"},
    ),
    EventSpec(
        "member_unreadable",
        "a VM's row cannot be read; the VM is left out",
        {"key": "the row", "detail": "why"},
    ),
    EventSpec(
        "server_ejected",
        "a server failed reads that others answered; it gets none for a pause",
        {
            **GROUP,
            **SERVER,
            "failures": "failed reads among the counted ones",
            "answers": "reads counted, at most the last 20",
            "pause": "length of the pause in seconds",
        },
    ),
    EventSpec(
        "server_readmitted",
        "two reads in a row were answered by an ejected server",
        GROUP | SERVER,
    ),
    EventSpec(
        "home_unreachable",
        "no stream to a home could be opened",
        {"home": "the home's VM"},
    ),
    EventSpec(
        "home_lost",
        "a home did not answer a forwarded statement",
        {
            **REQUEST,
            **CALLER,
            "outcome": "the problem that the caller was told",
        },
    ),
    EventSpec(
        "peer_message_unreadable",
        "another proxy sent what is no message; its stream was ended",
        {"detail": "why"},
    ),
    EventSpec(
        "lines_dropped",
        "lines were left out since the last such line",
        {"count": "how many"},
    ),
)
