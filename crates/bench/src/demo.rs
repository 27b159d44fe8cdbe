//! `sumacbench demo`: runs programs and faults on a loopback fleet and checks the guarantees.

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

/// Time within which a configuration must reach every node.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);
/// How long a leaving engine may still get calls.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// How long engines may hold memory for ended programs.
const MEMORY_GRACE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the run in which programs start.
const ARRIVAL_SHARE: f64 = 0.6;
/// Streams that each engine but the first cuts.
const CUT_STREAMS: usize = 5;
/// Hook answers that are lost after the hook ran.
const LOST_HOOK_ANSWERS: usize = 2;

/// Options of the demo.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct DemoOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Length of the run.
    pub seconds: u64,
    /// Seed of the programs.
    pub seed: u64,
    /// Number of programs.
    pub programs: usize,
    pub should_show_progress: bool,
}

/// Runs the demo.
pub async fn run(options: &DemoOptions, logger: Logger) -> Result<DemoReport, BenchError> {
    let plan = FleetPlan { nodes: options.nodes, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan, logger).await?;
    let context = Arc::new(RunContext::new(fleet.addresses.clone()));
    let bar = progress_bar(options);
    let programs = start_programs(options, &context, &bar);
    let refused = tokio::spawn(send_rejected_requests(Arc::clone(&context), fleet.addresses[0]));
    let faults = run_faults(options, &mut fleet, &context).await?;
    for program in programs.into_iter().chain([refused]) {
        // A panic in a program's task is a bug of the bench; the program then counts neither as done nor as
        // failed.
        let _ = program.await;
    }
    bar.finish_and_clear();
    check_memory(&fleet, &context).await;
    check_order(&fleet, &context);
    check_leaving(&fleet, &context, faults.leaving_since);
    check_not_run(&fleet, &context);
    check_hooks(&fleet, &context);
    let report = build_report(options, &fleet, &context, faults.propagation_time);
    fleet.stop().await;
    Ok(report)
}

fn progress_bar(options: &DemoOptions) -> ProgressBar {
    if !options.should_show_progress {
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
        let plan = workload::draw_program(&mut random, options.seed, number);
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

/// Sends requests that must be rejected without running: an unknown model, and a turn without the earlier
/// ones.
async fn send_rejected_requests(context: Arc<RunContext>, node: SocketAddr) {
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

struct FaultOutcome {
    leaving_since: Timestamp,
    propagation_time: Duration,
}

/// Injects the faults of a run, one after the other.
async fn run_faults(
    options: &DemoOptions,
    fleet: &mut Fleet,
    context: &RunContext,
) -> Result<FaultOutcome, BenchError> {
    let started = Instant::now();
    let at = |share: f64| started + Duration::from_secs_f64(options.seconds as f64 * share);
    tokio::time::sleep_until(at(0.15)).await;
    let generation = fleet.roll_out(&[0])?;
    let leaving_since = Timestamp(fleet.origin.elapsed().as_micros() as u64);
    let propagation_time = wait_for_generation(fleet, context, generation).await;

    fleet.platform.set_faults(|faults| faults.is_down = true);
    fleet.tools.set_faults(|faults| faults.lose_answer = LOST_HOOK_ANSWERS);
    for engine in fleet.engines.iter().skip(1) {
        engine.set_faults(|faults| faults.cut.extend([3; CUT_STREAMS]));
    }

    tokio::time::sleep_until(at(0.3)).await;
    let last = options.nodes - 1;
    stop_node(fleet, context, last).await;
    restart_node(fleet, last).await?;
    fleet.wait_until_ready().await?;
    check_generations(fleet, context, generation);

    tokio::time::sleep_until(at(0.6)).await;
    // Three replicas tolerate one loss at a time, so the next one follows after the repair.
    fleet.wait_until_repaired().await?;
    if options.nodes >= 3 {
        kill_node(fleet, last - 1).await?;
    }
    fleet.wait_until_ready().await?;
    check_generations(fleet, context, generation);
    fleet.platform.set_faults(|faults| faults.is_down = false);
    Ok(FaultOutcome { leaving_since, propagation_time })
}

/// Stops a node as planned while programs run; every call must finish and no connection break.
async fn stop_node(fleet: &mut Fleet, context: &RunContext, number: usize) {
    let Some(node) = fleet.nodes[number].take() else { return };
    let broken_before = context.broken_connections[number].load(Ordering::Relaxed);
    let is_clean = node.stop().await;
    let broken = context.broken_connections[number].load(Ordering::Relaxed) - broken_before;
    context.checks.check(Guarantee::PlannedStopFinishesCalls, is_clean && broken == 0, || {
        format!("planned stop of node {}: every call finished {is_clean}, {broken} broke", number + 1)
    });
}

/// Kills a node and restarts it without its state.
async fn kill_node(fleet: &mut Fleet, number: usize) -> Result<(), BenchError> {
    if let Some(node) = fleet.nodes[number].take() {
        node.kill();
    }
    restart_node(fleet, number).await
}

/// Restarts a node on its old addresses, retrying while they are still in use.
async fn restart_node(fleet: &mut Fleet, number: usize) -> Result<(), BenchError> {
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

async fn wait_for_generation(fleet: &Fleet, context: &RunContext, generation: u64) -> Duration {
    let started = Instant::now();
    let mut highest: BTreeMap<usize, u64> = BTreeMap::new();
    loop {
        let mut is_everywhere = true;
        for (number, node) in fleet.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            let current = node.generation();
            let before = highest.insert(number, current).unwrap_or(0);
            context.checks.check(Guarantee::ConfigurationApplied, current >= before, || {
                format!("node {} reverted from generation {before} to {current}", number + 1)
            });
            is_everywhere &= current >= generation;
        }
        let elapsed = started.elapsed();
        if is_everywhere || elapsed > CONFIGURATION_LIMIT {
            context.checks.check(Guarantee::ConfigurationApplied, is_everywhere, || {
                format!("generation {generation} had not reached every node after {elapsed:?}")
            });
            return elapsed;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Ready nodes must have the accepted configuration, also after a restart while the platform is down.
fn check_generations(fleet: &Fleet, context: &RunContext, generation: u64) {
    for (number, node) in fleet.nodes.iter().enumerate() {
        let Some(node) = node else { continue };
        let current = node.generation();
        context.checks.check(Guarantee::ConfigurationApplied, current >= generation, || {
            format!("node {} is ready with generation {current}, not {generation}", number + 1)
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for program in &ended {
        let blocks = held(program);
        context.checks.check(Guarantee::EngineMemoryFreed, blocks == 0, || {
            format!("{program} has ended, but engines hold {blocks} blocks for it")
        });
    }
}

/// Runs of a program must not overlap, and their prompts must not shrink.
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

fn check_leaving(fleet: &Fleet, context: &RunContext, leaving_since: Timestamp) {
    let leaving = fleet.engines[0].name();
    let limit = leaving_since + LEAVING_GRACE;
    let late: Vec<EngineRun> =
        fleet.trace.runs().into_iter().filter(|run| run.engine == *leaving && run.started > limit).collect();
    context.checks.check(Guarantee::NoCallsToLeavingEngines, late.is_empty(), || {
        format!("{leaving} got {} calls after the grace period, first {:?}", late.len(), late.first())
    });
}

fn check_not_run(fleet: &Fleet, context: &RunContext) {
    let mut ran: HashSet<String> = fleet.trace.runs().into_iter().map(|run| run.call).collect();
    ran.extend(fleet.tools.executions().into_iter().map(|execution| execution.call));
    let calls = context.results().not_run_calls.clone();
    for call in calls {
        let holds = !ran.contains(&call);
        context.checks.check(Guarantee::NotRunIsAccurate, holds, || {
            format!("call {call} ran, but was reported as not run")
        });
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

fn build_report(
    options: &DemoOptions,
    fleet: &Fleet,
    context: &RunContext,
    propagation_time: Duration,
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
        configuration_in_force_seconds: propagation_time.as_secs_f64(),
        guarantees: context.checks.results(),
    }
}
