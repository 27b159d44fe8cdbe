//! One request to a group: sent first to as many members as a decision needs, and to the remaining ones when
//! replies are late or unusable.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::info;
use sumacdrift_ledger::{Group, Member, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;
use sumacdrift_types::Mechanism;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::member_answers::MemberAnswer;
use crate::member_client::{MIN_RELAY_DELAY, MemberClient};
use crate::report_board::{ViewSink, forward_view};
use crate::retry_budget::RetryBudget;
use crate::rpc::{encode, send_request};

/// Pause before a member that gave no usable reply is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Timeout of one attempt to ask a member.
pub(crate) const MEMBER_TIMEOUT: Duration = Duration::from_millis(700);

/// Event of the task that asks a member, with the position of the member in the order.
enum MemberEvent {
    /// Its final reply.
    Replied(usize, ReplyKind),
    /// The first attempt failed; the task retries.
    FirstAttemptFailed(usize, MemberAnswer),
    /// All attempts failed.
    GivenUp(usize),
}

/// Request to a group while it is being decided.
pub(crate) struct GroupRequest<'a> {
    client: &'a LedgerClient,
    group: Arc<Group>,
    order: Vec<Member>,
    asked_count: usize,
    is_settled: Vec<bool>,
    answers: Vec<MemberAnswer>,
    started: Instant,
    hedge_at: Instant,
    is_hedged: bool,
    deadline: Instant,
    sender: mpsc::Sender<MemberEvent>,
    events: mpsc::Receiver<MemberEvent>,
}

impl<'a> GroupRequest<'a> {
    /// A request that was sent to no member yet; `order` is the order in which members are asked.
    pub(crate) fn new(
        client: &'a LedgerClient,
        group: Arc<Group>,
        order: Vec<Member>,
        deadline: Instant,
    ) -> Self {
        let (sender, events) = mpsc::channel(order.len().max(1) * 2);
        let is_settled = vec![false; order.len()];
        let answers = vec![MemberAnswer::NotAsked; order.len()];
        let started = Instant::now();
        let hedge_at = started + client.member_selection().hedge_delay(group.number);
        Self {
            client,
            group,
            order,
            asked_count: 0,
            is_settled,
            answers,
            started,
            hedge_at,
            is_hedged: false,
            deadline,
            sender,
            events,
        }
    }

    pub(crate) fn first_member(&self) -> Option<&Member> {
        self.order.first()
    }

    /// Sends the request to the first `members` members.
    pub(crate) fn start(&mut self, members: usize, request_for: &impl Fn(&Member) -> Bytes) {
        self.client.retry_budget().record_requests(members);
        for _ in 0..members {
            self.ask_one_more(request_for);
        }
    }

    /// The next reply; `None` when all members have given their final one or the deadline has passed.
    ///
    /// Other members are asked when no further reply can come from those asked so far, or when those are
    /// late.
    pub(crate) async fn next_reply(&mut self, request_for: &impl Fn(&Member) -> Bytes) -> Option<ReplyKind> {
        loop {
            if self.is_settled[..self.asked_count].iter().all(|settled| *settled)
                && !self.ask_one_more(request_for)
            {
                return None;
            }
            let may_hedge = self.asked_count < self.order.len() && self.client.allows(Mechanism::Hedging);
            let until = if may_hedge { self.hedge_at.min(self.deadline) } else { self.deadline };
            match tokio::time::timeout_at(until, self.events.recv()).await {
                Ok(Some(MemberEvent::Replied(
                    position,
                    reply @ (ReplyKind::NotVoting(_) | ReplyKind::Busy(_)),
                ))) => {
                    // The member may have the record, but will not vote soon.
                    self.answers[position] = MemberAnswer::of(Some(&reply));
                    self.is_settled[position] = true;
                    self.mark_suspect(position);
                    self.ask_one_more(request_for);
                }
                Ok(Some(MemberEvent::Replied(position, reply))) => {
                    self.answers[position] = MemberAnswer::of(Some(&reply));
                    self.is_settled[position] = true;
                    return Some(reply);
                }
                Ok(Some(MemberEvent::FirstAttemptFailed(position, answer))) => {
                    self.answers[position] = answer;
                    self.mark_suspect(position);
                    self.ask_one_more(request_for);
                }
                Ok(Some(MemberEvent::GivenUp(position))) => self.is_settled[position] = true,
                Ok(None) => return None,
                Err(_) if may_hedge && self.hedge_at < self.deadline => self.hedge(request_for),
                Err(_) => return None,
            }
        }
    }

    /// Sends the request to the remaining members until the retry budget is exhausted; if it is, continues after
    /// the hedge delay.
    fn hedge(&mut self, request_for: &impl Fn(&Member) -> Bytes) {
        while self.asked_count < self.order.len() {
            if !self.client.retry_budget().try_withdraw(Instant::now()) {
                self.hedge_at =
                    Instant::now() + self.client.member_selection().hedge_delay(self.group.number);
                return;
            }
            self.is_hedged = true;
            self.ask_one_more(request_for);
        }
    }

    /// Records the latency of a decided request. If it was hedged, members without a final reply become
    /// suspects.
    pub(crate) fn record_decision(&self) {
        self.client.member_selection().record_latency(self.group.number, self.started.elapsed());
        if self.is_hedged {
            let late = (0..self.asked_count).filter(|position| !self.is_settled[*position]);
            late.for_each(|position| self.mark_suspect(position));
        }
    }

    /// Logs what each member replied, unless one about another undecided request was logged shortly before.
    pub(crate) fn report_undecided(&self, call: &str, program: &str) {
        let Some(suppressed) = self.client.take_undecided_log_slot() else { return };
        let answers = self.order.iter().zip(&self.answers);
        let members: Vec<String> =
            answers.map(|(member, answer)| format!("{} {answer}", member.node)).collect();
        info!(self.client.logger(), "ledger request undecided"; "event" => "ledger_undecided", "call" => call,
            "program" => program, "group" => self.group.number, "epoch" => self.group.epoch,
            "needed" => self.group.commit_quorum(), "members" => members.join(", "),
            "waited_ms" => self.started.elapsed().as_millis() as u64, "left_out" => suppressed);
    }

    fn mark_suspect(&self, position: usize) {
        if !self.client.allows(Mechanism::Suspects) {
            return;
        }
        self.client.member_selection().mark_suspect(&self.order[position].node, Instant::now());
    }

    /// Asks the next member and retries until it replies or the deadline passes. The task outlives this
    /// request, so that a slightly late member gets the record too. Returns false if all members are asked.
    fn ask_one_more(&mut self, request_for: &impl Fn(&Member) -> Bytes) -> bool {
        let Some(member) = self.order.get(self.asked_count) else { return false };
        let task = MemberTask {
            transport: Arc::clone(self.client.transport()),
            member_client: self.client.member_client(),
            relay_delay: MIN_RELAY_DELAY.max(self.client.member_selection().hedge_delay(self.group.number)),
            views: self.client.views(),
            member: member.clone(),
            group: Arc::clone(&self.group),
            request: request_for(member),
            deadline: self.deadline,
            retry_budget: Arc::clone(self.client.retry_budget()),
        };
        let (position, sender) = (self.asked_count, self.sender.clone());
        self.asked_count += 1;
        self.answers[position] = MemberAnswer::Silent;
        tokio::spawn(async move {
            // The receiver may have been dropped once the request is decided.
            let reply = task
                .run(|answer| drop(sender.try_send(MemberEvent::FirstAttemptFailed(position, answer))))
                .await;
            let event =
                reply.map_or(MemberEvent::GivenUp(position), |reply| MemberEvent::Replied(position, reply));
            let _ = sender.send(event).await;
        });
        true
    }
}

struct MemberTask {
    transport: Arc<Transport>,
    member_client: Arc<MemberClient>,
    relay_delay: Duration,
    views: Option<Arc<dyn ViewSink>>,
    member: Member,
    group: Arc<Group>,
    request: Bytes,
    deadline: Instant,
    retry_budget: Arc<RetryBudget>,
}

impl MemberTask {
    /// The reply of the member. `on_first_failure` is called when the first attempt fails.
    async fn run(self, on_first_failure: impl FnOnce(MemberAnswer)) -> Option<ReplyKind> {
        let mut on_first_failure = Some(on_first_failure);
        loop {
            let answer = self
                .member_client
                .request(self.member.address, &self.request, MEMBER_TIMEOUT, self.relay_delay)
                .await;
            let reply = answer.and_then(|answer| forward_view(self.views.as_ref(), answer));
            let is_behind =
                matches!(&reply, Some(ReplyKind::WrongEpoch(other)) if other.epoch < self.group.epoch);
            let is_useless = matches!(reply, None | Some(ReplyKind::Failed(_)));
            let is_over = Instant::now() + RETRY_PAUSE >= self.deadline;
            if is_over || !(is_behind || is_useless) {
                return reply;
            }
            if is_behind {
                let install = encode(&self.group, RequestKind::Install(self.group.to_message()));
                let _ = send_request(&self.transport, self.member.address, install, MEMBER_TIMEOUT).await;
                continue;
            }
            if let Some(on_first_failure) = on_first_failure.take() {
                on_first_failure(MemberAnswer::of(reply.as_ref()));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            if !self.retry_budget.try_withdraw(Instant::now()) {
                return reply;
            }
        }
    }
}
