//! One question to the group: as many members as are needed at first, the others when those are late or of no use.

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
use crate::news::{ViewSink, hand_view_on};
use crate::reach::{LEAST_DETOUR, Reach};
use crate::retry_budget::RetryBudget;
use crate::rpc::{ask, encode};

/// Pause before a member that gave no usable answer is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(60);
/// How long a member's answer is waited for before it is asked again.
pub(crate) const MEMBER_TIMEOUT: Duration = Duration::from_millis(700);

/// What the task that asks a member tells, with the member's place in the order.
enum Told {
    /// Its answer.
    Answered(usize, ReplyKind),
    /// The first attempt was of no use; it is asked again.
    Failing(usize, MemberAnswer),
    /// No attempt was of use.
    GivenUp(usize),
}

/// One question to the group.
pub(crate) struct Asking<'a> {
    client: &'a LedgerClient,
    group: Arc<Group>,
    order: Vec<Member>,
    asked: usize,
    is_settled: Vec<bool>,
    said: Vec<MemberAnswer>,
    began: Instant,
    hedge_at: Instant,
    is_hedged: bool,
    deadline: Instant,
    sender: mpsc::Sender<Told>,
    answers: mpsc::Receiver<Told>,
}

impl<'a> Asking<'a> {
    /// A question to members in this order, which nobody was asked yet.
    pub(crate) fn new(
        client: &'a LedgerClient,
        group: Arc<Group>,
        order: Vec<Member>,
        deadline: Instant,
    ) -> Self {
        let (sender, answers) = mpsc::channel(order.len().max(1) * 2);
        let is_settled = vec![false; order.len()];
        let said = vec![MemberAnswer::NotAsked; order.len()];
        let began = Instant::now();
        let hedge_at = began + client.suspects().hedge_after(group.number);
        Self {
            client,
            group,
            order,
            asked: 0,
            is_settled,
            said,
            began,
            hedge_at,
            is_hedged: false,
            deadline,
            sender,
            answers,
        }
    }

    /// Who is asked first.
    pub(crate) fn first(&self) -> Option<&Member> {
        self.order.first()
    }

    /// Asks so many members.
    pub(crate) fn begin(&mut self, members: usize, request_for: &impl Fn(&Member) -> Bytes) {
        self.client.retry_budget().asked(members);
        for _ in 0..members {
            self.ask_one_more(request_for);
        }
    }

    /// The next answer; `None` when all have answered for good or the time is over.
    ///
    /// Where no further answer can come from those that were asked, or they take long, others are asked.
    pub(crate) async fn next(&mut self, request_for: &impl Fn(&Member) -> Bytes) -> Option<ReplyKind> {
        loop {
            if self.is_settled[..self.asked].iter().all(|settled| *settled) && !self.ask_one_more(request_for)
            {
                return None;
            }
            let may_hedge = self.asked < self.order.len() && self.client.allows(Mechanism::Hedging);
            let until = if may_hedge { self.hedge_at.min(self.deadline) } else { self.deadline };
            match tokio::time::timeout_at(until, self.answers.recv()).await {
                Ok(Some(Told::Answered(
                    position,
                    reply @ (ReplyKind::NotVoting(_) | ReplyKind::Busy(_)),
                ))) => {
                    // It may have the record, and will not vote soon.
                    self.said[position] = MemberAnswer::of(Some(&reply));
                    self.is_settled[position] = true;
                    self.suspect(position);
                    self.ask_one_more(request_for);
                }
                Ok(Some(Told::Answered(position, reply))) => {
                    self.said[position] = MemberAnswer::of(Some(&reply));
                    self.is_settled[position] = true;
                    return Some(reply);
                }
                Ok(Some(Told::Failing(position, answer))) => {
                    self.said[position] = answer;
                    self.suspect(position);
                    self.ask_one_more(request_for);
                }
                Ok(Some(Told::GivenUp(position))) => self.is_settled[position] = true,
                Ok(None) => return None,
                Err(_) if may_hedge && self.hedge_at < self.deadline => self.hedge(request_for),
                Err(_) => return None,
            }
        }
    }

    /// Those asked so far are late: the others are asked too, as far as the budget allows. Without one it is tried again
    /// after the same time.
    fn hedge(&mut self, request_for: &impl Fn(&Member) -> Bytes) {
        while self.asked < self.order.len() {
            if !self.client.retry_budget().may_ask_again(Instant::now()) {
                self.hedge_at = Instant::now() + self.client.suspects().hedge_after(self.group.number);
                return;
            }
            self.is_hedged = true;
            self.ask_one_more(request_for);
        }
    }

    /// The question is decided. Who was late while others were not is asked last for a while.
    pub(crate) fn decided(&self) {
        self.client.suspects().decided_after(self.group.number, self.began.elapsed());
        if self.is_hedged {
            let late = (0..self.asked).filter(|position| !self.is_settled[*position]);
            late.for_each(|position| self.suspect(position));
        }
    }

    /// The question was not decided: says what each member said, unless that was said just now.
    pub(crate) fn report_undecided(&self, call: &str, program: &str) {
        let Some(left_out) = self.client.may_report_undecided() else { return };
        let said = self.order.iter().zip(&self.said);
        let members: Vec<String> = said.map(|(member, said)| format!("{} {said}", member.node)).collect();
        info!(self.client.logger(), "ledger question undecided"; "event" => "ledger_undecided", "call" => call,
            "program" => program, "group" => self.group.number, "epoch" => self.group.epoch,
            "needed" => self.group.majority(), "members" => members.join(", "),
            "waited_ms" => self.began.elapsed().as_millis() as u64, "left_out" => left_out);
    }

    fn suspect(&self, position: usize) {
        if !self.client.allows(Mechanism::Suspects) {
            return;
        }
        self.client.suspects().suspect(&self.order[position].node, Instant::now());
    }

    /// Asks the next member, again and again until it answers or the time is over. It goes on being asked when its
    /// answer is no longer waited for, so that a member that is a moment late has the record too.
    fn ask_one_more(&mut self, request_for: &impl Fn(&Member) -> Bytes) -> bool {
        let Some(member) = self.order.get(self.asked) else { return false };
        let task = MemberTask {
            transport: Arc::clone(self.client.transport()),
            reach: self.client.reach(),
            detour_after: LEAST_DETOUR.max(self.client.suspects().hedge_after(self.group.number)),
            views: self.client.views(),
            member: member.clone(),
            group: Arc::clone(&self.group),
            request: request_for(member),
            deadline: self.deadline,
            retry_budget: Arc::clone(self.client.retry_budget()),
        };
        let (position, sender) = (self.asked, self.sender.clone());
        self.asked += 1;
        self.said[position] = MemberAnswer::Silent;
        tokio::spawn(async move {
            // Whoever asked may have what it needs and be gone.
            let reply = task.run(|answer| drop(sender.try_send(Told::Failing(position, answer)))).await;
            let told = reply.map_or(Told::GivenUp(position), |reply| Told::Answered(position, reply));
            let _ = sender.send(told).await;
        });
        true
    }
}

struct MemberTask {
    transport: Arc<Transport>,
    reach: Arc<Reach>,
    detour_after: Duration,
    views: Option<Arc<dyn ViewSink>>,
    member: Member,
    group: Arc<Group>,
    request: Bytes,
    deadline: Instant,
    retry_budget: Arc<RetryBudget>,
}

impl MemberTask {
    /// The member's answer. `failed` is told of the first attempt that was of no use.
    async fn run(self, failed: impl FnOnce(MemberAnswer)) -> Option<ReplyKind> {
        let mut failed = Some(failed);
        loop {
            let answer =
                self.reach.ask(self.member.address, &self.request, MEMBER_TIMEOUT, self.detour_after).await;
            let reply = answer.and_then(|answer| hand_view_on(self.views.as_ref(), answer));
            let is_behind =
                matches!(&reply, Some(ReplyKind::WrongEpoch(other)) if other.epoch < self.group.epoch);
            let is_useless = matches!(reply, None | Some(ReplyKind::Failed(_)));
            let is_over = Instant::now() + ASK_AGAIN_AFTER >= self.deadline;
            if is_over || !(is_behind || is_useless) {
                return reply;
            }
            if is_behind {
                let install = encode(&self.group, RequestKind::Install(self.group.to_message()));
                let _ = ask(&self.transport, self.member.address, install, MEMBER_TIMEOUT).await;
                continue;
            }
            if let Some(failed) = failed.take() {
                failed(MemberAnswer::of(reply.as_ref()));
            }
            tokio::time::sleep(ASK_AGAIN_AFTER).await;
            if !self.retry_budget.may_ask_again(Instant::now()) {
                return reply;
            }
        }
    }
}
