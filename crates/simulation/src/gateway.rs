//! The steps of calls on a simulated node. They follow the node's call runners one for one.

use std::time::Duration;

use rand::Rng;
use sumacdrift_calls::{CallMachine, EngineId, Failure, Next};
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_program::{
    Answer, BeginService, BeginTurn, BudgetLimits, Command, FinishTurn, KnownPrefix, Reply, RunTurn,
    ServiceResponse,
};
use sumacdrift_scheduling::{EngineWork, FinishedWork, QueueEffect, Release, context_prefixes};
use sumacdrift_types::{
    CallId, ChatMessage, HistoryMode, Incarnation, Problem, ResultCode, TenantName, Timestamp, Usage,
};

use crate::call_rules::{SERVICE, engine_id, rules_of};
use crate::node::{Waiter, engine_name};
use crate::oracle::engine_answer;
use crate::packet::{CallerAnswer, CallerRequest, CommandAnswer, Packet, TurnRequest};
use crate::task::{Stage, Task, ledger_key};
use crate::world::{ENGINES, Event, World};

/// How long an answer to a command is waited for.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a begin may be held by the leader.
const TURN_WAIT: Duration = Duration::from_secs(3);
/// How long commands that must not get lost are tried.
const COMMIT_TIME: Duration = Duration::from_secs(15);
/// How long a call may run.
const RUN_LIMIT: Duration = Duration::from_secs(10);
/// Pause before a command is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a service's answer is waited for.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    /// A caller's request reaches a gateway.
    pub(crate) fn gateway_request(&mut self, node: usize, caller: usize, request: CallerRequest) {
        let call = CallId(self.random.random());
        let one = &self.nodes[node];
        if !one.is_up || one.is_paused(self.now) {
            // Nothing answers; the caller's own timeout takes over.
            return;
        }
        let refusal = if one.is_stopping {
            Some(ResultCode::NodeStopping)
        } else if one.in_force.current().is_none() {
            Some(ResultCode::NoConfiguration)
        } else {
            None
        };
        let turn = match &request {
            CallerRequest::Turn(request) => request.turn.0,
            _ => 0,
        };
        if let Some(code) = refusal {
            let problem = Problem::not_run(code, "refused at the door");
            self.tell_caller(caller, turn, CallerAnswer::Refused { call, problem });
            return;
        }
        let machine = CallMachine::new(rules_of(&request), None, self.now);
        let task = Task {
            call,
            caller,
            request,
            stage: Stage::Beginning,
            exchange: 0,
            command: None,
            next_target: 0,
            give_up: Timestamp::default(),
            machine,
            generated: 0,
            engines: Vec::new(),
        };
        self.nodes[node].tasks.insert(call, task);
        self.begin(node, call);
    }

    fn tell_caller(&mut self, caller: usize, turn: u32, answer: CallerAnswer) {
        let way = Duration::from_micros(self.random.random_range(500..3_000));
        self.schedule(way, Event::CallerGets { caller, turn, answer: Box::new(answer) });
    }

    fn begin(&mut self, node: usize, call: CallId) {
        let runner = self.nodes[node].runner();
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        let (command, give_up) = match &task.request {
            CallerRequest::Turn(request) => {
                let begin = begin_turn(call, request, runner, self.now);
                (Command::BeginTurn(Box::new(begin)), TURN_WAIT)
            }
            CallerRequest::Service { key, body } => {
                let Some(key) = ledger_key(key) else { return };
                let begin = BeginService { call, key, request: [*body; 16], runner, run_limit: RUN_LIMIT };
                (Command::BeginService(begin), COMMIT_TIME)
            }
            CallerRequest::End { program } => {
                task.stage = Stage::Ending;
                let command = Command::EndProgram { call, program: program.clone(), tenant: Some(tenant()) };
                (command, TURN_WAIT)
            }
        };
        self.start_command(node, call, command, give_up + COMMAND_TIMEOUT);
    }

    /// Begins to send a command, which is repeated until it is answered or given up.
    fn start_command(&mut self, node: usize, call: CallId, command: Command, tried_for: Duration) {
        let give_up = self.now + tried_for;
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.command = Some(command);
            task.give_up = give_up;
            task.next_target = 0;
        }
        self.send_command(node, call);
    }

    fn send_command(&mut self, node: usize, call: CallId) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        let Some(task) = self.nodes[node].tasks.get(&call) else { return };
        let Some(command) = task.command.clone() else { return };
        let tried = task.next_target;
        let target = self.next_target(node, tried);
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.exchange = exchange;
        }
        self.nodes[node].exchanges.insert(exchange, call);
        let holds = matches!(command, Command::BeginTurn(_));
        let timeout = if holds { TURN_WAIT + COMMAND_TIMEOUT } else { COMMAND_TIMEOUT };
        let incarnation = self.nodes[node].incarnation;
        self.schedule(timeout, Event::TaskTimer { node, incarnation, call, exchange });
        self.send(node, target, Packet::Command { exchange, command });
    }

    /// No answer came in time.
    pub(crate) fn task_timer(&mut self, node: usize, call: CallId, exchange: u64) {
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        if task.exchange != exchange {
            return;
        }
        if matches!(task.stage, Stage::Queueing { .. }) {
            self.queue_lost(node, call);
            return;
        }
        task.next_target += 1;
        self.nodes[node].leader = None;
        self.nodes[node].exchanges.remove(&exchange);
        self.retry_command(node, call);
    }

    /// The pause before a command is tried again is over.
    pub(crate) fn task_retry(&mut self, node: usize, call: CallId, exchange: u64) {
        let task = self.nodes[node].tasks.get(&call);
        if task.is_some_and(|task| task.exchange == exchange) {
            self.retry_command(node, call);
        }
    }

    fn retry_command(&mut self, node: usize, call: CallId) {
        let now = self.now;
        let Some(task) = self.nodes[node].tasks.get(&call) else { return };
        if now >= task.give_up {
            self.command_given_up(node, call);
        } else {
            self.send_command(node, call);
        }
    }

    fn command_given_up(&mut self, node: usize, call: CallId) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        match task.stage {
            Stage::Beginning => {
                self.refuse(node, call, Problem::not_run(ResultCode::NoLeader, "no leader answered"));
                // Whether the call was admitted is not known; this settles it.
                match &task.request {
                    CallerRequest::Turn(request) => {
                        let program = request.program.clone();
                        let abandon = Command::AbandonTurn {
                            program,
                            call,
                            output_tokens: 0,
                            engines: Vec::new(),
                            reason: "no answer".to_owned(),
                        };
                        self.settle(node, task, abandon);
                    }
                    CallerRequest::Service { key, .. } => {
                        if let Some(key) = ledger_key(key) {
                            self.settle(node, task, Command::ReleaseService { key, call });
                        }
                    }
                    CallerRequest::End { .. } => {}
                }
            }
            Stage::Finishing { .. } | Stage::FinishingService => {
                let problem = Problem::unknown(ResultCode::NotCommitted, "the answer was not committed");
                self.refuse(node, call, problem);
            }
            Stage::Ending => {
                self.refuse(node, call, Problem::not_run(ResultCode::NoLeader, "no leader answered"));
            }
            _ => {
                self.nodes[node].tasks.remove(&call);
            }
        }
    }

    /// Keeps a task only to record how it ended; its caller has been told.
    fn settle(&mut self, node: usize, mut task: Task, command: Command) {
        let call = task.call;
        task.stage = Stage::Abandoning;
        self.nodes[node].tasks.insert(call, task);
        self.start_command(node, call, command, COMMIT_TIME);
    }

    fn refuse(&mut self, node: usize, call: CallId, problem: Problem) {
        if let Some(task) = self.nodes[node].tasks.remove(&call) {
            let turn = task.turn();
            self.tell_caller(task.caller, turn, CallerAnswer::Refused { call, problem });
        }
    }

    /// An answer to a command arrives.
    pub(crate) fn command_answered(
        &mut self,
        node: usize,
        from: usize,
        exchange: u64,
        answer: CommandAnswer,
    ) {
        let Some(call) = self.nodes[node].exchanges.remove(&exchange) else { return };
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        if task.exchange != exchange {
            return;
        }
        match answer {
            CommandAnswer::NotLeader(hint) => {
                task.next_target += 1;
                let marker = self.next_exchange;
                self.next_exchange += 1;
                task.exchange = marker;
                let learns = hint.filter(|hint| *hint != from);
                self.nodes[node].leader = learns;
                let incarnation = self.nodes[node].incarnation;
                let retry = Event::TaskRetry { node, incarnation, call, exchange: marker };
                self.schedule(RETRY_PAUSE, retry);
            }
            CommandAnswer::Reply(reply) => {
                self.nodes[node].leader = Some(from);
                self.replied(node, call, reply);
            }
        }
    }

    fn replied(&mut self, node: usize, call: CallId, reply: Reply) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        match (&task.stage, reply) {
            (Stage::Abandoning, _) => {
                self.nodes[node].tasks.remove(&call);
            }
            (_, Reply::Refused(problem)) => self.refuse(node, call, problem),
            (_, Reply::Abandoned) => {
                let problem = Problem::unknown(ResultCode::NotCommitted, "the call was given up meanwhile");
                self.refuse(node, call, problem);
            }
            (Stage::Beginning, Reply::Run(run)) => self.place(node, call, *run),
            (Stage::Beginning, Reply::Replay(recorded)) => {
                self.answer_turn(node, call, recorded.answer.message);
            }
            (Stage::Beginning, Reply::RunService) => self.run_service(node, call),
            (Stage::Beginning, Reply::ReplayService(_)) => {
                self.answer(node, call, CallerAnswer::Service);
            }
            (Stage::Finishing { message }, Reply::Done) => {
                let message = message.clone();
                self.answer_turn(node, call, message);
            }
            (Stage::FinishingService, Reply::Done) => {
                self.answer(node, call, CallerAnswer::Service);
            }
            (Stage::Ending, Reply::Done) => self.answer(node, call, CallerAnswer::Ended),
            _ => {}
        }
    }

    fn answer_turn(&mut self, node: usize, call: CallId, message: ChatMessage) {
        self.answer(node, call, CallerAnswer::Turn { message });
    }

    fn answer(&mut self, node: usize, call: CallId, answer: CallerAnswer) {
        if let Some(task) = self.nodes[node].tasks.remove(&call) {
            self.tell_caller(task.caller, task.turn(), answer);
        }
    }

    /// Chooses an engine and queues the call at its owner.
    fn place(&mut self, node: usize, call: CallId, run: RunTurn) {
        let leaving = self.nodes[node].in_force.current().map(|present| present.leaving.clone());
        let leaving = leaving.unwrap_or_default();
        let usable: Vec<usize> = (0..ENGINES)
            .filter(|engine| !leaving.contains(engine) || is_broken(Rule::LeavingEngineRefuses))
            .collect();
        let engine = usable[self.random.random_range(0..usable.len())];
        let owner = self.nodes[node].owner_of(engine, self.now);
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        let Some(request) = task.turn_request().cloned() else { return };
        let work = EngineWork {
            call,
            program: request.program.clone(),
            tenant: tenant(),
            rank: 0,
            prefixes: context_prefixes(&prompt(&run, &request)),
            max_output_tokens: run.output_tokens,
            attained_tokens: run.attained_tokens,
            deadline: None,
        };
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        task.stage = Stage::Queueing { run: Box::new(run), engine, owner };
        task.exchange = exchange;
        self.nodes[node].exchanges.insert(exchange, call);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(COMMAND_TIMEOUT * 3, Event::TaskTimer { node, incarnation, call, exchange });
        self.send(node, owner, Packet::Enqueue { exchange, engine, work: Box::new(work) });
    }

    /// The owner did not answer: give back what it may have granted and try elsewhere.
    fn queue_lost(&mut self, node: usize, call: CallId) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        let Stage::Queueing { run, engine, owner } = task.stage else { return };
        self.send(node, owner, Packet::Forget { engine, call });
        self.next_attempt(node, call, *run, engine, Failure::NotSent);
    }

    fn next_attempt(&mut self, node: usize, call: CallId, run: RunTurn, engine: usize, failure: Failure) {
        let now = self.now;
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        if let Next::Try { .. } = task.machine.record_failure(&engine_id(engine), failure, now) {
            self.place(node, call, run);
            return;
        }
        let ran = task.machine.ran();
        let problem = Problem::not_run(ResultCode::BackEndCut, "all attempts failed").with_ran(ran);
        let task = task.clone();
        self.refuse(node, call, problem);
        let Some(request) = task.turn_request().cloned() else { return };
        let engines = task.engines.iter().map(|engine| engine_name(*engine)).collect();
        let abandon = Command::AbandonTurn {
            program: request.program,
            call,
            output_tokens: task.generated,
            engines,
            reason: "all attempts failed".to_owned(),
        };
        self.settle(node, task, abandon);
    }

    /// A call arrives at an engine's owner.
    pub(crate) fn enqueue(
        &mut self,
        node: usize,
        from: usize,
        exchange: u64,
        engine: usize,
        work: EngineWork,
    ) {
        let waiter = Waiter { node: from, incarnation: self.nodes[from].incarnation, exchange };
        let now = self.now;
        self.nodes[node].queue_waiting.insert(work.call, waiter);
        let effects = self.nodes[node].queue(engine).enqueue(work, now);
        self.queue_effects(node, effects);
    }

    pub(crate) fn queue_effects(&mut self, node: usize, effects: Vec<QueueEffect>) {
        for effect in effects {
            let (call, outcome) = match effect {
                QueueEffect::Grant { call } => (call, Ok(())),
                QueueEffect::Reject { call, problem } => (call, Err(problem)),
            };
            if let Some(waiter) = self.nodes[node].queue_waiting.remove(&call) {
                let exchange = waiter.exchange;
                self.send(node, waiter.node, Packet::EnqueueAnswer { exchange, outcome });
            }
        }
    }

    pub(crate) fn forget_queued(&mut self, node: usize, engine: usize, call: CallId) {
        let now = self.now;
        self.nodes[node].queue_waiting.remove(&call);
        let queue = self.nodes[node].queue(engine);
        queue.cancel(call);
        let release = Release { call, finished: None, is_engine_fault: false };
        let effects = queue.release(release, now);
        self.queue_effects(node, effects);
    }

    /// The owner granted or refused.
    pub(crate) fn enqueue_answered(&mut self, node: usize, exchange: u64, outcome: Result<(), Problem>) {
        let Some(call) = self.nodes[node].exchanges.remove(&exchange) else { return };
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        if task.exchange != exchange {
            return;
        }
        let Stage::Queueing { run, engine, owner } = task.stage.clone() else { return };
        match outcome {
            Ok(()) => self.run_on_engine(node, task, *run, engine, owner),
            Err(_) => self.next_attempt(node, call, *run, engine, Failure::NotSent),
        }
    }

    fn run_on_engine(&mut self, node: usize, mut task: Task, run: RunTurn, engine: usize, owner: usize) {
        let call = task.call;
        let Some(request) = task.turn_request().cloned() else { return };
        let prompt = prompt(&run, &request);
        self.oracle.engine_run(call, &request.program, &prompt);
        let is_excused = self.is_disturbed();
        self.oracle.sent_to(engine, is_excused, self.now);
        self.memory[engine].insert(request.program.clone());
        let tokens = run.output_tokens.min(request.wanted_output);
        self.oracle.engine_generated(&request.program, tokens);
        task.machine.record_sent(&engine_id(engine));
        task.machine.record_head_sent();
        task.generated += tokens;
        task.engines.push(engine);
        task.exchange = self.next_exchange;
        self.next_exchange += 1;
        task.stage = Stage::Running { run: Box::new(run), engine, owner };
        self.nodes[node].tasks.insert(call, task);
        let is_cut = self.cuts_streams && self.random.random_bool(0.5);
        let length = Duration::from_millis(self.random.random_range(20..400));
        let incarnation = self.nodes[node].incarnation;
        self.schedule(length, Event::EngineDone { node, incarnation, call, is_cut });
    }

    /// An engine's stream ended, whole or cut.
    pub(crate) fn engine_done(&mut self, node: usize, call: CallId, is_cut: bool) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        let Stage::Running { run, engine, owner } = task.stage.clone() else { return };
        let Some(request) = task.turn_request().cloned() else { return };
        let tokens = run.output_tokens.min(request.wanted_output);
        let usage = Usage { prompt_tokens: 1, cached_tokens: 0, output_tokens: task.generated };
        let finished = FinishedWork {
            usage,
            time_to_first_token: Duration::from_millis(10),
            decode_time: Duration::from_millis(10),
            end: None,
        };
        let release = Release { call, finished: (!is_cut).then_some(finished), is_engine_fault: is_cut };
        self.send(node, owner, Packet::Release { engine, release });
        if is_cut {
            // What the cut stream generated counts against the budget, so the next attempt gets the rest.
            let mut rest = *run;
            rest.output_tokens = rest.output_tokens.saturating_sub(tokens);
            let is_used_up = rest.output_tokens == 0;
            if let Some(task) = self.nodes[node].tasks.get_mut(&call).filter(|_| is_used_up) {
                task.machine.forbid_resumption();
            }
            self.next_attempt(node, call, rest, engine, Failure::Lost);
            return;
        }
        let message = engine_answer(&prompt(&run, &request));
        let others = task.engines.iter().filter(|other| **other != engine);
        let finish = FinishTurn {
            program: request.program,
            call,
            answer: Answer { message: message.clone(), finish_reason: "stop".to_owned() },
            usage,
            engine: engine_name(engine),
            other_engines: others.map(|other| engine_name(*other)).collect(),
            reason: String::new(),
        };
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.stage = Stage::Finishing { message };
        }
        self.start_command(node, call, Command::FinishTurn(Box::new(finish)), COMMIT_TIME);
    }

    fn run_service(&mut self, node: usize, call: CallId) {
        let incarnation = self.nodes[node].incarnation;
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.stage = Stage::RunningService;
            task.machine.record_sent(&EngineId::new(SERVICE));
        }
        let is_hung = self.hangs_tools && self.random.random_bool(0.6);
        let way = Duration::from_millis(self.random.random_range(1..30));
        self.schedule(way, Event::ServiceRuns { node, incarnation, call, is_hung });
    }

    /// The request reaches the service, whatever has become of its sender.
    pub(crate) fn service_runs(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        call: CallId,
        is_hung: bool,
    ) {
        let task = self.nodes[node].tasks.get(&call).filter(|_| self.nodes[node].incarnation == incarnation);
        let Some(CallerRequest::Service { key, .. }) = task.map(|task| task.request.clone()) else { return };
        self.oracle.service_run(call, &key);
        let wait = if is_hung { SERVICE_TIMEOUT } else { Duration::from_millis(20) };
        self.schedule(wait, Event::ServiceDone { node, incarnation, call, is_lost: is_hung });
    }

    /// The service's answer arrives, or is given up.
    pub(crate) fn service_done(&mut self, node: usize, call: CallId, is_lost: bool) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        let CallerRequest::Service { key, .. } = &task.request else { return };
        let Some(key) = ledger_key(key) else { return };
        if is_lost {
            let mut machine = task.machine.clone();
            let next = machine.record_failure(&EngineId::new(SERVICE), Failure::Lost, self.now);
            debug_assert!(matches!(next, Next::Fail { .. }), "a call that runs once is never tried again");
            let problem = Problem::not_run(ResultCode::BackEndCut, "the service's answer is lost");
            let problem = problem.with_ran(machine.ran());
            self.refuse(node, call, problem);
            self.settle(node, task, Command::LoseService { key, call });
            return;
        }
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.stage = Stage::FinishingService;
        }
        let command = Command::FinishService { key, call, response: service_response() };
        self.start_command(node, call, command, COMMIT_TIME);
    }

    /// A program ended while its call was under way.
    pub(crate) fn cancel_task(&mut self, node: usize, call: CallId) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        if let Stage::Running { engine, owner, .. } = task.stage {
            let release = Release { call, finished: None, is_engine_fault: false };
            self.send(node, owner, Packet::Release { engine, release });
            self.refuse(node, call, Problem::unknown(ResultCode::Cancelled, "the program was ended"));
        }
    }
}

fn begin_turn(
    call: CallId,
    request: &TurnRequest,
    runner: sumacdrift_program::Runner,
    now: Timestamp,
) -> BeginTurn {
    BeginTurn {
        call,
        program: request.program.clone(),
        tenant: tenant(),
        parent: None,
        turn: Some(request.turn),
        key: None,
        mode: request.mode,
        known_prefix: KnownPrefix::default(),
        messages: request.messages.clone(),
        wanted_output: request.wanted_output,
        limits: BudgetLimits {
            turns: 100,
            input_tokens: 1_000_000,
            output_tokens: request.output_budget,
            seconds: 3_600,
            sub_agents: 0,
        },
        runner,
        wait_until: now + TURN_WAIT,
        run_limit: RUN_LIMIT,
    }
}

/// The prompt that goes to the engine: what was recorded, if the caller sent only what is new, and the new.
fn prompt(run: &RunTurn, request: &TurnRequest) -> Vec<ChatMessage> {
    match request.mode {
        HistoryMode::Full => request.messages.clone(),
        HistoryMode::Append => run.earlier_messages.iter().chain(&request.messages).cloned().collect(),
    }
}

fn service_response() -> ServiceResponse {
    ServiceResponse { status: 200, content_type: None, body: b"done".to_vec() }
}

fn tenant() -> TenantName {
    TenantName::new("tenant").unwrap_or_else(|_| unreachable!("a valid constant"))
}
