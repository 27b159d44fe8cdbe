//! `sumacbench demo`: a whole fleet with its stand-ins on loopback, a bounded run of programs, faults, checks.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use slog::Logger;
use sumacdrift_emulator::EngineRun;
use sumacdrift_types::{ProgramId, Timestamp};
use tokio::time::Instant;

use crate::checks::Guarantee;
use crate::fleet::{BUILD_FARM_KEY, MODEL};
use crate::program_run::{self, RunContext};
use crate::{BenchError, Caller, ChatOutcome, ChatRequest, DemoReport, Fleet, FleetPlan, workload};

/// A configuration must be in force everywhere within this time.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);
/// A leaving engine may still get work for this long.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Engines may hold memory of ended programs for this long.
const MEMORY_GRACE: Duration = Duration::from_secs(10);
/// How often generations and memory are looked at.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Part of the run in which programs begin.
const ARRIVAL_SHARE: f64 = 0.6;
/// Streams that are cut by a faulty engine.
const CUT_STREAMS: usize = 5;
/// Hook answers that are lost after the hook ran.
const LOST_HOOK_ANSWERS: usize = 2;

/// What to run.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Nodes.
    pub nodes: usize,
    /// Length of the run; programs begin in its first part.
    pub seconds: u64,
    /// Seed of the programs.
    pub seed: u64,
    /// Number of programs.
    pub programs: usize,
    /// Whether to show a progress bar.
    pub shows_progress: bool,
}

/// Runs the demo.
pub async fn run(options: &DemoOptions, logger: Logger) -> Result<DemoReport, BenchError> {
    let plan = FleetPlan { nodes: options.nodes, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan, logger).await?;
    let context = Arc::new(RunContext::new(fleet.addresses.clone()));
    let bar = progress_bar(options);
    let programs = start_programs(options, &context, &bar);
    let refused = tokio::spawn(refuse_on_purpose(Arc::clone(&context), fleet.addresses[0]));
    let faults = run_faults(options, &mut fleet, &context).await?;
    for program in programs.into_iter().chain([refused]) {
        // A panic in a program's task is a defect of the bench and shows as a missing program.
        let _ = program.await;
    }
    bar.finish_and_clear();
    check_memory(&fleet, &context).await;
    check_order(&fleet, &context);
    check_leaving(&fleet, &context, faults.left_at);
    check_not_run(&fleet, &context);
    check_hooks(&fleet, &context);
    let report = make_report(options, &fleet, &context, faults.in_force_after);
    fleet.stop().await;
    Ok(report)
}

fn progress_bar(options: &DemoOptions) -> ProgressBar {
    if !options.shows_progress {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(options.programs as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} programs  {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

fn start_programs(
    options: &DemoOptions,
    context: &Arc<RunContext>,
    bar: &ProgressBar,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let spread = options.seconds as f64 * ARRIVAL_SHARE / options.programs.max(1) as f64;
    let caller = Caller::default();
    let mut tasks = Vec::new();
    for number in 0..options.programs {
        let plan = workload::draw(&mut random, options.seed, number);
        let (context, caller, bar) = (Arc::clone(context), caller.clone(), bar.clone());
        let start = Duration::from_secs_f64(spread * number as f64);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(start).await;
            program_run::run(&context, &caller, &plan).await;
            bar.inc(1);
        }));
    }
    tasks
}

/// Requests that must be refused without running: wrong model, missing earlier turn.
async fn refuse_on_purpose(context: Arc<RunContext>, node: SocketAddr) {
    let caller = Caller::default();
    let request = ChatRequest {
        key: BUILD_FARM_KEY.to_owned(),
        model: "no-such-model".to_owned(),
        messages: vec![json!({"role": "user", "content": "hello"})],
        ..ChatRequest::default()
    };
    let gap = ChatRequest {
        model: MODEL.to_owned(),
        program: Some(("gap".to_owned(), Some(7))),
        ..request.clone()
    };
    for request in [request, gap] {
        if let ChatOutcome::Refused(refusal) = caller.chat(node, &request).await {
            let mut results = context.results();
            *results.refusals.entry(refusal.code).or_default() += 1;
            if refusal.ran == "no" {
                results.not_run_calls.push(refusal.call);
            }
        }
    }
}

struct Faults {
    left_at: Timestamp,
    in_force_after: Duration,
}

/// The faults of a run, one after the other.
async fn run_faults(
    options: &DemoOptions,
    fleet: &mut Fleet,
    context: &RunContext,
) -> Result<Faults, BenchError> {
    let started = Instant::now();
    let at = |share: f64| started + Duration::from_secs_f64(options.seconds as f64 * share);
    tokio::time::sleep_until(at(0.15)).await;
    let generation = fleet.roll_out(&[0])?;
    let left_at = Timestamp(fleet.origin.elapsed().as_micros() as u64);
    let in_force_after = watch_generation(fleet, context, generation).await;

    fleet.platform.set_faults(|faults| faults.is_down = true);
    fleet.tools.set_faults(|faults| faults.lose_answer = LOST_HOOK_ANSWERS);
    for engine in fleet.engines.iter().skip(1) {
        engine.set_faults(|faults| faults.cut.extend([3; CUT_STREAMS]));
    }

    tokio::time::sleep_until(at(0.3)).await;
    let last = options.nodes - 1;
    planned_stop(fleet, context, last).await;
    start_again(fleet, last).await?;
    fleet.wait_until_ready().await?;
    check_generations(fleet, context, generation);

    tokio::time::sleep_until(at(0.6)).await;
    // Three replicas bear one loss at a time; the next one comes when the last is repaired.
    fleet.wait_until_repaired().await?;
    if options.nodes >= 3 {
        kill(fleet, last - 1).await?;
    }
    fleet.wait_until_ready().await?;
    check_generations(fleet, context, generation);
    fleet.platform.set_faults(|faults| faults.is_down = false);
    Ok(Faults { left_at, in_force_after })
}

/// Stops a node as planned while programs run, and checks that no connection to it broke.
async fn planned_stop(fleet: &mut Fleet, context: &RunContext, number: usize) {
    let Some(node) = fleet.nodes[number].take() else { return };
    let broken_before = context.broken[number].load(Ordering::Relaxed);
    let is_clean = node.stop().await;
    let broken = context.broken[number].load(Ordering::Relaxed) - broken_before;
    context.checks.check(Guarantee::PlannedStopFinishesCalls, is_clean && broken == 0, || {
        format!("planned stop of node {}: every call finished {is_clean}, {broken} broke", number + 1)
    });
}

/// Kills a node and starts it again with nothing remembered.
async fn kill(fleet: &mut Fleet, number: usize) -> Result<(), BenchError> {
    if let Some(node) = fleet.nodes[number].take() {
        node.kill();
    }
    start_again(fleet, number).await
}

/// Starts a node on its old addresses, which must be free again first.
async fn start_again(fleet: &mut Fleet, number: usize) -> Result<(), BenchError> {
    let mut tries = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        tries += 1;
        match fleet.start_node(number).await {
            Ok(()) => return Ok(()),
            Err(error) if tries == 20 => return Err(error),
            Err(_) => {}
        }
    }
}

async fn watch_generation(fleet: &Fleet, context: &RunContext, generation: u64) -> Duration {
    let started = Instant::now();
    let mut highest: BTreeMap<usize, u64> = BTreeMap::new();
    loop {
        let mut is_everywhere = true;
        for (number, node) in fleet.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            let present = node.generation();
            let before = highest.insert(number, present).unwrap_or(0);
            context.checks.check(Guarantee::ConfigurationApplied, present >= before, || {
                format!("node {} went back from generation {before} to {present}", number + 1)
            });
            is_everywhere &= present >= generation;
        }
        let elapsed = started.elapsed();
        if is_everywhere || elapsed > CONFIGURATION_LIMIT {
            context.checks.check(Guarantee::ConfigurationApplied, is_everywhere, || {
                format!("generation {generation} was not in force everywhere after {elapsed:?}")
            });
            return elapsed;
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

/// A node that is ready must have the accepted configuration, also after a restart with the platform down.
fn check_generations(fleet: &Fleet, context: &RunContext, generation: u64) {
    for (number, node) in fleet.nodes.iter().enumerate() {
        let Some(node) = node else { continue };
        let present = node.generation();
        context.checks.check(Guarantee::ConfigurationApplied, present >= generation, || {
            format!("node {} is ready with generation {present}, not {generation}", number + 1)
        });
    }
}

async fn check_memory(fleet: &Fleet, context: &RunContext) {
    let ended: Vec<ProgramId> =
        context.results().ended.iter().filter_map(|name| ProgramId::new(name).ok()).collect();
    let deadline = Instant::now() + MEMORY_GRACE;
    let held =
        |program: &ProgramId| -> usize { fleet.engines.iter().map(|engine| engine.held_for(program)).sum() };
    while ended.iter().any(|program| held(program) > 0) && Instant::now() < deadline {
        tokio::time::sleep(WATCH_PAUSE).await;
    }
    for program in &ended {
        let blocks = held(program);
        context.checks.check(Guarantee::EngineMemoryFreed, blocks == 0, || {
            format!("{program} is gone and {blocks} blocks are held for it")
        });
    }
}

/// Runs of one program must follow each other, with prompts that only grow.
fn check_order(fleet: &Fleet, context: &RunContext) {
    let mut by_program: BTreeMap<String, Vec<EngineRun>> = BTreeMap::new();
    for run in fleet.trace.runs() {
        by_program.entry(run.program.clone()).or_default().push(run);
    }
    by_program.remove("single-call");
    for (program, mut runs) in by_program {
        runs.sort_by_key(|run| run.started);
        for pair in runs.windows(2) {
            let (earlier, later) = (&pair[0], &pair[1]);
            let grows = earlier.prompt_tokens <= later.prompt_tokens;
            let follows = earlier.finished.is_none_or(|finished| finished <= later.started);
            context.checks.check(Guarantee::CallsInOrder, grows && follows, || {
                format!("{program}: {earlier:?} then {later:?}")
            });
        }
    }
}

fn check_leaving(fleet: &Fleet, context: &RunContext, left_at: Timestamp) {
    let leaving = fleet.engines[0].name();
    let limit = left_at + LEAVING_GRACE;
    let late: Vec<EngineRun> =
        fleet.trace.runs().into_iter().filter(|run| run.engine == *leaving && run.started > limit).collect();
    context.checks.check(Guarantee::NoCallsToLeavingEngines, late.is_empty(), || {
        format!("{leaving} got {} calls after it left, such as {:?}", late.len(), late.first())
    });
}

fn check_not_run(fleet: &Fleet, context: &RunContext) {
    let mut ran: HashSet<String> = fleet.trace.runs().into_iter().map(|run| run.call).collect();
    ran.extend(fleet.tools.executions().into_iter().map(|execution| execution.call));
    let calls = context.results().not_run_calls.clone();
    for call in calls {
        let holds = !ran.contains(&call);
        context.checks.check(Guarantee::NotRunIsAccurate, holds, || format!("call {call} ran after all"));
    }
}

fn check_hooks(fleet: &Fleet, context: &RunContext) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for execution in fleet.tools.executions() {
        if let Some(key) = execution.key {
            *counts.entry(key).or_default() += 1;
        }
    }
    let keys = context.results().hook_keys.clone();
    for key in keys {
        let count = counts.get(&key).copied().unwrap_or(0);
        context.checks.check(Guarantee::AtMostOnce, count <= 1, || format!("{key} ran {count} times"));
    }
}

fn make_report(
    options: &DemoOptions,
    fleet: &Fleet,
    context: &RunContext,
    in_force_after: Duration,
) -> DemoReport {
    let results = context.results();
    DemoReport {
        nodes: options.nodes,
        seed: options.seed,
        programs_started: options.programs,
        programs_done: results.done,
        programs_failed: results.failed,
        turns: results.turns,
        replays: results.replays,
        program_latency_seconds: results.latency.percentiles(),
        first_token_seconds: results.first_token.percentiles(),
        wasted_cache_fraction: fleet.held.wasted_fraction(),
        refusals: results.refusals.clone(),
        configuration_in_force_seconds: in_force_after.as_secs_f64(),
        guarantees: context.checks.results(),
    }
}
