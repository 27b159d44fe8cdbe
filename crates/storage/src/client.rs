//! Client of the ledger: asks a program's group whether a turn may begin, and records its end.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::{Logger, info};
use sumacdrift_calls::CrashCount;
use sumacdrift_ledger::{
    Begin, BeginDecision, BeginQuorum, ChainReply, End, Group, GroupMap, GroupMessage, GroupNumber, Member,
    ReplyKind, RequestKind, ResumedTurn, TurnEnded,
};
use sumacdrift_telemetry::RepeatedLineLimit;
use sumacdrift_transport::Transport;
use sumacdrift_types::{DisabledMechanisms, Location, Mechanism};
use tokio::time::Instant;

use crate::begin_turn::{Admission, BeginTurn, LedgerError, LedgerTimeouts};
use crate::circuit_breaker::{GroupBreakers, Permit};
use crate::group_request::GroupRequest;
use crate::known_map::KnownMap;
use crate::member_client::MemberClient;
use crate::member_selection::MemberSelection;
use crate::report_board::{ViewSink, forward_view};
use crate::retry_budget::RetryBudget;
use crate::rpc::{encode_report, encode_to_node, encode_with_report, send_request, send_request_with_view};
use crate::zone_boards::{boards_by_distance, uses_zone_boards};

/// Pause before all members are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a report to a board; a later view is stale.
const BOARD_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request to a seed address.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to a group in flight; its end is recorded on drop.
struct InFlightRequest<'a> {
    client: &'a LedgerClient,
    group: GroupNumber,
    is_decided: bool,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        if self.client.breakers().record_end(self.group, self.is_decided, Instant::now()) {
            info!(self.client.logger, "ledger group is available again"; "event" => "dependency_regained",
                "dependency" => "ledger group", "group" => self.group);
        }
    }
}

/// Client of the ledger's groups.
pub struct LedgerClient {
    transport: Arc<Transport>,
    member_client: Arc<MemberClient>,
    map: KnownMap,
    location: Location,
    timeouts: LedgerTimeouts,
    member_selection: Mutex<MemberSelection>,
    breakers: Mutex<GroupBreakers>,
    retry_budget: Arc<RetryBudget>,
    views: OnceLock<Arc<dyn ViewSink>>,
    undecided_log_limiter: Mutex<RepeatedLineLimit>,
    off: DisabledMechanisms,
    logger: Logger,
}

impl LedgerClient {
    /// Creates a client that knows no group yet.
    pub fn new(
        transport: Arc<Transport>,
        location: Location,
        timeouts: LedgerTimeouts,
        logger: Logger,
    ) -> Self {
        Self::without(DisabledMechanisms::default(), transport, location, timeouts, logger)
    }

    /// Creates a client that knows no group yet, with some mechanisms switched off.
    pub fn without(
        off: DisabledMechanisms,
        transport: Arc<Transport>,
        location: Location,
        timeouts: LedgerTimeouts,
        logger: Logger,
    ) -> Self {
        let (member_selection, breakers, retry_budget) = (Mutex::default(), Mutex::default(), Arc::default());
        let views = OnceLock::new();
        let member_client = Arc::new(MemberClient::new(Arc::clone(&transport), logger.clone()));
        Self {
            transport,
            member_client,
            map: KnownMap::default(),
            location,
            timeouts,
            member_selection,
            breakers,
            retry_budget,
            views,
            undecided_log_limiter: Mutex::default(),
            off,
            logger,
        }
    }

    /// A client of the same groups that never uses relays. It shares only the transport with this one.
    pub fn without_relays(&self) -> Self {
        let (transport, location) = (Arc::clone(&self.transport), self.location.clone());
        Self::without(
            self.off.with(Mechanism::Relays),
            transport,
            location,
            self.timeouts,
            self.logger.clone(),
        )
    }

    /// Sets the consumer of the views in replies. Only the first call has an effect.
    pub fn set_view_sink(&self, sink: Arc<dyn ViewSink>) {
        let _ = self.views.set(sink);
    }

    /// Sets the relays to members that this node cannot reach.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        if self.off.is_enabled(Mechanism::Relays) {
            self.member_client.routes().set_relays(relays);
        }
    }

    /// The newest groups known to this client.
    pub fn map(&self) -> Arc<GroupMap> {
        self.map.get()
    }

    /// Whether any group is known.
    pub fn knows_groups(&self) -> bool {
        !self.map().is_empty()
    }

    /// Epoch of a program's group; 0 if no group is known.
    pub fn epoch_of(&self, program: &str) -> u64 {
        self.group_of(program).epoch
    }

    /// A program's group; a group without members if none is known.
    fn group_of(&self, program: &str) -> Arc<Group> {
        self.map().group_of(program).cloned().unwrap_or_default()
    }

    /// Adopts a group if it is newer.
    pub fn adopt_group(&self, group: Group) {
        let (number, epoch, members) = (group.number, group.epoch, group.members.len());
        if self.map.adopt_newer(group) {
            info!(self.logger, "ledger group adopted"; "event" => "group_adopted", "group" => number,
                "epoch" => epoch, "members" => members);
        }
    }

    /// Adopts the groups that are newer.
    pub fn adopt_map(&self, map: &GroupMap) {
        if self.map.merge(map) {
            let epochs: Vec<String> = map.groups().iter().map(|group| group.epoch.to_string()).collect();
            info!(self.logger, "ledger groups adopted"; "event" => "groups_adopted",
                "groups" => map.groups().len(), "epochs" => epochs.join(","));
        }
    }

    /// Asks seed addresses for the groups, all at once; returns after the first usable reply, or when all
    /// have replied or timed out.
    pub async fn fetch_map_from(&self, seeds: &[SocketAddr]) {
        let mut requests: FuturesUnordered<_> = seeds.iter().map(|seed| self.ask_for_map(*seed)).collect();
        while let Some(map) = requests.next().await {
            if let Some(map) = map.filter(|map| !map.is_empty()) {
                self.adopt_map(&map);
                return;
            }
        }
    }

    async fn ask_for_map(&self, seed: SocketAddr) -> Option<GroupMap> {
        let request = encode_to_node(RequestKind::Map(true));
        match send_request(&self.transport, seed, request, SEED_TIMEOUT).await? {
            ReplyKind::Map(message) => GroupMap::from_message(&message),
            _ => None,
        }
    }

    /// Asks whether a turn may begin, and retries until there is a decision, the begin timeout or `until`.
    /// Fails early if this node is isolated, as another node may succeed.
    pub async fn begin(&self, begin: BeginTurn, until: Instant) -> Result<Admission, LedgerError> {
        let now = Instant::now();
        let group = self.group_of(&begin.turn.program);
        let permit = self.breakers().admit(group.number, now);
        match permit {
            Permit::Rejected { retry_after } => return Err(LedgerError::GroupUnavailable { retry_after }),
            Permit::Allowed { is_first_probe: true } => {
                info!(self.logger, "ledger group is unavailable"; "event" => "dependency_lost",
                    "dependency" => "ledger group", "group" => group.number, "epoch" => group.epoch);
            }
            Permit::Allowed { is_first_probe: false } => {}
        }
        let mut in_flight = InFlightRequest { client: self, group: group.number, is_decided: false };
        let members: Vec<SocketAddr> = group.members.iter().map(|member| member.address).collect();
        // While all nodes are starting, the group becomes available soon and callers make few retries, so the
        // begin timeout does not apply.
        let has_had_reply = self.member_client.routes().has_had_reply();
        let until = if has_had_reply { until.min(now + self.timeouts.begin) } else { until };
        let outcome = tokio::select! {
            biased;
            () = self.member_client.wait_until_isolated(&members) => Err(LedgerError::Unavailable),
            outcome = self.begin_with_retries(begin, until) => outcome,
        };
        in_flight.is_decided = !matches!(outcome, Err(LedgerError::Unavailable)) || !has_had_reply;
        outcome
    }

    /// Whether this node is isolated: neither members nor relays reply.
    pub fn is_isolated(&self) -> bool {
        self.member_client.is_isolated()
    }

    /// Whether this node reaches all recently responsive members directly, so that it can serve as a relay.
    pub fn reaches_members(&self) -> bool {
        self.member_client.routes().reaches_directly(Instant::now())
    }

    /// Records that some node replied to this one, to whatever request.
    pub(crate) fn record_any_reply(&self) {
        self.member_client.routes().record_any_reply();
    }

    /// Whether reports of this node go to the board of its zone instead of along with each request.
    pub fn uses_zone_board(&self) -> bool {
        uses_zone_boards(&self.map())
    }

    /// Sends a report to the board of the own zone, and passes the view in its reply to the sink.
    pub async fn report_to_zone_board(&self, report: Bytes) {
        let map = self.map();
        let now = Instant::now();
        let boards = boards_by_distance(&map, &self.location);
        let healthy = boards.iter().find(|member| !self.member_selection().is_suspect(&member.node, now));
        let Some(board) = healthy.or(boards.first()) else { return };
        match send_request_with_view(&self.transport, board.address, encode_report(report), BOARD_TIMEOUT)
            .await
        {
            // A reply to a report carries only a view.
            Some(answer) => drop(forward_view(self.views().as_ref(), answer)),
            None => self.member_selection().mark_suspect(&board.node, Instant::now()),
        }
    }

    async fn begin_with_retries(&self, begin: BeginTurn, until: Instant) -> Result<Admission, LedgerError> {
        loop {
            let group = self.group_of(&begin.turn.program);
            let deadline = until.min(Instant::now() + self.timeouts.round);
            let outcome = self.begin_in_group(&group, &begin, deadline).await;
            match outcome {
                // The group has changed: retry with the newer version.
                None if Instant::now() < until => {}
                Some(Err(LedgerError::UnknownPrevious)) if self.map().groups().len() > 1 => {
                    return self.begin_with_foreign_chain(&group, begin, until).await;
                }
                Some(Err(LedgerError::Unavailable)) if Instant::now() < until => {
                    tokio::time::sleep_until(until.min(Instant::now() + ROUND_PAUSE)).await;
                }
                Some(outcome) => return outcome,
                None => return Err(LedgerError::Unavailable),
            }
        }
    }

    pub(crate) async fn begin_in_group(
        &self,
        group: &Arc<Group>,
        begin: &BeginTurn,
        deadline: Instant,
    ) -> Option<Result<Admission, LedgerError>> {
        let mut group_request = self.group_request(group, &begin.turn.program, deadline);
        let first_member = group_request.first_member().map(|member| member.node.clone());
        let request_for = |member: &Member| {
            let wants_chain = begin.needs_chain && Some(&member.node) == first_member.as_ref();
            let request = Begin {
                turn: Some(begin.turn.clone()),
                budget_tokens: begin.budget_tokens,
                previous: begin.previous.clone(),
                wants_chain,
                resumed_turn: begin.resumed_turn.name().to_owned(),
                commit_quorum: wire_count(group.commit_quorum()),
                request: begin.request.map(|request| request.0),
                resumes_same_request: begin.resumed_turn == ResumedTurn::OfSameRequest,
            };
            encode_with_report(group, RequestKind::Begin(request), begin.report.clone())
        };
        group_request.start(group.commit_quorum(), &request_for);
        let quorum = BeginQuorum::new(group.commit_quorum(), begin.budget_tokens, begin.turn.max_tokens);
        let mut quorum = quorum.resuming(begin.resumed_turn.clone());
        loop {
            let Some(answer) = group_request.next_reply(&request_for).await else {
                if quorum.lacks_memory() {
                    self.report_refusal(group, begin, &quorum, "memory");
                    return Some(Err(LedgerError::OutOfMemory));
                }
                group_request.report_undecided(&begin.turn.turn, &begin.turn.program);
                return Some(Err(LedgerError::Unavailable));
            };
            let decision = match answer {
                ReplyKind::Vote(vote) => quorum.vote(vote),
                ReplyKind::WrongEpoch(message) if self.adopt_if_newer(&message, group) => return None,
                _ => BeginDecision::Pending,
            };
            if decision != BeginDecision::Pending {
                group_request.record_decision();
            }
            match decision {
                BeginDecision::Pending => {}
                BeginDecision::BudgetSpent => {
                    self.report_refusal(group, begin, &quorum, "budget");
                    return Some(Err(LedgerError::BudgetSpent));
                }
                BeginDecision::UnknownPrevious => {
                    self.report_refusal(group, begin, &quorum, "previous turn");
                    return Some(Err(LedgerError::UnknownPrevious));
                }
                BeginDecision::Admitted => {
                    return Some(self.admitted(group, begin, quorum, deadline).await);
                }
            }
        }
    }

    /// Logs the reason of a refusal.
    fn report_refusal(&self, group: &Group, begin: &BeginTurn, quorum: &BeginQuorum, why: &'static str) {
        info!(self.logger, "ledger refused a turn"; "event" => "ledger_refusal", "call" => &begin.turn.turn,
            "program" => &begin.turn.program, "why" => why, "counted_tokens" => quorum.counted_tokens(),
            "most_tokens" => begin.turn.max_tokens, "budget_tokens" => begin.budget_tokens,
            "votes" => quorum.votes(), "epoch" => group.epoch);
    }

    async fn admitted(
        &self,
        group: &Arc<Group>,
        begin: &BeginTurn,
        mut quorum: BeginQuorum,
        deadline: Instant,
    ) -> Result<Admission, LedgerError> {
        let counted_tokens = quorum.counted_tokens();
        let (resumed_origin, matching_turns) = (quorum.resumed_origin(), quorum.matching_turns());
        let crashes = CrashCount {
            confirmed: quorum.crashed_engines(),
            suspected: quorum.suspected_engines(),
            observed: quorum.observed_engines(),
            open_attempts: quorum.open_attempts(),
        };
        let mut admission = Admission {
            counted_tokens,
            epoch: group.epoch,
            resumed_origin,
            matching_turns,
            crashes,
            ..Admission::default()
        };
        if begin.needs_chain && !begin.previous.is_empty() {
            let first = quorum.take_chain();
            let nothing = ChainReply { turns: Vec::new(), missing: begin.previous.clone() };
            admission.chain =
                self.complete_chain(group, &begin.turn.program, first.unwrap_or(nothing), deadline).await?;
        }
        Ok(admission)
    }

    /// Records the end of a turn, with a report for the hosts; returns once a commit quorum has it on disk.
    pub async fn end(&self, turn: TurnEnded, report: Bytes) -> Result<(), LedgerError> {
        let deadline = Instant::now() + self.timeouts.end;
        loop {
            let group = self.group_of(&turn.program);
            let round = deadline.min(Instant::now() + self.timeouts.round);
            match self.end_in_group(&group, &turn, report.clone(), round).await {
                // The group has changed: retry with the newer version.
                None if Instant::now() < deadline => {}
                Some(Err(LedgerError::Unavailable)) if Instant::now() < deadline => {
                    tokio::time::sleep(ROUND_PAUSE).await;
                }
                Some(outcome) => return outcome,
                None => return Err(LedgerError::Unavailable),
            }
        }
    }

    async fn end_in_group(
        &self,
        group: &Arc<Group>,
        turn: &TurnEnded,
        report: Bytes,
        deadline: Instant,
    ) -> Option<Result<(), LedgerError>> {
        let end = End { turn: Some(turn.clone()), commit_quorum: wire_count(group.commit_quorum()) };
        let request = encode_with_report(group, RequestKind::End(end), report);
        let request_for = |_: &Member| request.clone();
        let mut group_request = self.group_request(group, &turn.program, deadline);
        group_request.start(group.commit_quorum(), &request_for);
        let mut durable = 0;
        while let Some(answer) = group_request.next_reply(&request_for).await {
            match answer {
                ReplyKind::Done(_) => durable += 1,
                ReplyKind::WrongEpoch(message) if self.adopt_if_newer(&message, group) => return None,
                _ => {}
            }
            if durable >= group.commit_quorum() {
                group_request.record_decision();
                return Some(Ok(()));
            }
        }
        group_request.report_undecided(&turn.turn, &turn.program);
        Some(Err(LedgerError::Unavailable))
    }

    fn adopt_if_newer(&self, message: &GroupMessage, group: &Group) -> bool {
        let newer = Group::from_message(message)
            .filter(|newer| newer.number == group.number && newer.supersedes(group));
        let Some(newer) = newer else { return false };
        self.adopt_group(newer);
        self.map().group(group.number).is_some_and(|known| known.supersedes(group))
    }

    /// Creates a request to a group; see [`GroupRequest`].
    pub(crate) fn group_request(&self, group: &Arc<Group>, key: &str, deadline: Instant) -> GroupRequest<'_> {
        let order = self.member_selection().order(group, &self.location, key, Instant::now());
        GroupRequest::new(self, Arc::clone(group), order, deadline)
    }

    /// Whether a mechanism is switched on.
    pub(crate) fn allows(&self, mechanism: Mechanism) -> bool {
        self.off.is_enabled(mechanism)
    }

    pub(crate) fn member_selection(&self) -> MutexGuard<'_, MemberSelection> {
        self.member_selection.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Permits a log line about an undecided request, see [`RepeatedLineLimit::try_log`].
    pub(crate) fn take_undecided_log_slot(&self) -> Option<u64> {
        let mut limiter = self.undecided_log_limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.try_log(Instant::now())
    }

    fn breakers(&self) -> MutexGuard<'_, GroupBreakers> {
        self.breakers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retry_budget(&self) -> &Arc<RetryBudget> {
        &self.retry_budget
    }

    pub(crate) fn views(&self) -> Option<Arc<dyn ViewSink>> {
        self.views.get().cloned()
    }

    pub(crate) fn member_client(&self) -> Arc<MemberClient> {
        Arc::clone(&self.member_client)
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.logger
    }

    pub(crate) fn transport(&self) -> &Arc<Transport> {
        &self.transport
    }
}

/// Number of replicas in a request.
fn wire_count(replicas: usize) -> u32 {
    u32::try_from(replicas).unwrap_or(u32::MAX)
}
