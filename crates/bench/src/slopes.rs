//! `sumacbench slopes`: costs of programs, membership, messages and decisions, for `docs/CAPACITY.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use sumacdrift_membership::{Detector, Effect, Member, MemberState, MembershipSettings, RoleSet};
use sumacdrift_program::{Answer, BeginTurn, BudgetLimits, Command, FinishTurn, KnownPrefix, Runner};
use sumacdrift_proto::{GroupMessage, OneWay, Wire};
use sumacdrift_replication::{AppendEntries, Configuration, Message, ReplicaId};
use sumacdrift_scheduling::{EngineQueue, EngineWork, QueueSettings, context_prefixes};
use sumacdrift_shard::{ProgramShard, ShardSettings};
use sumacdrift_types::{
    CallId, ChatMessage, EngineName, HistoryMode, Incarnation, InvalidName, NodeId, ProgramId, RegionName,
    ShardId, TenantName, Timestamp, TurnNumber, Usage, ZoneName,
};

use crate::choices::{ChoiceSlope, ENGINE_COUNTS, measure_choices};
use crate::feed_answers::{FeedAnswerSlope, ITEM_COUNTS, measure_feed_answers};

/// Turns per program.
const TURN_COUNTS: [u32; 3] = [10, 100, 510];
/// Bytes of text per turn; 510 turns make about 120,000 tokens.
const TURN_BYTES: usize = 940;
/// Turns of all programs together, so that each measurement takes about the same memory.
const TOTAL_TURNS: u32 = 51_000;
/// Numbers of nodes.
const FLEET_SIZES: [usize; 4] = [50, 100, 200, 410];
/// Virtual time over which membership is measured.
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// Virtual time in which membership converges before it is measured.
const WARM_UP: Duration = Duration::from_secs(240);
/// Numbers of queued calls.
const QUEUE_LENGTHS: [usize; 3] = [0, 10, 1000];

/// Cost of a program.
#[derive(Debug, Clone, Serialize)]
pub struct ProgramSlope {
    /// Turns of the program.
    pub turns: u32,
    /// Resident memory that the program adds to a replica.
    pub resident_bytes: u64,
    /// Text of its messages.
    pub text_bytes: u64,
    /// Its entries in the replicated log, all turns together.
    pub log_bytes: u64,
    /// Time per turn at the leader of a group of one: admission, commit, encoding.
    pub micros_per_turn: f64,
}

/// Cost of membership per node.
#[derive(Debug, Clone, Serialize)]
#[allow(missing_docs)]
pub struct MembershipSlope {
    /// Size of the fleet.
    pub nodes: usize,
    /// Sent by the node.
    pub bytes_per_second: f64,
    /// Sent by the node.
    pub messages_per_second: f64,
    /// Time of the node's detector per second of virtual time.
    pub micros_per_second: f64,
}

/// Cost of a bid.
#[derive(Debug, Clone, Serialize)]
pub struct BidSlope {
    /// Calls queued at the engine.
    pub queued: usize,
    /// Microseconds per bid.
    pub micros: f64,
}

/// Results of all measurements.
#[derive(Debug, Clone, Serialize)]
#[allow(missing_docs)]
pub struct SlopeReport {
    pub programs: Vec<ProgramSlope>,
    pub membership: Vec<MembershipSlope>,
    pub bids: Vec<BidSlope>,
    /// Choices among engines at an edge.
    pub choices: Vec<ChoiceSlope>,
    pub feed_answers: Vec<FeedAnswerSlope>,
    /// Size of a replication heartbeat with its frame.
    pub heartbeat_bytes: usize,
}

/// Runs all measurements.
pub fn run() -> Result<SlopeReport, InvalidName> {
    let mut kept_shards = Vec::new();
    let programs = TURN_COUNTS.into_iter().map(|turns| measure_programs(turns, &mut kept_shards));
    Ok(SlopeReport {
        programs: programs.collect::<Result<_, _>>()?,
        membership: FLEET_SIZES.into_iter().map(measure_membership).collect::<Result<_, _>>()?,
        bids: QUEUE_LENGTHS.into_iter().map(measure_bids).collect::<Result<_, _>>()?,
        choices: ENGINE_COUNTS.into_iter().flat_map(measure_choices).collect(),
        feed_answers: ITEM_COUNTS.into_iter().map(measure_feed_answers).collect(),
        heartbeat_bytes: heartbeat_bytes(),
    })
}

fn replica(node: u32) -> ReplicaId {
    ReplicaId { node: NodeId(node), incarnation: Incarnation(1_796_197_169_009_133) }
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Runs programs on a new shard. The shard is kept, since memory that it frees would hide what the next
/// allocates.
fn measure_programs(turns: u32, kept_shards: &mut Vec<ProgramShard>) -> Result<ProgramSlope, InvalidName> {
    let resident_before = resident_bytes();
    let own = replica(1);
    let configuration = Configuration::of_voters([own]);
    let mut now = Timestamp(1_000_000);
    let mut shard = ProgramShard::bootstrap(ShardId(0), own, configuration, ShardSettings::default(), 1, now);
    for _ in 0..100 {
        now = now + Duration::from_millis(50);
        shard.tick(now, &|_| true);
    }
    let programs = TOTAL_TURNS / turns;
    let mut log_bytes = 0;
    let started = Instant::now();
    for program in 0..programs {
        let before = shard.replica().committed();
        run_program(&mut shard, program, turns, now)?;
        if program == 0 {
            log_bytes = shard.replica().log_bytes() as u64;
        }
        debug_assert!(shard.replica().committed() > before);
    }
    let micros_per_turn = started.elapsed().as_secs_f64() * 1e6 / f64::from(programs * turns);
    let resident = resident_bytes().saturating_sub(resident_before);
    kept_shards.push(shard);
    Ok(ProgramSlope {
        turns,
        resident_bytes: resident / u64::from(programs),
        text_bytes: u64::from(turns) * TURN_BYTES as u64,
        log_bytes,
        micros_per_turn,
    })
}

fn run_program(shard: &mut ProgramShard, number: u32, turns: u32, now: Timestamp) -> Result<(), InvalidName> {
    let program = ProgramId::new(&format!("program-{number}"))?;
    let tenant = TenantName::new("tenant")?;
    let engine = EngineName::new("engine-0")?;
    let half = "x".repeat(TURN_BYTES / 2);
    for turn in 0..turns {
        let call = CallId(u128::from(number) << 32 | u128::from(turn));
        let text = format!("{{\"content\":\"{number}/{turn} {half}\",\"role\":\"user\"}}");
        let begin = BeginTurn {
            call,
            program: program.clone(),
            tenant: tenant.clone(),
            parent: None,
            turn: Some(TurnNumber(turn)),
            key: None,
            mode: HistoryMode::Append,
            known_prefix: KnownPrefix::default(),
            messages: vec![ChatMessage::from_canonical(text)],
            max_output_tokens: 256,
            limits: BudgetLimits {
                turns: u32::MAX,
                input_tokens: u64::MAX / 2,
                output_tokens: u64::MAX / 2,
                seconds: u64::MAX / 2,
                sub_agents: 0,
            },
            runner: Runner { node: NodeId(1), incarnation: Incarnation(1) },
            wait_deadline: now,
            run_timeout: Duration::from_secs(60),
        };
        let finish = FinishTurn {
            program: program.clone(),
            call,
            answer: Answer {
                message: ChatMessage::assistant(&format!("{number}/{turn} {half}")),
                finish_reason: "stop".to_owned(),
            },
            usage: Usage { prompt_tokens: 1, cached_tokens: 0, output_tokens: 117 },
            engine: engine.clone(),
            other_engines: Vec::new(),
            reason: String::new(),
        };
        for command in [Command::BeginTurn(Box::new(begin)), Command::FinishTurn(Box::new(finish))] {
            // A group of one keeps its leader, so no command is rejected.
            let _ = shard.command(command, now);
            shard.take_outputs();
        }
    }
    Ok(())
}

fn measure_membership(nodes: usize) -> Result<MembershipSlope, InvalidName> {
    let mut detectors = Vec::with_capacity(nodes);
    for number in 0..nodes {
        let own = member(number)?;
        let seeds = vec![address(0)];
        detectors.push(Detector::new(own, seeds, MembershipSettings::default(), number as u64));
    }
    let mut now = Timestamp(1_000_000);
    let step = Duration::from_millis(50);
    let warm_up = run_membership(&mut detectors, &mut now, step, WARM_UP);
    let started = Instant::now();
    let steady = run_membership(&mut detectors, &mut now, step, MEASURED_TIME);
    let seconds = MEASURED_TIME.as_secs_f64() * nodes as f64;
    debug_assert!(warm_up.messages > 0);
    Ok(MembershipSlope {
        nodes,
        bytes_per_second: steady.bytes as f64 / seconds,
        messages_per_second: steady.messages as f64 / seconds,
        micros_per_second: started.elapsed().as_secs_f64() * 1e6 / seconds,
    })
}

#[derive(Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

/// Runs detectors over a network without latency and loss.
fn run_membership(
    detectors: &mut [Detector],
    now: &mut Timestamp,
    step: Duration,
    length: Duration,
) -> Traffic {
    let end = *now + length;
    let mut traffic = Traffic::default();
    while *now < end {
        *now = *now + step;
        let mut pending = Vec::new();
        for detector in detectors.iter_mut() {
            detector.tick(*now);
            pending.extend(detector.take_effects());
        }
        while let Some(effect) = pending.pop() {
            let Effect::Send { to, envelope } = effect else { continue };
            let message = OneWay::Membership(envelope.clone());
            traffic.messages += 1;
            traffic.bytes += message.encode().len() as u64 + FRAME_BYTES;
            let number = usize::from(to.port()) - FIRST_PORT;
            if let Some(detector) = detectors.get_mut(number) {
                detector.receive(*envelope, *now);
                pending.extend(detector.take_effects());
            }
        }
    }
    traffic
}

/// Framing overhead of a message.
const FRAME_BYTES: u64 = 8;
/// Port of the first node; the port of a detector is this plus its index.
const FIRST_PORT: usize = 7000;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + number) as u16))
}

fn member(number: usize) -> Result<Member, InvalidName> {
    Ok(Member {
        node: NodeId(number as u32 + 1),
        incarnation: Incarnation(1_796_197_169_009_133),
        refutation: 0,
        state: MemberState::Alive,
        is_leaving: false,
        address: address(number),
        region: RegionName::new(&format!("region-{}", number % 4))?,
        zone: ZoneName::new(&format!("zone-{}", number % 9))?,
        roles: RoleSet::PROGRAMS.with(RoleSet::ENGINES),
    })
}

fn measure_bids(queued: usize) -> Result<BidSlope, InvalidName> {
    const BIDS: u32 = 2_000;
    let engine = EngineName::new("engine-0")?;
    let settings = QueueSettings { max_queued: 10_000, ..QueueSettings::default() };
    let mut queue = EngineQueue::new(engine, settings);
    let now = Timestamp(1_000_000);
    let running = settings.max_running;
    for number in 0..queued + running {
        let program = ProgramId::new(&format!("program-{number}"))?;
        let messages = [ChatMessage::assistant(&format!("context of {program}"))];
        let work = EngineWork {
            call: CallId(number as u128),
            program,
            tenant: TenantName::new("tenant")?,
            rank: 0,
            prefixes: context_prefixes(&messages),
            max_output_tokens: 100,
            attained_tokens: 0,
            deadline: None,
        };
        queue.enqueue(work, now);
    }
    let prefixes = context_prefixes(&[ChatMessage::assistant("another")]);
    let started = Instant::now();
    let offered = (0..BIDS).filter(|_| queue.bid(&prefixes, now).is_some()).count();
    let micros = started.elapsed().as_secs_f64() * 1e6 / offered.max(1) as f64;
    Ok(BidSlope { queued, micros })
}

fn heartbeat_bytes() -> usize {
    let message = Message::AppendEntries(AppendEntries {
        term: 7,
        previous_index: 1_000_000,
        previous_term: 7,
        membership: 0,
        committed: 1_000_000,
        sent_at_micros: 1_796_197_169_009_133,
        entries: Vec::new(),
    });
    let group = GroupMessage { shard: ShardId(255), from: replica(410), to: replica(409), message };
    OneWay::Group(Box::new(group)).encode().len() + FRAME_BYTES as usize
}

impl SlopeReport {
    /// Formats the report as text.
    pub fn table(&self) -> String {
        let mut table = String::new();
        for slope in &self.programs {
            table.push_str(&format!(
                "program of {:>3} turns: {:>8} bytes resident, {:>8} of text, {:>8} in the log, {:.1} us a turn\n",
                slope.turns, slope.resident_bytes, slope.text_bytes, slope.log_bytes, slope.micros_per_turn
            ));
        }
        for slope in &self.membership {
            table.push_str(&format!(
                "membership of {:>3} nodes: {:.0} bytes/s, {:.2} messages/s, {:.0} us of processor time a second\n",
                slope.nodes, slope.bytes_per_second, slope.messages_per_second, slope.micros_per_second
            ));
        }
        for slope in &self.bids {
            table.push_str(&format!("bid with {:>4} waiting: {:.2} us\n", slope.queued, slope.micros));
        }
        for slope in &self.choices {
            table.push_str(&format!(
                "choice among {:>5} engines, {:>5} in use: {:.2} us\n",
                slope.engines, slope.in_use, slope.micros
            ));
        }
        for slope in &self.feed_answers {
            table
                .push_str(&format!("answer of a feed of {:>5} items: {:.2} us\n", slope.items, slope.micros));
        }
        table.push_str(&format!("replication heartbeat: {} bytes\n", self.heartbeat_bytes));
        table
    }
}
