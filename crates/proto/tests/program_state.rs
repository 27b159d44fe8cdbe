//! The state machine of programs, driven directly.

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

/// A group of one: what is proposed is committed at once.
struct Single {
    state: ShardState,
    leader: ShardLeader,
    now: Timestamp,
    effects: Vec<Effect>,
}

impl Single {
    fn new() -> Self {
        let settings = LeaderSettings { idle_lease: Duration::from_secs(60), ..LeaderSettings::default() };
        let (state, leader) = (ShardState::default(), ShardLeader::new(settings));
        Self { state, leader, now: START, effects: Vec::new() }
    }

    fn command(&mut self, command: Command) -> Vec<(CallId, Reply)> {
        let step = self.leader.handle(&self.state, command, self.now);
        self.perform(step);
        self.replies()
    }

    fn tick(&mut self, after: Duration, is_alive: bool) -> Vec<(CallId, Reply)> {
        self.now = self.now + after;
        let step = self.leader.tick(&self.state, self.now, &|_| is_alive);
        self.perform(step);
        self.replies()
    }

    fn perform(&mut self, step: Step) {
        self.effects.extend(step.effects);
        for entry in step.entries {
            let next = self.leader.apply(&mut self.state, &entry, self.now);
            self.perform(next);
        }
    }

    fn replies(&mut self) -> Vec<(CallId, Reply)> {
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
        let replies = self.command(begin(call, turn, text, HistoryMode::Append));
        assert!(matches!(replies[..], [(_, Reply::Run(_))]), "{replies:?}");
        let replies = self.command(finish(call, text));
        assert!(matches!(replies[..], [(_, Reply::Done)]), "{replies:?}");
    }
}

fn program() -> ProgramId {
    ProgramId::new("program").expect("a name")
}

fn tenant() -> TenantName {
    TenantName::new("tenant").expect("a name")
}

fn user(text: &str) -> ChatMessage {
    ChatMessage::from_canonical(format!("{{\"content\":\"{text}\",\"role\":\"user\"}}"))
}

fn begin(call: u128, turn: u32, text: &str, mode: HistoryMode) -> Command {
    Command::BeginTurn(Box::new(BeginTurn {
        call: CallId(call),
        program: program(),
        tenant: tenant(),
        parent: None,
        turn: Some(TurnNumber(turn)),
        key: None,
        mode,
        known_prefix: KnownPrefix::default(),
        messages: vec![user(text)],
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

fn finish(call: u128, text: &str) -> Command {
    Command::FinishTurn(Box::new(FinishTurn {
        program: program(),
        call: CallId(call),
        answer: Answer {
            message: ChatMessage::assistant(&format!("answer to {text}")),
            finish_reason: "stop".to_owned(),
        },
        usage: Usage { prompt_tokens: 10, cached_tokens: 0, output_tokens: 30 },
        engine: EngineName::new("engine-0").expect("a name"),
        other_engines: Vec::new(),
        reason: String::new(),
    }))
}

fn refusal(replies: &[(CallId, Reply)]) -> ResultCode {
    match replies {
        [(_, Reply::Rejected(problem))] => problem.code,
        other => panic!("expected one refusal, got {other:?}"),
    }
}

#[test]
fn a_later_turn_waits_for_its_predecessor() {
    let mut single = Single::new();
    assert!(single.command(begin(2, 1, "second", HistoryMode::Append)).is_empty());
    assert!(matches!(
        single.command(begin(1, 0, "first", HistoryMode::Append))[..],
        [(CallId(1), Reply::Run(_))]
    ));
    let replies = single.command(finish(1, "first"));
    let calls: Vec<CallId> = replies.iter().map(|(call, _)| *call).collect();
    assert_eq!(calls, [CallId(1), CallId(2)]);
    assert!(matches!(replies[1].1, Reply::Run(_)));
}

#[test]
fn a_turn_whose_predecessor_never_comes_is_refused_in_time() {
    let mut single = Single::new();
    assert!(single.command(begin(2, 1, "second", HistoryMode::Append)).is_empty());
    let replies = single.tick(Duration::from_secs(11), true);
    assert_eq!(refusal(&replies), ResultCode::TurnGap);
}

#[test]
fn a_repeated_turn_gets_its_answer_and_other_content_is_refused() {
    let mut single = Single::new();
    single.run_turn(1, 0, "first");
    let replies = single.command(begin(2, 0, "first", HistoryMode::Append));
    assert!(matches!(&replies[..], [(_, Reply::Replay(answer))] if answer.turn == TurnNumber(0)));
    let replies = single.command(begin(3, 0, "other", HistoryMode::Append));
    assert_eq!(refusal(&replies), ResultCode::TurnContentDiffers);
    let replies = single.command(begin(4, 1, "not the history", HistoryMode::Full));
    assert_eq!(refusal(&replies), ResultCode::HistoryMismatch);
}

#[test]
fn output_is_capped_and_then_refused_by_the_budget() {
    let mut single = Single::new();
    single.run_turn(1, 0, "first");
    single.run_turn(2, 1, "second");
    let replies = single.command(begin(3, 2, "third", HistoryMode::Append));
    assert!(matches!(&replies[..], [(_, Reply::Run(run))] if run.output_tokens == 40), "{replies:?}");
    single.command(finish(3, "third"));
    single.run_turn(4, 3, "fourth");
    let replies = single.command(begin(5, 4, "fifth", HistoryMode::Append));
    assert_eq!(refusal(&replies), ResultCode::BudgetExhausted);
}

#[test]
fn a_call_whose_node_died_is_given_up_and_charged_in_full() {
    let mut single = Single::new();
    single.command(begin(1, 0, "first", HistoryMode::Append));
    single.tick(Duration::from_millis(100), false);
    single.tick(Duration::from_secs(3), false);
    let record = single.state.program(&program()).expect("the program");
    assert!(record.in_flight.is_none());
    assert_eq!(record.budget.spent.output_tokens, 60);
    // Its node, back from a pause, is told that the call was given up and not that it was recorded.
    let replies = single.command(finish(1, "first"));
    assert_eq!(refusal(&replies), ResultCode::NotCommitted);
}

#[test]
fn sub_agents_draw_on_their_parent_and_give_back() {
    let mut single = Single::new();
    single.run_turn(1, 0, "first");
    let child = ProgramId::new("child").expect("a name");
    let grant = |call: u128, child: &ProgramId| {
        Command::GrantChild(GrantChild {
            call: CallId(call),
            parent: program(),
            child: child.clone(),
            tenant: tenant(),
            share_percent: 50,
        })
    };
    let replies = single.command(grant(2, &child));
    let [(_, Reply::Granted(limits))] = replies[..] else { panic!("{replies:?}") };
    assert_eq!(limits.output_tokens, 35);
    // The same sub-agent asked for again gets the same part, not another.
    assert!(matches!(single.command(grant(3, &child))[..], [(_, Reply::Granted(again))] if again == limits));
    let unused = sumacdrift_program::Reservation { input_tokens: 0, output_tokens: 30 };
    single.command(Command::ReturnChild { parent: program(), child: child.clone(), unused });
    let spent = single.state.program(&program()).expect("the program").budget.spent;
    assert_eq!(spent.output_tokens, 30 + 5);
    assert_eq!(refusal(&single.command(grant(4, &child))), ResultCode::ParentUnavailable);
}

#[test]
fn a_program_that_nobody_continues_ends_and_frees_its_engines() {
    let mut single = Single::new();
    single.run_turn(1, 0, "first");
    single.tick(Duration::from_millis(1), true);
    single.tick(Duration::from_secs(61), true);
    assert!(single.state.program(&program()).expect("the program").ended.is_some());
    let frees = |effect: &Effect| matches!(effect, Effect::FreeEngines { engines, .. } if engines.len() == 1);
    assert!(single.effects.iter().any(frees), "{:?}", single.effects);
}

#[test]
fn a_snapshot_builds_the_same_state() {
    let mut single = Single::new();
    single.run_turn(1, 0, "first");
    single.run_turn(2, 1, "second");
    single.command(begin(3, 2, "under way", HistoryMode::Append));
    let entries = single.state.to_entries();
    assert_eq!(ShardState::from_entries(&entries), single.state);
    let bytes = sumacdrift_proto::encode_entries(&entries);
    assert_eq!(sumacdrift_proto::decode_entries(bytes).expect("entries"), entries);
}
