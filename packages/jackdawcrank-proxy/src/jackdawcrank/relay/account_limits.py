"""Admission of client accounts' operations within their limits."""

import asyncio
import collections
import random
import typing
from collections.abc import Callable, Iterable, Mapping

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.home_messages import Fields, Kind, pack
from jackdawcrank.relay.member_rows import MemberRows
from jackdawcrank.relay.relay_settings import AccountBounds
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.accounts.account_allowance import (
    AccountAllowance,
    Admission,
    Holder,
)
from jackdawcrank_policy.accounts.account_counter import (
    AccountCounter,
    AccountLimit,
)
from jackdawcrank_policy.accounts.account_counters import (
    AccountCounters,
    TokenGrant,
    TokenRequest,
)
from jackdawcrank_policy.accounts.counting_contacts import CountingContacts
from jackdawcrank_policy.accounts.counting_vms import (
    counting_candidates,
    ranked_candidates,
)
from jackdawcrank_policy.catalog import AccountSpec
from jackdawcrank_policy.homes import Member

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.home_router import HomeRouter

# The longest wait of an operation for a token. Exceeds the round trip between
# regions (80 ms) and stays well within the shortest latency objective (251 ms).
ADMISSION_SECONDS = 0.15
# The same in the first second of a process. After the loss of all VMs, a refused
# caller would come back before any VM counts its account.
START_ADMISSION_SECONDS = 0.4
START_SECONDS = 1.0
# A counting VM that has not answered for this time is passed over.
ANSWER_SECONDS = 0.15
PASS_OVER_SECONDS = 1.0
# A request whose answer is late is repeated while its operations still wait. The
# answer to the second one must also arrive within ADMISSION_SECONDS, so a VM
# that usually answers sooner than between regions (80 ms) is asked again sooner.
MAX_REPEAT_SECONDS = 0.09
REPEAT_ROUND_TRIPS = 1.25
# Weight of one answer in the moving average of the round-trip time.
ROUND_TRIP_WEIGHT = 0.2
# A VM that says that it does not count an account is asked again after this.
NOT_COUNTING_SECONDS = 0.1
# Requests to one VM are at least this far apart, and hold this many accounts.
BATCH_SECONDS = 0.02
MAX_ACCOUNTS = 256
# Interval at which tokens are reported and unused state is dropped.
TICK_SECONDS = 0.1
# Interval of messages between the candidates; a third of the time after which
# one that does not answer is taken for lost.
CONTACT_INTERVAL_SECONDS = 0.2
# Used and returned tokens are reported within this: until then they count
# towards the size of the bucket.
USED_INTERVAL_SECONDS = 0.1
USAGE_INTERVAL_SECONDS = 5.0
MAX_USAGE_ACCOUNTS = 20
# When a caller may return if no counting VM is known.
UNKNOWN_RETRY_SECONDS = 0.25
RETRY_SPREAD = 0.25
# After this time without a refusal, the next one is logged as an event.
REFUSAL_PAUSE_SECONDS = 5.0


@attrs.define(eq=False)
class AccountState:
    """What this VM knows of an account whose operations it runs.

    Attributes:
      allowance: The tokens and recent operations.
      waiting: The operations that wait for a token.
      terms: The terms of the counters, by VM.
      skipped: Until when the VMs that do not count the account are not asked.
      requested: The tokens for waiting operations in unanswered requests.
      holder: The VM that last granted or refused tokens.
      reported_at: When the last request about it was sent.
      limited_at: When an operation was last refused.
      admitted: The operations admitted since the last usage line.
      limited: The operations refused since the last usage line.
    """

    allowance: AccountAllowance
    waiting: collections.deque[asyncio.Future[Admission | None]] = (
        attrs.Factory(collections.deque)
    )
    terms: dict[str, float] = attrs.Factory(dict)
    skipped: dict[str, float] = attrs.Factory(dict)
    requested: int = 0
    holder: str = ""
    reported_at: float = 0.0
    limited_at: float = float("-inf")
    admitted: int = 0
    limited: int = 0


class AccountLimits:
    """Admits operations with tokens from each account's counting VM.

    Times are in seconds since boot.

    Attributes:
      bounds: The promises about client accounts.
      declared: Returns the declared accounts by name; None if there are none.
      members: Holds the known VMs.
      log: Records the decisions.
      rng: Spreads the times at which refused callers return.
      clock: Returns the current time.
      router: Holds the streams to other VMs.
      counters: The accounts that this VM counts.
      states: The accounts whose operations this VM runs.
      unsent: The accounts for which a request must be sent.
      in_flight: The tokens for waiting operations in each unanswered request,
        by account; the requests by VM and the time when they were sent.
      sent_at: When the last request to each VM was sent.
      answered_at: When the last message of each VM arrived.
      round_trips: The mean time to each VM's answers, in seconds.
      contacted_at: When the other candidates were last sent a message.
      passed_over: Until when each VM that did not answer is not asked.
      listed_candidates: The candidates by this VM's members.
      candidates: Those and the candidates that other VMs know.
    """

    def __init__(
        self,
        bounds: AccountBounds,
        declared: Callable[[], Mapping[str, AccountSpec] | None],
        members: MemberRows,
        log: DecisionLog,
        rng: random.Random,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self.bounds = bounds
        self.declared = declared
        self.members = members
        self.log = log
        self.rng = rng
        self.clock = clock
        self.started_at = clock()
        self.own = members.own.vm
        self.router: HomeRouter | None = None
        self.counters = AccountCounters(
            CountingContacts(self.own, self.started_at)
        )
        self.counters.on_counting = self.log_counting
        self.states: dict[str, AccountState] = {}
        self.unsent: dict[str, None] = {}
        self.in_flight: dict[tuple[str, float], dict[str, int]] = {}
        self.answered_at: dict[str, float] = {}
        self.round_trips: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.passed_over: dict[str, float] = {}
        self.usage_logged_at = self.started_at
        self.contacted_at = 0.0
        self.flush_handle: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.subscription: Subscription | None = None
        self.ranked_members: dict[str, Member] = {}
        self.listed_candidates: tuple[str, ...] = ()
        self.candidates: tuple[str, ...] = ()
        self.rankings: dict[str, tuple[str, ...]] = {}

    async def start(self, timer: Timer) -> None:
        """Start to keep contact and to report.

        Args:
          timer: Schedules them.
        """
        self.subscription = timer.subscribe(
            "account limits", TICK_SECONDS, self.tick
        )

    def leave(self) -> None:
        """Leave the counting of accounts to other VMs from now on."""
        self.counters.contacts.leaving = True

    async def close(self) -> None:
        """Stop, and refuse the operations that wait."""
        if self.subscription:
            self.subscription.close()
        if self.flush_handle:
            self.flush_handle.cancel()
        for state in self.states.values():
            self.end_waiting(state)
        await cancel_and_wait(self.tasks)

    def limit(self, account: str) -> AccountLimit | None:
        """Return the limit of a declared account, or None."""
        spec = (self.declared() or {}).get(account)
        if spec is None:
            return None
        return AccountLimit(
            spec.rate_per_second,
            spec.burst,
            self.bounds.window_seconds,
            self.bounds.excess_share,
            self.bounds.slack,
        )

    def ranked(self, account: str) -> tuple[str, ...]:
        """Return the VMs that may count an account, in order.

        There are none before the members are known: this VM would take itself
        for the only one, or VMs that start together would each take some of
        them for all.
        """
        if not self.members_known():
            return ()
        if self.members.members is not self.ranked_members:
            self.update_candidates(self.clock())
        found = self.rankings.get(account)
        if found is None:
            found = ranked_candidates(account, self.candidates)
            self.rankings[account] = found
        return found

    def members_known(self) -> bool:
        """Return whether the running VMs are expected to be known."""
        return self.members.image_loaded and self.members.complete

    def update_candidates(self, now: float) -> None:
        """Update the candidates from the members and the other candidates."""
        if not self.members_known():
            return
        if self.members.members is not self.ranked_members:
            self.ranked_members = self.members.members
            self.listed_candidates = counting_candidates(
                self.ranked_members.values()
            )
        candidates = self.counters.contacts.all_candidates(
            self.listed_candidates, now
        )
        if candidates != self.candidates:
            self.candidates = candidates
            self.rankings = {}

    async def admit(
        self, account: str, request_id: str, timeout_seconds: float
    ) -> Admission | Reply:
        """Admit an operation, or return the reply that refuses it.

        Args:
          account: The client account of the caller.
          request_id: The caller's id of the statement.
          timeout_seconds: The time until the statement's deadline.
        """
        limit = self.limit(account)
        if limit is None:
            return Reply(
                problem=Problem.BUSY, detail="the account is not declared"
            )
        now = self.clock()
        state = self.states.get(account)
        if state is None:
            allowance = AccountAllowance(account, self.started_at, now)
            state = self.states.setdefault(account, AccountState(allowance))
        state.allowance.arrived(now)
        admission = None
        if not state.waiting:
            admission = state.allowance.spend(now)
        if admission is None and now >= state.allowance.refused_until:
            admission = await self.wait(state, timeout_seconds)
        elif admission and state.allowance.ahead(now) * 2 > (
            state.allowance.expected(now)
        ):
            self.ask(account)
        if admission is None:
            return self.refuse(state, limit, request_id)
        state.admitted += 1
        self.log.measurements.account_operation(account, "admitted")
        return admission

    async def wait(
        self, state: AccountState, timeout_seconds: float
    ) -> Admission | None:
        """Wait for a token; return None if there is none in time."""
        future: asyncio.Future[Admission | None] = (
            asyncio.get_running_loop().create_future()
        )
        state.waiting.append(future)
        self.ask(state.allowance.account)
        starting = self.clock() - self.started_at < START_SECONDS
        longest = START_ADMISSION_SECONDS if starting else ADMISSION_SECONDS
        timeout = min(longest, timeout_seconds)
        try:
            done, _ = await asyncio.wait([future], timeout=max(0.0, timeout))
        except asyncio.CancelledError:
            granted = future.result() if future.done() else None
            if granted is not None:
                self.give_back(granted)
            future.cancel()
            raise
        if done:
            return future.result()
        future.cancel()
        self.drop_cancelled(state)
        limit = self.limit(state.allowance.account)
        if limit is None:
            return None
        vms = len(self.members.members)
        return state.allowance.spend_isolated(limit, vms, self.clock())

    def refuse(
        self, state: AccountState, limit: AccountLimit, request_id: str
    ) -> Reply:
        """Log and count a refusal; return the reply."""
        now = self.clock()
        allowance = state.allowance
        left = allowance.refused_until - now
        retry = allowance.refuse(
            left if left > 0 else UNKNOWN_RETRY_SECONDS, limit.rate, now
        )
        spread = self.rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        retry_ms = max(1, round(retry * spread * 1_000))
        paused = now - state.limited_at > REFUSAL_PAUSE_SECONDS
        state.limited_at = now
        state.limited += 1
        self.log.measurements.account_operation(allowance.account, "limited")
        write = self.log.event if paused else self.log.routine
        write(
            "account_limited",
            request=request_id,
            account=allowance.account,
            rate=limit.rate,
            burst=limit.burst,
            holder=state.holder,
            retry_after_ms=retry_ms,
        )
        return Reply(
            problem=Problem.BUSY,
            detail=f"account limit exceeded; retry_after_ms={retry_ms}",
        )

    def may_run(self, admission: Admission) -> bool:
        """Return whether an operation may still be sent to a server.

        If not, it must be admitted again.

        Args:
          admission: The operation.
        """
        state = self.states.get(admission.account)
        return state is not None and state.allowance.may_run(
            admission, self.clock()
        )

    def begin_run(self, admission: Admission) -> bool:
        """Record that an operation is sent to a server now.

        Args:
          admission: The operation.

        Returns:
          Whether it may be sent.
        """
        state = self.states.get(admission.account)
        return state is not None and state.allowance.begin_run(
            admission, self.clock()
        )

    def ran(self, admission: Admission) -> None:
        """Record that a server has received an operation.

        Args:
          admission: The operation.
        """
        state = self.states.get(admission.account)
        if state is not None:
            state.allowance.ran(admission, self.clock())

    def not_run(self, admission: Admission) -> None:
        """Record that no server has run an operation yet.

        Args:
          admission: The operation.
        """
        state = self.states.get(admission.account)
        if state is not None:
            state.allowance.not_run(admission)

    def give_back(self, admission: Admission) -> None:
        """Take back the token of an operation that will not run.

        Args:
          admission: The operation.
        """
        state = self.states.get(admission.account)
        if state is not None:
            now = self.clock()
            state.allowance.give_back(admission, now)
            self.serve_waiting(state, now)

    def ran_again(self, admission: Admission) -> None:
        """Count a second run of an admitted operation.

        Args:
          admission: The operation.
        """
        state = self.states.get(admission.account)
        if state is not None:
            state.allowance.ran_again(self.clock())

    def drop_cancelled(self, state: AccountState) -> None:
        """Remove the operations that no longer wait."""
        state.waiting = collections.deque(
            one for one in state.waiting if not one.done()
        )

    def serve_waiting(self, state: AccountState, now: float) -> None:
        """Admit the operations that wait with the tokens that are held."""
        self.drop_cancelled(state)
        while state.waiting:
            admission = state.allowance.spend(now)
            if admission is None:
                break
            state.waiting.popleft().set_result(admission)

    def end_waiting(self, state: AccountState) -> None:
        """Refuse the operations that wait."""
        waiting, state.waiting = state.waiting, collections.deque()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def ask(self, account: str) -> None:
        """Request tokens for an account as soon as a message may be sent."""
        self.unsent[account] = None
        now = self.clock()
        vm = self.holder(self.states[account], now)
        if vm == self.own or (vm is not None and self.may_send(vm, now)):
            self.flush()
        else:
            self.schedule_flush()

    def schedule_flush(self) -> None:
        """Send requests again after a batch interval."""
        if self.flush_handle is None:
            self.flush_handle = asyncio.get_running_loop().call_later(
                BATCH_SECONDS, self.flush
            )

    def flush(self) -> None:
        """Send the requests that may be sent now; schedule the others."""
        if self.flush_handle is not None:
            self.flush_handle.cancel()
            self.flush_handle = None
        now = self.clock()
        self.repeat_requests(now)
        batches: dict[str, list[AccountState]] = {}
        known = [one for one in self.unsent if one in self.states]
        self.unsent = dict.fromkeys(known)
        # Operations that wait come before mere reports.
        known.sort(key=lambda one: not self.states[one].waiting)
        for account in known:
            state = self.states[account]
            vm = self.holder(state, now)
            if vm == self.own:
                self.serve_locally(state, now)
            elif vm is not None and self.may_send(vm, now):
                batch = batches.setdefault(vm, [])
                if len(batch) < MAX_ACCOUNTS:
                    batch.append(state)
                    del self.unsent[account]
            elif vm is None and not state.waiting:
                del self.unsent[account]
        for target, batch in batches.items():
            self.send_request(target, batch, now)
        if self.unsent or self.in_flight:
            self.schedule_flush()

    def repeat_requests(self, now: float) -> None:
        """Repeat late requests, and pass over VMs that do not answer."""
        for (vm, sent_at), wanted in list(self.in_flight.items()):
            late = now - sent_at >= self.repeat_seconds(vm)
            if late and any(wanted.values()):
                accounts = list(wanted)
                self.end_request(vm, sent_at)
                self.in_flight[vm, sent_at] = {}
                for account in accounts:
                    if account in self.states and self.states[account].waiting:
                        self.unsent[account] = None
            if now - sent_at >= ANSWER_SECONDS:
                self.end_request(vm, sent_at)
                if self.answered_at.get(vm, 0.0) < sent_at:
                    self.passed_over[vm] = now + PASS_OVER_SECONDS

    def repeat_seconds(self, vm: str) -> float:
        """Return the time after which a request to a VM is repeated."""
        round_trip = self.round_trips.get(vm, MAX_REPEAT_SECONDS)
        return min(MAX_REPEAT_SECONDS, REPEAT_ROUND_TRIPS * round_trip)

    def may_send(self, vm: str, now: float) -> bool:
        """Return whether a request to a VM may be sent now."""
        return now - self.sent_at.get(vm, 0.0) >= BATCH_SECONDS

    def holder(self, state: AccountState, now: float) -> str | None:
        """Return the best-ranked VM that can be asked now, or None.

        VMs that did not answer are asked if no other one counts the account.
        """
        fallback = None
        for vm in self.ranked(state.allowance.account):
            if now < state.skipped.get(vm, 0.0) or (
                vm != self.own and not self.connected(vm)
            ):
                continue
            if now >= self.passed_over.get(vm, 0.0):
                return vm
            fallback = fallback or vm
        return fallback

    def end_request(self, vm: str, sent_at: float) -> None:
        """Remove a request that was answered, or will be repeated."""
        for account, wanted in self.in_flight.pop((vm, sent_at), {}).items():
            state = self.states.get(account)
            if state is not None:
                state.requested = max(0, state.requested - wanted)

    def connected(self, vm: str) -> bool:
        """Return whether a stream to a VM is open; open one if it is not."""
        if self.router is None:
            return False
        if self.router.stream_to(vm) is not None:
            return True
        member = self.members.members.get(vm)
        route = self.router.routes.get(vm)
        if member is not None and (
            route is None
            or (
                route.opening is None
                and asyncio.get_running_loop().time() >= route.retry_at
            )
        ):
            self.run(self.router.connected_stream(member))
        return False

    def run(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Run a coroutine in a task of its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def token_request(
        self, state: AccountState, vm: str, now: float
    ) -> TokenRequest:
        """Return the request and report about an account for a VM."""
        allowance = state.allowance
        state.reported_at = now
        ahead = allowance.ahead(now)
        waiting = sum(not one.done() for one in state.waiting)
        term = state.terms.get(vm, 0.0)
        report = allowance.take_report(Holder(vm, term), now)
        return TokenRequest(
            allowance.account,
            max(0, waiting - state.requested),
            ahead if now >= allowance.refused_until else 0,
            allowance.operations(self.bounds.window_seconds, now),
            allowance.take_unpaid() if term else 0,
            term,
            report.spent,
            report.returned,
        )

    def serve_locally(self, state: AccountState, now: float) -> None:
        """Request tokens from this VM's own counters."""
        account = state.allowance.account
        del self.unsent[account]
        grant = self.counters.serve(
            self.own,
            self.token_request(state, self.own, now),
            self.limit(account),
            self.ranked(account),
            now,
        )
        self.apply_grant(self.own, grant, now, now)

    def send_request(
        self, vm: str, states: Iterable[AccountState], now: float
    ) -> None:
        """Send a request about some accounts."""
        stream = self.router.stream_to(vm) if self.router else None
        if stream is None:
            return
        requests = [self.token_request(one, vm, now) for one in states]
        for request in requests:
            self.states[request.account].requested += request.wanted
        self.in_flight[vm, now] = {one.account: one.wanted for one in requests}
        entries = [list(attrs.astuple(one)) for one in requests]
        self.sent_at[vm] = now
        stream.send(pack(0, Kind.ALLOWANCE_REQUEST, self.own, entries, now, []))

    def request_received(self, fields: Fields) -> bytes:
        """Return the answer to a request of another VM.

        Args:
          fields: The fields of the message.

        Raises:
          ValueError: The message is malformed.
          TypeError: A field has the wrong type.
        """
        vm, entries, asked_at, known = fields
        now = self.clock()
        contacts = self.counters.contacts
        if known:
            contacts.message_received(vm, known, now)
        self.update_candidates(now)
        lost = contacts.lost(self.candidates, now)
        listed = contacts.listed(self.listed_candidates, now)
        grants = []
        for entry in entries[:MAX_ACCOUNTS]:
            request = TokenRequest(*entry)
            grant = self.counters.serve(
                vm,
                request,
                self.limit(request.account),
                self.ranked(request.account),
                now,
            )
            grants.append(list(attrs.astuple(grant)))
        return pack(
            0, Kind.ALLOWANCE_GRANT, self.own, grants, asked_at, lost, listed
        )

    def grant_received(self, fields: Fields) -> None:
        """Apply the answer of another VM.

        Args:
          fields: The fields of the message.

        Raises:
          ValueError: The message is malformed.
          TypeError: A field has the wrong type.
        """
        vm, entries, asked_at, lost, listed = fields
        now = self.clock()
        self.passed_over.pop(vm, None)
        self.counters.contacts.answer_received(vm, asked_at, lost, listed)
        self.update_candidates(now)
        self.counters.contacts.check_complete(self.candidates, now)
        self.answered_at[vm] = now
        mean = self.round_trips.get(vm, now - asked_at)
        mean += ROUND_TRIP_WEIGHT * (now - asked_at - mean)
        self.round_trips[vm] = mean
        self.end_request(vm, asked_at)
        for entry in entries:
            self.apply_grant(vm, TokenGrant(*entry), asked_at, now)
        if self.unsent:
            self.flush()

    def apply_grant(
        self, vm: str, grant: TokenGrant, asked_at: float, now: float
    ) -> None:
        """Use granted tokens for the operations that wait."""
        state = self.states.get(grant.account)
        if state is None:
            return
        if not grant.term:
            state.skipped[vm] = now + NOT_COUNTING_SECONDS
            if state.waiting:
                self.unsent[grant.account] = None
            return
        state.holder = vm
        state.terms = {vm: grant.term}
        allowance = state.allowance
        allowance.granted(Holder(vm, grant.term), grant.tokens, asked_at, now)
        self.serve_waiting(state, now)
        if grant.retry_seconds > 0:
            allowance.refused_until = now + grant.retry_seconds
            self.end_waiting(state)
        elif len(state.waiting) > state.requested:
            self.unsent[grant.account] = None

    async def tick(self, _now: float) -> None:
        """Keep contact with the candidates, report and drop unused state.

        Args:
          _now: The timer's time; not used.
        """
        if self.declared() is None:
            self.states.clear()
            self.counters.counters.clear()
            return
        now = self.clock()
        self.update_candidates(now)
        self.counters.contacts.check_pause(TICK_SECONDS, now)
        self.counters.contacts.check_complete(self.candidates, now)
        if (
            self.own in self.candidates
            and now - self.contacted_at >= CONTACT_INTERVAL_SECONDS
        ):
            self.contacted_at = now
            self.contact_candidates(now)
        self.counters.maintain(self.limit, self.ranked, now)
        for account, state in list(self.states.items()):
            idle = state.allowance.idle(self.bounds.window_seconds, now)
            if self.limit(account) is None or (idle and not state.waiting):
                self.end_waiting(state)
                del self.states[account]
            elif self.report_due(state, now):
                self.unsent[account] = None
        if self.unsent:
            self.flush()
        if now - self.usage_logged_at >= USAGE_INTERVAL_SECONDS:
            self.usage_logged_at = now
            self.log_usage()

    def report_due(self, state: AccountState, now: float) -> bool:
        """Return whether a report about an account must be sent."""
        allowance = state.allowance
        allowance.drop_expired(now)
        allowance.return_held(now)
        return now - state.reported_at >= USED_INTERVAL_SECONDS and bool(
            allowance.reports or allowance.unpaid
        )

    def contact_candidates(self, now: float) -> None:
        """Send a message without entries to each other candidate."""
        listed = self.counters.contacts.listed(self.listed_candidates, now)
        message = pack(0, Kind.ALLOWANCE_REQUEST, self.own, [], now, listed)
        for vm in self.candidates:
            if vm != self.own and self.connected(vm) and self.router:
                stream = self.router.stream_to(vm)
                if stream is not None:
                    stream.send(message)

    def log_counting(self, account: str, counter: AccountCounter) -> None:
        """Log that this VM begins to count an account."""
        self.log.event(
            "account_counting",
            account=account,
            operations=sum(counter.used.values()),
            tokens=round(counter.level, 1),
        )

    def log_usage(self) -> None:
        """Log the operations of the busiest accounts of this VM."""
        busiest = sorted(
            (one for one in self.states.items() if used(one[1])),
            key=lambda one: -used(one[1]),
        )
        for account, state in busiest[:MAX_USAGE_ACCOUNTS]:
            self.log.event(
                "account_usage",
                account=account,
                admitted=state.admitted,
                limited=state.limited,
                holder=state.holder,
            )
        for state in self.states.values():
            state.admitted = 0
            state.limited = 0


def used(state: AccountState) -> int:
    """Return the operations since the last usage line."""
    return state.admitted + state.limited
