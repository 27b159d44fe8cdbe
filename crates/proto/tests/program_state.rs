//! Tests of the program shard's state machine with a single replica, and of its snapshot encoding.

use std::time::Duration;

use sumacdrift_program::{
    Answer, BeginTurn, BudgetLimits, Command, Effect, FinishTurn, GrantChild, KnownPrefix, LeaderSettings,
    Reply, Runner, ShardLeader, ShardState, Step,
};
use sumacdrift_types::{
    CallId, ChatMessage, EngineName, HistoryMode, Incarnation, NodeId, ProgramId, ResultCode, TenantName,
    Timestamp, TurnNumber, Usage,
};

const START: Timestamp = Timestamp(1_000_000);

/// A replica group of one member: every proposed entry commits immediately.
struct SingleReplica {
    state: ShardState,
    leader: ShardLeader,
    now: Timestamp,
    effects: Vec<Effect>,
}

impl SingleReplica {
    fn new() -> Self {
        let settings = LeaderSettings { idle_lease: Duration::from_secs(60), ..LeaderSettings::default() };
        let (state, leader) = (ShardState::default(), ShardLeader::new(settings));
        Self { state, leader, now: START, effects: Vec::new() }
    }

    fn execute(&mut self, command: Command) -> Vec<(CallId, Reply)> {
        let step = self.leader.handle(&self.state, command, self.now);
        self.apply_step(step);
        self.take_replies()
    }

    fn tick(&mut self, after: Duration, is_alive: bool) -> Vec<(CallId, Reply)> {
        self.now = self.now + after;
        let step = self.leader.tick(&self.state, self.now, &|_| is_alive);
        self.apply_step(step);
        self.take_replies()
    }

    fn apply_step(&mut self, step: Step) {
        self.effects.extend(step.effects);
        for entry in step.entries {
            let next_step = self.leader.apply(&mut self.state, &entry, self.now);
            self.apply_step(next_step);
        }
    }

    fn take_replies(&mut self) -> Vec<(CallId, Reply)> {
        let effects = std::mem::take(&mut self.effects);
        let (replies, rest): (Vec<Effect>, Vec<Effect>) =
            effects.into_iter().partition(|effect| matches!(effect, Effect::Reply { .. }));
        self.effects = rest;
        let to_pair = |effect| match effect {
            Effect::Reply { call, reply } => (call, reply),
            other => panic!("not a reply: {other:?}"),
        };
        replies.into_iter().map(to_pair).collect()
    }

    fn run_turn(&mut self, call: u128, turn: u32, text: &str) {
        let replies = self.execute(begin_turn(call, turn, text, HistoryMode::Append));
        assert!(matches!(replies[..], [(_, Reply::Run(_))]), "{replies:?}");
        let replies = self.execute(finish_turn(call, text));
        assert!(matches!(replies[..], [(_, Reply::Done)]), "{replies:?}");
    }
}

fn program() -> ProgramId {
    ProgramId::new("program").expect("name should be valid")
}

fn tenant() -> TenantName {
    TenantName::new("tenant").expect("name should be valid")
}

fn user_message(text: &str) -> ChatMessage {
    ChatMessage::from_canonical(format!("{{\"content\":\"{text}\",\"role\":\"user\"}}"))
}

fn begin_turn(call: u128, turn: u32, text: &str, mode: HistoryMode) -> Command {
    Command::BeginTurn(Box::new(BeginTurn {
        call: CallId(call),
        program: program(),
        tenant: tenant(),
        parent: None,
        turn: Some(TurnNumber(turn)),
        key: None,
        mode,
        known_prefix: KnownPrefix::default(),
        messages: vec![user_message(text)],
        max_output_tokens: 60,
        limits: BudgetLimits {
            turns: 10,
            input_tokens: 1000,
            output_tokens: 100,
            seconds: 3600,
            sub_agents: 2,
        },
        runner: Runner { node: NodeId(1), incarnation: Incarnation(1) },
        wait_deadline: START + Duration::from_secs(10),
        run_timeout: Duration::from_secs(30),
    }))
}

fn finish_turn(call: u128, text: &str) -> Command {
    Command::FinishTurn(Box::new(FinishTurn {
        program: program(),
        call: CallId(call),
        answer: Answer {
            message: ChatMessage::assistant(&format!("answer to {text}")),
            finish_reason: "stop".to_owned(),
        },
        usage: Usage { prompt_tokens: 10, cached_tokens: 0, output_tokens: 30 },
        engine: EngineName::new("engine-0").expect("name should be valid"),
        other_engines: Vec::new(),
        reason: String::new(),
    }))
}

fn refusal_code(replies: &[(CallId, Reply)]) -> ResultCode {
    match replies {
        [(_, Reply::Rejected(problem))] => problem.code,
        other => panic!("expected one refusal, got {other:?}"),
    }
}

#[test]
fn later_turn_waits_for_its_predecessor() {
    let mut replica = SingleReplica::new();
    assert!(replica.execute(begin_turn(2, 1, "second", HistoryMode::Append)).is_empty());
    assert!(matches!(
        replica.execute(begin_turn(1, 0, "first", HistoryMode::Append))[..],
        [(CallId(1), Reply::Run(_))]
    ));
    let replies = replica.execute(finish_turn(1, "first"));
    let calls: Vec<CallId> = replies.iter().map(|(call, _)| *call).collect();
    assert_eq!(calls, [CallId(1), CallId(2)]);
    assert!(matches!(replies[1].1, Reply::Run(_)));
}

#[test]
fn turn_without_predecessor_is_refused_at_wait_deadline() {
    let mut replica = SingleReplica::new();
    assert!(replica.execute(begin_turn(2, 1, "second", HistoryMode::Append)).is_empty());
    let replies = replica.tick(Duration::from_secs(11), true);
    assert_eq!(refusal_code(&replies), ResultCode::TurnGap);
}

#[test]
fn repeated_turn_replays_answer_and_changed_content_is_refused() {
    let mut replica = SingleReplica::new();
    replica.run_turn(1, 0, "first");
    let replies = replica.execute(begin_turn(2, 0, "first", HistoryMode::Append));
    assert!(matches!(&replies[..], [(_, Reply::Replay(answer))] if answer.turn == TurnNumber(0)));
    let replies = replica.execute(begin_turn(3, 0, "other", HistoryMode::Append));
    assert_eq!(refusal_code(&replies), ResultCode::TurnContentDiffers);
    let replies = replica.execute(begin_turn(4, 1, "not the history", HistoryMode::Full));
    assert_eq!(refusal_code(&replies), ResultCode::HistoryMismatch);
}

#[test]
fn budget_caps_output_then_refuses_turns() {
    let mut replica = SingleReplica::new();
    replica.run_turn(1, 0, "first");
    replica.run_turn(2, 1, "second");
    let replies = replica.execute(begin_turn(3, 2, "third", HistoryMode::Append));
    assert!(matches!(&replies[..], [(_, Reply::Run(run))] if run.output_tokens == 40), "{replies:?}");
    replica.execute(finish_turn(3, "third"));
    replica.run_turn(4, 3, "fourth");
    let replies = replica.execute(begin_turn(5, 4, "fifth", HistoryMode::Append));
    assert_eq!(refusal_code(&replies), ResultCode::BudgetExhausted);
}

#[test]
fn call_on_dead_node_is_abandoned_and_charged_in_full() {
    let mut replica = SingleReplica::new();
    replica.execute(begin_turn(1, 0, "first", HistoryMode::Append));
    replica.tick(Duration::from_millis(100), false);
    replica.tick(Duration::from_secs(3), false);
    let record = replica.state.program(&program()).expect("program should exist");
    assert!(record.in_flight.is_none());
    assert_eq!(record.budget.spent.output_tokens, 60);
    // The paused node resumes and reports its answer: the response must not claim that the turn was committed.
    let replies = replica.execute(finish_turn(1, "first"));
    assert_eq!(refusal_code(&replies), ResultCode::NotCommitted);
}

#[test]
fn sub_agent_budget_is_taken_from_parent_and_unused_part_returned() {
    let mut replica = SingleReplica::new();
    replica.run_turn(1, 0, "first");
    let child = ProgramId::new("child").expect("name should be valid");
    let grant = |call: u128, child: &ProgramId| {
        Command::GrantChild(GrantChild {
            call: CallId(call),
            parent: program(),
            child: child.clone(),
            tenant: tenant(),
            share_percent: 50,
        })
    };
    let replies = replica.execute(grant(2, &child));
    let [(_, Reply::Granted(limits))] = replies[..] else { panic!("{replies:?}") };
    assert_eq!(limits.output_tokens, 35);
    // A repeated grant for the same sub-agent returns the same limits and reserves nothing more.
    assert!(matches!(replica.execute(grant(3, &child))[..], [(_, Reply::Granted(again))] if again == limits));
    let unused = sumacdrift_program::Reservation { input_tokens: 0, output_tokens: 30 };
    replica.execute(Command::ReturnChild { parent: program(), child: child.clone(), unused });
    let spent = replica.state.program(&program()).expect("program should exist").budget.spent;
    assert_eq!(spent.output_tokens, 30 + 5);
    assert_eq!(refusal_code(&replica.execute(grant(4, &child))), ResultCode::ParentUnavailable);
}

#[test]
fn idle_program_ends_and_frees_its_engines() {
    let mut replica = SingleReplica::new();
    replica.run_turn(1, 0, "first");
    replica.tick(Duration::from_millis(1), true);
    replica.tick(Duration::from_secs(61), true);
    assert!(replica.state.program(&program()).expect("program should exist").ended.is_some());
    let is_free_engines =
        |effect: &Effect| matches!(effect, Effect::FreeEngines { engines, .. } if engines.len() == 1);
    assert!(replica.effects.iter().any(is_free_engines), "{:?}", replica.effects);
}

#[test]
fn snapshot_restores_same_state() {
    let mut replica = SingleReplica::new();
    replica.run_turn(1, 0, "first");
    replica.run_turn(2, 1, "second");
    replica.execute(begin_turn(3, 2, "under way", HistoryMode::Append));
    let entries = replica.state.to_entries();
    assert_eq!(ShardState::from_entries(&entries), replica.state);
    let bytes = sumacdrift_proto::encode_entries(&entries);
    assert_eq!(sumacdrift_proto::decode_entries(bytes).expect("entries should decode"), entries);
}
