//! Call handling on a simulated node, with the same steps as the node's call runners.

use std::time::Duration;

use rand::Rng;
use sumacdrift_calls::{CallMachine, EngineId, EngineVersion, Failure, Next};
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_program::{
    Answer, BeginService, BeginTurn, BudgetLimits, Command, FinishTurn, KnownPrefix, Reply, RunTurn,
    ServiceResponse,
};
use sumacdrift_scheduling::{EngineWork, FinishedWork, QueueEffect, Release, context_prefixes};
use sumacdrift_types::{
    CallId, ChatMessage, HistoryMode, Incarnation, Problem, ResultCode, TenantName, Timestamp, Usage,
};

use crate::call_rules::{SERVICE_BACK_END, call_rules, engine_id};
use crate::node::{Waiter, engine_name};
use crate::oracle::engine_answer;
use crate::packet::{CallerAnswer, CallerRequest, CommandAnswer, Packet, TurnRequest};
use crate::task::{Stage, Task, ledger_key};
use crate::world::{ENGINES, Event, World};

const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the leader may hold a turn before admission.
const MAX_TURN_WAIT: Duration = Duration::from_secs(3);
/// How long a command that must be committed is retried.
const COMMIT_RETRY_TIME: Duration = Duration::from_secs(15);
const RUN_LIMIT: Duration = Duration::from_secs(10);
/// Delay before a command that reached no leader is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
const SERVICE_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(crate) fn handle_request(&mut self, node: usize, caller: usize, request: CallerRequest) {
        let call = CallId(self.random.random());
        let sim_node = &self.nodes[node];
        if !sim_node.is_up || sim_node.is_paused(self.now) {
            // No answer is sent; the caller times out.
            return;
        }
        let rejection = if sim_node.is_stopping {
            Some(ResultCode::NodeStopping)
        } else if sim_node.configuration.current().is_none() {
            Some(ResultCode::NoConfiguration)
        } else {
            None
        };
        let turn = match &request {
            CallerRequest::Turn(request) => request.turn.0,
            _ => 0,
        };
        if let Some(code) = rejection {
            let problem = Problem::not_run(code, "rejected before admission");
            self.send_answer(caller, turn, CallerAnswer::Refused { call, problem });
            return;
        }
        let machine = CallMachine::new(call_rules(&request), None, self.now);
        let task = Task {
            call,
            caller,
            request,
            stage: Stage::AwaitingAdmission,
            exchange: 0,
            command: None,
            target_index: 0,
            retry_deadline: Timestamp::default(),
            machine,
            generated_tokens: 0,
            engines: Vec::new(),
        };
        self.nodes[node].tasks.insert(call, task);
        self.request_admission(node, call);
    }

    fn send_answer(&mut self, caller: usize, turn: u32, answer: CallerAnswer) {
        let delay = Duration::from_micros(self.random.random_range(500..3_000));
        self.schedule(delay, Event::CallerGets { caller, turn, answer: Box::new(answer) });
    }

    fn request_admission(&mut self, node: usize, call: CallId) {
        let runner = self.nodes[node].runner();
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        let (command, retry_for) = match &task.request {
            CallerRequest::Turn(request) => {
                let begin = begin_turn(call, request, runner, self.now);
                (Command::BeginTurn(Box::new(begin)), MAX_TURN_WAIT)
            }
            CallerRequest::Service { key, body } => {
                let Some(key) = ledger_key(key) else { return };
                let begin = BeginService { call, key, request: [*body; 16], runner, run_timeout: RUN_LIMIT };
                (Command::BeginService(begin), COMMIT_RETRY_TIME)
            }
            CallerRequest::End { program } => {
                task.stage = Stage::EndingProgram;
                let command = Command::EndProgram { call, program: program.clone(), tenant: Some(tenant()) };
                (command, MAX_TURN_WAIT)
            }
        };
        self.start_command(node, call, command, retry_for + COMMAND_TIMEOUT);
    }

    /// Sends a command and retries it until it is answered or `retry_for` has passed.
    fn start_command(&mut self, node: usize, call: CallId, command: Command, retry_for: Duration) {
        let retry_deadline = self.now + retry_for;
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.command = Some(command);
            task.retry_deadline = retry_deadline;
            task.target_index = 0;
        }
        self.send_command(node, call);
    }

    fn send_command(&mut self, node: usize, call: CallId) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        let Some(task) = self.nodes[node].tasks.get(&call) else { return };
        let Some(command) = task.command.clone() else { return };
        let tried = task.target_index;
        let target = self.choose_target(node, tried);
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.exchange = exchange;
        }
        self.nodes[node].pending_exchanges.insert(exchange, call);
        let may_be_held = matches!(command, Command::BeginTurn(_));
        let timeout = if may_be_held { MAX_TURN_WAIT + COMMAND_TIMEOUT } else { COMMAND_TIMEOUT };
        let incarnation = self.nodes[node].incarnation;
        self.schedule(timeout, Event::TaskTimer { node, incarnation, call, exchange });
        self.send(node, target, Packet::Command { exchange, command });
    }

    /// Handles an exchange that got no answer in time.
    pub(crate) fn handle_task_timeout(&mut self, node: usize, call: CallId, exchange: u64) {
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        if task.exchange != exchange {
            return;
        }
        if matches!(task.stage, Stage::Queued { .. }) {
            self.handle_enqueue_timeout(node, call);
            return;
        }
        task.target_index += 1;
        self.nodes[node].leader = None;
        self.nodes[node].pending_exchanges.remove(&exchange);
        self.retry_command(node, call);
    }

    /// Retries a command after the retry delay.
    pub(crate) fn handle_task_retry(&mut self, node: usize, call: CallId, exchange: u64) {
        let task = self.nodes[node].tasks.get(&call);
        if task.is_some_and(|task| task.exchange == exchange) {
            self.retry_command(node, call);
        }
    }

    fn retry_command(&mut self, node: usize, call: CallId) {
        let now = self.now;
        let Some(task) = self.nodes[node].tasks.get(&call) else { return };
        if now >= task.retry_deadline {
            self.fail_command(node, call);
        } else {
            self.send_command(node, call);
        }
    }

    fn fail_command(&mut self, node: usize, call: CallId) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        match task.stage {
            Stage::AwaitingAdmission => {
                self.reject_call(node, call, Problem::not_run(ResultCode::NoLeader, "no leader answered"));
                // The call may have been admitted; this command ends it in that case.
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
                        self.commit_failure(node, task, abandon);
                    }
                    CallerRequest::Service { key, .. } => {
                        if let Some(key) = ledger_key(key) {
                            self.commit_failure(node, task, Command::ReleaseService { key, call });
                        }
                    }
                    CallerRequest::End { .. } => {}
                }
            }
            Stage::CommittingAnswer { .. } | Stage::CommittingService => {
                let problem = Problem::unknown(ResultCode::NotCommitted, "the answer was not committed");
                self.reject_call(node, call, problem);
            }
            Stage::EndingProgram => {
                self.reject_call(node, call, Problem::not_run(ResultCode::NoLeader, "no leader answered"));
            }
            _ => {
                self.nodes[node].tasks.remove(&call);
            }
        }
    }

    /// Commits the end of a call whose caller was already answered.
    fn commit_failure(&mut self, node: usize, mut task: Task, command: Command) {
        let call = task.call;
        task.stage = Stage::CommittingFailure;
        self.nodes[node].tasks.insert(call, task);
        self.start_command(node, call, command, COMMIT_RETRY_TIME);
    }

    fn reject_call(&mut self, node: usize, call: CallId, problem: Problem) {
        if let Some(task) = self.nodes[node].tasks.remove(&call) {
            let turn = task.turn();
            self.send_answer(task.caller, turn, CallerAnswer::Refused { call, problem });
        }
    }

    pub(crate) fn handle_command_answer(
        &mut self,
        node: usize,
        from: usize,
        exchange: u64,
        answer: CommandAnswer,
    ) {
        let Some(call) = self.nodes[node].pending_exchanges.remove(&exchange) else { return };
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        if task.exchange != exchange {
            return;
        }
        match answer {
            CommandAnswer::NotLeader(hint) => {
                task.target_index += 1;
                let retry_exchange = self.next_exchange;
                self.next_exchange += 1;
                task.exchange = retry_exchange;
                let new_leader = hint.filter(|hint| *hint != from);
                self.nodes[node].leader = new_leader;
                let incarnation = self.nodes[node].incarnation;
                let retry = Event::TaskRetry { node, incarnation, call, exchange: retry_exchange };
                self.schedule(RETRY_DELAY, retry);
            }
            CommandAnswer::Reply(reply) => {
                self.nodes[node].leader = Some(from);
                self.handle_reply(node, call, reply);
            }
        }
    }

    fn handle_reply(&mut self, node: usize, call: CallId, reply: Reply) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        match (&task.stage, reply) {
            (Stage::CommittingFailure, _) => {
                self.nodes[node].tasks.remove(&call);
            }
            (_, Reply::Rejected(problem)) => self.reject_call(node, call, problem),
            (_, Reply::Abandoned) => {
                let problem =
                    Problem::unknown(ResultCode::NotCommitted, "the call was abandoned before its commit");
                self.reject_call(node, call, problem);
            }
            (Stage::AwaitingAdmission, Reply::Run(run)) => self.enqueue_turn(node, call, *run),
            (Stage::AwaitingAdmission, Reply::Replay(recorded)) => {
                self.complete_turn(node, call, recorded.answer.message);
            }
            (Stage::AwaitingAdmission, Reply::RunService) => self.run_service(node, call),
            (Stage::AwaitingAdmission, Reply::ReplayService(_)) => {
                self.complete_call(node, call, CallerAnswer::Service);
            }
            (Stage::CommittingAnswer { message }, Reply::Done) => {
                let message = message.clone();
                self.complete_turn(node, call, message);
            }
            (Stage::CommittingService, Reply::Done) => {
                self.complete_call(node, call, CallerAnswer::Service);
            }
            (Stage::EndingProgram, Reply::Done) => self.complete_call(node, call, CallerAnswer::Ended),
            _ => {}
        }
    }

    fn complete_turn(&mut self, node: usize, call: CallId, message: ChatMessage) {
        self.complete_call(node, call, CallerAnswer::Turn { message });
    }

    fn complete_call(&mut self, node: usize, call: CallId, answer: CallerAnswer) {
        if let Some(task) = self.nodes[node].tasks.remove(&call) {
            self.send_answer(task.caller, task.turn(), answer);
        }
    }

    /// Chooses an engine and enqueues the call at the engine's owner.
    fn enqueue_turn(&mut self, node: usize, call: CallId, run: RunTurn) {
        let leaving = self.nodes[node].configuration.current().map(|current| current.leaving.clone());
        let leaving = leaving.unwrap_or_default();
        let usable: Vec<usize> = (0..ENGINES)
            .filter(|engine| !leaving.contains(engine) || is_broken(Rule::NoCallsToLeavingEngines))
            .collect();
        let engine = usable[self.random.random_range(0..usable.len())];
        let owner = self.nodes[node].engine_owner(engine, self.now);
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
        task.stage = Stage::Queued { run: Box::new(run), engine, owner };
        task.exchange = exchange;
        self.nodes[node].pending_exchanges.insert(exchange, call);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(COMMAND_TIMEOUT * 3, Event::TaskTimer { node, incarnation, call, exchange });
        self.send(node, owner, Packet::Enqueue { exchange, engine, work: Box::new(work) });
    }

    /// Handles an owner that didn't answer: withdraws the call there, in case it was granted a slot, and
    /// retries.
    fn handle_enqueue_timeout(&mut self, node: usize, call: CallId) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        let Stage::Queued { run, engine, owner } = task.stage else { return };
        self.send(node, owner, Packet::Forget { engine, call });
        self.retry_or_fail(node, call, *run, engine, Failure::NotSent);
    }

    fn retry_or_fail(&mut self, node: usize, call: CallId, run: RunTurn, engine: usize, failure: Failure) {
        let now = self.now;
        let Some(task) = self.nodes[node].tasks.get_mut(&call) else { return };
        if let Next::Try { .. } = task.machine.record_failure(&engine_id(engine), failure, now) {
            self.enqueue_turn(node, call, run);
            return;
        }
        let ran = task.machine.ran();
        let problem = Problem::not_run(ResultCode::BackEndCut, "all attempts failed").with_ran(ran);
        let task = task.clone();
        self.reject_call(node, call, problem);
        let Some(request) = task.turn_request().cloned() else { return };
        let engines = task.engines.iter().map(|engine| engine_name(*engine)).collect();
        let abandon = Command::AbandonTurn {
            program: request.program,
            call,
            output_tokens: task.generated_tokens,
            engines,
            reason: "all attempts failed".to_owned(),
        };
        self.commit_failure(node, task, abandon);
    }

    /// Enqueues a call at this node, the engine's owner.
    pub(crate) fn handle_enqueue(
        &mut self,
        node: usize,
        from: usize,
        exchange: u64,
        engine: usize,
        work: EngineWork,
    ) {
        let waiter = Waiter { node: from, incarnation: self.nodes[from].incarnation, exchange };
        let now = self.now;
        self.nodes[node].queue_waiters.insert(work.call, waiter);
        let effects = self.nodes[node].engine_queue(engine).enqueue(work, now);
        self.apply_queue_effects(node, effects);
    }

    pub(crate) fn apply_queue_effects(&mut self, node: usize, effects: Vec<QueueEffect>) {
        for effect in effects {
            let (call, outcome) = match effect {
                QueueEffect::Grant { call } => (call, Ok(())),
                QueueEffect::Reject { call, problem } => (call, Err(problem)),
            };
            if let Some(waiter) = self.nodes[node].queue_waiters.remove(&call) {
                let exchange = waiter.exchange;
                self.send(node, waiter.node, Packet::EnqueueAnswer { exchange, outcome });
            }
        }
    }

    pub(crate) fn withdraw_queued(&mut self, node: usize, engine: usize, call: CallId) {
        let now = self.now;
        self.nodes[node].queue_waiters.remove(&call);
        let queue = self.nodes[node].engine_queue(engine);
        queue.cancel(call);
        let release = Release { call, finished: None, is_engine_fault: false };
        let effects = queue.release(release, now);
        self.apply_queue_effects(node, effects);
    }

    /// Handles the owner's grant or rejection.
    pub(crate) fn handle_enqueue_answer(&mut self, node: usize, exchange: u64, outcome: Result<(), Problem>) {
        let Some(call) = self.nodes[node].pending_exchanges.remove(&exchange) else { return };
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        if task.exchange != exchange {
            return;
        }
        let Stage::Queued { run, engine, owner } = task.stage.clone() else { return };
        match outcome {
            Ok(()) => self.run_on_engine(node, task, *run, engine, owner),
            Err(_) => self.retry_or_fail(node, call, *run, engine, Failure::NotSent),
        }
    }

    fn run_on_engine(&mut self, node: usize, mut task: Task, run: RunTurn, engine: usize, owner: usize) {
        let call = task.call;
        let Some(request) = task.turn_request().cloned() else { return };
        let prompt = prompt(&run, &request);
        self.oracle.record_engine_call(call, &request.program, &prompt);
        let is_excused = self.is_lag_tolerated();
        self.oracle.check_dispatch(engine, is_excused, self.now);
        self.engine_memory[engine].insert(request.program.clone());
        let tokens = run.output_tokens.min(request.wanted_output);
        self.oracle.add_generated_tokens(&request.program, tokens);
        task.machine.record_sent(&engine_id(engine));
        task.machine.record_head_sent(&EngineVersion::default());
        task.generated_tokens += tokens;
        task.engines.push(engine);
        task.exchange = self.next_exchange;
        self.next_exchange += 1;
        task.stage = Stage::Running { run: Box::new(run), engine, owner };
        self.nodes[node].tasks.insert(call, task);
        let is_cut = self.should_cut_streams && self.random.random_bool(0.5);
        let length = Duration::from_millis(self.random.random_range(20..400));
        let incarnation = self.nodes[node].incarnation;
        self.schedule(length, Event::EngineDone { node, incarnation, call, is_cut });
    }

    /// Handles the end of an engine's stream, complete or cut.
    pub(crate) fn handle_engine_done(&mut self, node: usize, call: CallId, is_cut: bool) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        let Stage::Running { run, engine, owner } = task.stage.clone() else { return };
        let Some(request) = task.turn_request().cloned() else { return };
        let tokens = run.output_tokens.min(request.wanted_output);
        let usage = Usage { prompt_tokens: 1, cached_tokens: 0, output_tokens: task.generated_tokens };
        let finished = FinishedWork {
            usage,
            time_to_first_token: Duration::from_millis(10),
            decode_time: Duration::from_millis(10),
            end: None,
        };
        let release = Release { call, finished: (!is_cut).then_some(finished), is_engine_fault: is_cut };
        self.send(node, owner, Packet::Release { engine, release });
        if is_cut {
            // Tokens of the cut stream count against the budget, so the next attempt gets what remains.
            let mut remaining_run = *run;
            remaining_run.output_tokens = remaining_run.output_tokens.saturating_sub(tokens);
            let is_exhausted = remaining_run.output_tokens == 0;
            if let Some(task) = self.nodes[node].tasks.get_mut(&call).filter(|_| is_exhausted) {
                task.machine.forbid_resumption();
            }
            self.retry_or_fail(node, call, remaining_run, engine, Failure::Lost);
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
            task.stage = Stage::CommittingAnswer { message };
        }
        self.start_command(node, call, Command::FinishTurn(Box::new(finish)), COMMIT_RETRY_TIME);
    }

    fn run_service(&mut self, node: usize, call: CallId) {
        let incarnation = self.nodes[node].incarnation;
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.stage = Stage::RunningService;
            task.machine.record_sent(&EngineId::new(SERVICE_BACK_END));
        }
        let is_hung = self.should_hang_services && self.random.random_bool(0.6);
        let delay = Duration::from_millis(self.random.random_range(1..30));
        self.schedule(delay, Event::ServiceRuns { node, incarnation, call, is_hung });
    }

    /// Runs a request that reached the service, even if the node that sent it has since crashed or been paused.
    pub(crate) fn handle_service_request(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        call: CallId,
        is_hung: bool,
    ) {
        let task = self.nodes[node].tasks.get(&call).filter(|_| self.nodes[node].incarnation == incarnation);
        let Some(CallerRequest::Service { key, .. }) = task.map(|task| task.request.clone()) else { return };
        self.oracle.record_service_execution(call, &key);
        let wait = if is_hung { SERVICE_TIMEOUT } else { Duration::from_millis(20) };
        self.schedule(wait, Event::ServiceDone { node, incarnation, call, is_lost: is_hung });
    }

    /// Handles the service's answer, or its timeout if `is_lost`.
    pub(crate) fn handle_service_done(&mut self, node: usize, call: CallId, is_lost: bool) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        let CallerRequest::Service { key, .. } = &task.request else { return };
        let Some(key) = ledger_key(key) else { return };
        if is_lost {
            let mut machine = task.machine.clone();
            let next = machine.record_failure(&EngineId::new(SERVICE_BACK_END), Failure::Lost, self.now);
            debug_assert!(matches!(next, Next::Fail { .. }), "a non-repeatable call is not retried");
            let problem = Problem::not_run(ResultCode::BackEndCut, "the service's answer is lost");
            let problem = problem.with_ran(machine.ran());
            self.reject_call(node, call, problem);
            self.commit_failure(node, task, Command::MarkServiceUnknown { key, call });
            return;
        }
        if let Some(task) = self.nodes[node].tasks.get_mut(&call) {
            task.stage = Stage::CommittingService;
        }
        let command = Command::FinishService { key, call, response: service_response() };
        self.start_command(node, call, command, COMMIT_RETRY_TIME);
    }

    /// Cancels a running call because its program was ended.
    pub(crate) fn cancel_task(&mut self, node: usize, call: CallId) {
        let Some(task) = self.nodes[node].tasks.get(&call).cloned() else { return };
        if let Stage::Running { engine, owner, .. } = task.stage {
            let release = Release { call, finished: None, is_engine_fault: false };
            self.send(node, owner, Packet::Release { engine, release });
            self.reject_call(node, call, Problem::unknown(ResultCode::Cancelled, "the program was ended"));
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
        max_output_tokens: request.wanted_output,
        limits: BudgetLimits {
            turns: 100,
            input_tokens: 1_000_000,
            output_tokens: request.output_budget,
            seconds: 3_600,
            sub_agents: 0,
        },
        runner,
        wait_deadline: now + MAX_TURN_WAIT,
        run_timeout: RUN_LIMIT,
    }
}

/// The engine's prompt: in append mode the recorded messages followed by the new ones.
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
