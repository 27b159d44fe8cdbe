//! Asking a program's group whether a turn may begin, and telling it of its end.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::{Logger, info};
use sumacdrift_ledger::{
    Begin, BeginDecision, BeginQuorum, ChainReply, End, Group, GroupMap, GroupMessage, GroupNumber, Member,
    ReplyKind, RequestKind, TurnEnded,
};
use sumacdrift_transport::Transport;
use sumacdrift_types::{Location, Mechanism, SwitchedOff};
use tokio::time::Instant;

use crate::asking::Asking;
use crate::begin_turn::{Admission, BeginTurn, LedgerError, LedgerTimeouts};
use crate::boards::{boards_of, has_boards};
use crate::group_gate::{GroupGates, Passage};
use crate::known_map::KnownMap;
use crate::member_answers::UndecidedLines;
use crate::news::{ViewSink, hand_view_on};
use crate::reach::Reach;
use crate::retry_budget::RetryBudget;
use crate::rpc::{ask, ask_whole, encode_news, encode_to_node, encode_with};
use crate::suspects::Suspects;

/// Pause before all members are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long a board is waited for; what it tells later is old.
const BOARD_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an address that may be a replica is waited for.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);

/// A question under way to a group; its end is noted however it ends.
struct Passing<'a> {
    client: &'a LedgerClient,
    group: GroupNumber,
    is_decided: bool,
}

impl Drop for Passing<'_> {
    fn drop(&mut self) {
        if self.client.gates().ended(self.group, self.is_decided, Instant::now()) {
            info!(self.client.logger, "group decides again"; "event" => "dependency_regained",
                "dependency" => "ledger group", "group" => self.group);
        }
    }
}

/// Asks the ledger's groups.
pub struct LedgerClient {
    transport: Arc<Transport>,
    reach: Arc<Reach>,
    map: KnownMap,
    location: Location,
    timeouts: LedgerTimeouts,
    suspects: Mutex<Suspects>,
    gates: Mutex<GroupGates>,
    retry_budget: Arc<RetryBudget>,
    views: OnceLock<Arc<dyn ViewSink>>,
    undecided_lines: Mutex<UndecidedLines>,
    off: SwitchedOff,
    logger: Logger,
}

impl LedgerClient {
    /// A client that knows no group yet.
    pub fn new(
        transport: Arc<Transport>,
        location: Location,
        timeouts: LedgerTimeouts,
        logger: Logger,
    ) -> Self {
        Self::without(SwitchedOff::default(), transport, location, timeouts, logger)
    }

    /// A client that knows no group yet, with some mechanisms switched off.
    pub fn without(
        off: SwitchedOff,
        transport: Arc<Transport>,
        location: Location,
        timeouts: LedgerTimeouts,
        logger: Logger,
    ) -> Self {
        let (suspects, gates, retry_budget) = (Mutex::default(), Mutex::default(), Arc::default());
        let views = OnceLock::new();
        let reach = Arc::new(Reach::new(Arc::clone(&transport), logger.clone()));
        Self {
            transport,
            reach,
            map: KnownMap::default(),
            location,
            timeouts,
            suspects,
            gates,
            retry_budget,
            views,
            undecided_lines: Mutex::default(),
            off,
            logger,
        }
    }

    /// A client of the same groups that never asks by way of other nodes, and shares nothing else with this one.
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

    /// Says who takes what the replicas' hosts tell of other nodes; once.
    pub fn tell_views_to(&self, sink: Arc<dyn ViewSink>) {
        // A second sink would be a defect of the caller; the first one stays.
        let _ = self.views.set(sink);
    }

    /// Nodes that pass questions on to members that this node does not reach.
    pub fn learn_relays(&self, relays: Vec<SocketAddr>) {
        if self.off.allows(Mechanism::Relays) {
            self.reach.ways().learn_relays(relays);
        }
    }

    /// The groups that the client knows.
    pub fn map(&self) -> Arc<GroupMap> {
        self.map.get()
    }

    /// Whether the client knows any group.
    pub fn knows_groups(&self) -> bool {
        !self.map().is_empty()
    }

    /// Epoch of a program's group; 0 where no group is known.
    pub fn epoch_of(&self, program: &str) -> u64 {
        self.group_of(program).epoch
    }

    /// A program's group; one without members where none is known.
    fn group_of(&self, program: &str) -> Arc<Group> {
        self.map().group_of(program).cloned().unwrap_or_default()
    }

    /// Adopts a group if it is newer.
    pub fn learn(&self, group: Group) {
        let (number, epoch, members) = (group.number, group.epoch, group.members.len());
        if self.map.learn(group) {
            info!(self.logger, "ledger group adopted"; "event" => "group_adopted", "group" => number,
                "epoch" => epoch, "members" => members);
        }
    }

    /// Adopts the groups that are newer.
    pub fn learn_map(&self, map: &GroupMap) {
        if self.map.merge(map) {
            let epochs: Vec<String> = map.groups().iter().map(|group| group.epoch.to_string()).collect();
            info!(self.logger, "ledger groups adopted"; "event" => "groups_adopted",
                "groups" => map.groups().len(), "epochs" => epochs.join(","));
        }
    }

    /// Asks addresses that may be replicas for the groups, all at once; returns when one told of them, or all have
    /// answered or were late.
    pub async fn learn_from(&self, seeds: &[SocketAddr]) {
        let mut asking: FuturesUnordered<_> = seeds.iter().map(|seed| self.ask_for_map(*seed)).collect();
        while let Some(map) = asking.next().await {
            if let Some(map) = map.filter(|map| !map.is_empty()) {
                self.learn_map(&map);
                return;
            }
        }
    }

    async fn ask_for_map(&self, seed: SocketAddr) -> Option<GroupMap> {
        let request = encode_to_node(RequestKind::Map(true));
        match ask(&self.transport, seed, request, SEED_TIMEOUT).await? {
            ReplyKind::Map(message) => GroupMap::from_message(&message),
            _ => None,
        }
    }

    /// Asks whether a turn may run, again and again until there is an answer or `until` has come. Where nobody at all
    /// answers this node, that is said soon: another node may do better.
    pub async fn begin(&self, begin: BeginTurn, until: Instant) -> Result<Admission, LedgerError> {
        let now = Instant::now();
        let group = self.group_of(&begin.turn.program);
        let passage = self.gates().enter(group.number, now);
        match passage {
            Passage::Closed { retry_after } => return Err(LedgerError::GroupUnavailable { retry_after }),
            Passage::Open { is_first_probe: true } => {
                info!(self.logger, "group decides nothing"; "event" => "dependency_lost",
                    "dependency" => "ledger group", "group" => group.number, "epoch" => group.epoch);
            }
            Passage::Open { is_first_probe: false } => {}
        }
        let mut passing = Passing { client: self, group: group.number, is_decided: false };
        let members: Vec<SocketAddr> = group.members.iter().map(|member| member.address).collect();
        // Where all nodes come up together, the group is there within moments, and callers have few tries.
        let was_answered = self.reach.ways().was_answered();
        let until = if was_answered { until.min(now + self.timeouts.begin) } else { until };
        let outcome = tokio::select! {
            biased;
            () = self.reach.isolated(&members) => Err(LedgerError::Unavailable),
            outcome = self.begin_patiently(begin, until) => outcome,
        };
        passing.is_decided = !matches!(outcome, Err(LedgerError::Unavailable)) || !was_answered;
        outcome
    }

    /// Whether nobody answers this node: neither members of the group nor nodes that pass questions on.
    pub fn is_isolated(&self) -> bool {
        self.reach.is_isolated()
    }

    /// Whether this node reaches the members itself, so that it can pass questions on for others.
    pub fn reaches_members(&self) -> bool {
        self.reach.ways().reaches_directly(Instant::now())
    }

    /// Somebody answered, about whatever.
    pub(crate) fn heard_anyone(&self) {
        self.reach.ways().heard_anyone();
    }

    /// Whether news of this node's calls go to the board of its zone, not with each question.
    pub fn tells_board(&self) -> bool {
        has_boards(&self.map())
    }

    /// Tells the board of the own zone; what it tells in return goes where all views go.
    pub async fn tell_board(&self, news: Bytes) {
        let map = self.map();
        let now = Instant::now();
        let boards = boards_of(&map, &self.location);
        let sound = boards.iter().find(|member| !self.suspects().is_suspect(&member.node, now));
        let Some(board) = sound.or(boards.first()) else { return };
        match ask_whole(&self.transport, board.address, encode_news(news), BOARD_TIMEOUT).await {
            // The answer to news says nothing.
            Some(answer) => drop(hand_view_on(self.views().as_ref(), answer)),
            None => self.suspects().suspect(&board.node, Instant::now()),
        }
    }

    async fn begin_patiently(&self, begin: BeginTurn, until: Instant) -> Result<Admission, LedgerError> {
        loop {
            let group = self.group_of(&begin.turn.program);
            let deadline = until.min(Instant::now() + self.timeouts.round);
            let outcome = self.begin_in(&group, &begin, deadline).await;
            match outcome {
                // There is a newer group.
                None if Instant::now() < until => {}
                Some(Err(LedgerError::UnknownPrevious)) if self.map().groups().len() > 1 => {
                    return self.begin_from_elsewhere(&group, begin, until).await;
                }
                Some(Err(LedgerError::Unavailable)) if Instant::now() < until => {
                    tokio::time::sleep_until(until.min(Instant::now() + ROUND_PAUSE)).await;
                }
                Some(outcome) => return outcome,
                None => return Err(LedgerError::Unavailable),
            }
        }
    }

    pub(crate) async fn begin_in(
        &self,
        group: &Arc<Group>,
        begin: &BeginTurn,
        deadline: Instant,
    ) -> Option<Result<Admission, LedgerError>> {
        let mut asking = self.asking(group, &begin.turn.program, deadline);
        let nearest = asking.first().map(|member| member.node.clone());
        let request_for = |member: &Member| {
            let wants_chain = begin.needs_chain && Some(&member.node) == nearest.as_ref();
            let request = Begin {
                turn: Some(begin.turn.clone()),
                budget_tokens: begin.budget_tokens,
                previous: begin.previous.clone(),
                wants_chain,
            };
            encode_with(group, RequestKind::Begin(request), begin.news.clone())
        };
        asking.begin(group.majority(), &request_for);
        let mut quorum = BeginQuorum::new(group.majority(), begin.budget_tokens, begin.turn.most_tokens);
        loop {
            let Some(answer) = asking.next(&request_for).await else {
                asking.report_undecided(&begin.turn.turn, &begin.turn.program);
                return Some(Err(LedgerError::Unavailable));
            };
            let decision = match answer {
                ReplyKind::Vote(vote) => quorum.vote(vote),
                ReplyKind::WrongEpoch(message) if self.is_newer(&message, group) => return None,
                _ => BeginDecision::Pending,
            };
            if decision != BeginDecision::Pending {
                asking.decided();
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

    /// Says what decided a refusal.
    fn report_refusal(&self, group: &Group, begin: &BeginTurn, quorum: &BeginQuorum, why: &'static str) {
        info!(self.logger, "ledger refused a turn"; "event" => "ledger_refusal", "call" => &begin.turn.turn,
            "program" => &begin.turn.program, "why" => why, "counted_tokens" => quorum.counted_tokens(),
            "most_tokens" => begin.turn.most_tokens, "budget_tokens" => begin.budget_tokens,
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
        let mut admission = Admission { counted_tokens, epoch: group.epoch, ..Admission::default() };
        if begin.needs_chain && !begin.previous.is_empty() {
            let first = quorum.take_chain();
            let nothing = ChainReply { turns: Vec::new(), missing: begin.previous.clone() };
            admission.chain =
                self.complete_chain(group, &begin.turn.program, first.unwrap_or(nothing), deadline).await?;
        }
        Ok(admission)
    }

    /// Records a turn's end; returns once a majority has it on disk. `news` is told besides.
    pub async fn end(&self, turn: TurnEnded, news: Bytes) -> Result<(), LedgerError> {
        let deadline = Instant::now() + self.timeouts.end;
        loop {
            let group = self.group_of(&turn.program);
            let round = deadline.min(Instant::now() + self.timeouts.round);
            match self.end_in(&group, &turn, news.clone(), round).await {
                // There is a newer group.
                None if Instant::now() < deadline => {}
                Some(Err(LedgerError::Unavailable)) if Instant::now() < deadline => {
                    tokio::time::sleep(ROUND_PAUSE).await;
                }
                Some(outcome) => return outcome,
                None => return Err(LedgerError::Unavailable),
            }
        }
    }

    async fn end_in(
        &self,
        group: &Arc<Group>,
        turn: &TurnEnded,
        news: Bytes,
        deadline: Instant,
    ) -> Option<Result<(), LedgerError>> {
        let request = encode_with(group, RequestKind::End(End { turn: Some(turn.clone()) }), news);
        let request_for = |_: &Member| request.clone();
        let mut asking = self.asking(group, &turn.program, deadline);
        asking.begin(group.majority(), &request_for);
        let mut durable = 0;
        while let Some(answer) = asking.next(&request_for).await {
            match answer {
                ReplyKind::Done(_) => durable += 1,
                ReplyKind::WrongEpoch(message) if self.is_newer(&message, group) => return None,
                _ => {}
            }
            if durable >= group.majority() {
                asking.decided();
                return Some(Ok(()));
            }
        }
        asking.report_undecided(&turn.turn, &turn.program);
        Some(Err(LedgerError::Unavailable))
    }

    fn is_newer(&self, message: &GroupMessage, group: &Group) -> bool {
        if message.epoch <= group.epoch {
            return false;
        }
        if let Some(newer) = Group::from_message(message).filter(|newer| newer.number == group.number) {
            self.learn(newer);
        }
        self.map().group(group.number).is_some_and(|known| known.epoch > group.epoch)
    }

    /// Begins to ask members; see [`Asking`].
    pub(crate) fn asking(&self, group: &Arc<Group>, key: &str, deadline: Instant) -> Asking<'_> {
        let order = self.suspects().order(group, &self.location, key, Instant::now());
        Asking::new(self, Arc::clone(group), order, deadline)
    }

    /// Whether a mechanism is at work.
    pub(crate) fn allows(&self, mechanism: Mechanism) -> bool {
        self.off.allows(mechanism)
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it may be told now that a question was not decided, see [`UndecidedLines`].
    pub(crate) fn may_report_undecided(&self) -> Option<u64> {
        let mut lines = self.undecided_lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.may_write(Instant::now())
    }

    fn gates(&self) -> MutexGuard<'_, GroupGates> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retry_budget(&self) -> &Arc<RetryBudget> {
        &self.retry_budget
    }

    pub(crate) fn views(&self) -> Option<Arc<dyn ViewSink>> {
        self.views.get().cloned()
    }

    pub(crate) fn reach(&self) -> Arc<Reach> {
        Arc::clone(&self.reach)
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.logger
    }

    pub(crate) fn transport(&self) -> &Arc<Transport> {
        &self.transport
    }
}
