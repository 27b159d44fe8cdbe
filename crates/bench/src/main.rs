//! `sumacbench`: a demo, simulation campaigns and benchmarks.

use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use slog::Logger;
use sumacdrift_bench::campaign::{self, CampaignOptions};
use sumacdrift_bench::demo::{self, DemoOptions};
use sumacdrift_bench::{BenchError, overhead, slopes};
use sumacdrift_config::LogLevel;
use sumacdrift_node::{discard_logger, json_logger};
use sumacdrift_simulation::parse_faults;

/// Exit status if the report is not clean.
const EXIT_VIOLATED: u8 = 1;
/// Exit status if the run itself failed.
const EXIT_FAILED: u8 = 3;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let outcome = match matches.subcommand() {
        Some(("demo", arguments)) => runtime.block_on(run_demo(arguments)),
        Some(("slopes", arguments)) => run_slopes(arguments),
        Some(("simulate", arguments)) => run_simulate(arguments),
        Some(("overhead", arguments)) => runtime.block_on(run_overhead(arguments)),
        _ => Ok(ExitCode::from(EXIT_FAILED)),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_FAILED)
    })
}

fn command() -> Command {
    Command::new("sumacbench")
        .version(clap::crate_version!())
        .about("Demo, simulation campaigns and benchmarks of sumacdrift")
        .subcommand_required(true)
        .subcommand(
            Command::new("demo")
                .about("Run programs and faults on a loopback fleet and check the guarantees")
                .arg(number_arg("nodes", "3", "Nodes, each in a zone of its own"))
                .arg(number_arg("seconds", "20", "Length of the run, in seconds"))
                .arg(number_arg("seed", "1", "Seed of the programs"))
                .arg(number_arg("programs", "200", "Number of programs"))
                .arg(report_arg())
                .arg(log_arg()),
        )
        .subcommand(
            Command::new("slopes")
                .about(
                    "Measure the costs of programs, membership, messages and decisions, for docs/CAPACITY.md",
                )
                .arg(report_arg()),
        )
        .subcommand(
            Command::new("simulate")
                .about("Simulate the state machines under faults on a virtual clock and check the guarantees")
                .arg(number_arg("seed", "1", "First seed"))
                .arg(number_arg("seeds", "1", "Number of seeds"))
                .arg(number_arg("programs", "20", "Programs in each run"))
                .arg(number_arg("threads", "8", "Number of concurrent runs"))
                .arg(
                    Arg::new("faults")
                        .long("faults")
                        .value_name("LIST")
                        .default_value("all")
                        .help("Kinds of fault, such as crash,pause; all, random or none"),
                )
                .arg(report_arg()),
        )
        .subcommand(
            Command::new("overhead")
                .about("Measure the latency and processor time that a node adds to direct calls of an engine")
                .arg(report_arg())
                .arg(log_arg()),
        )
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(clap::value_parser!(u64))
        .help(help)
}

fn report_arg() -> Arg {
    Arg::new("report").long("report").value_name("FILE").help("Write the report as JSON")
}

fn get_number(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}

fn log_arg() -> Arg {
    Arg::new("log").long("log").action(ArgAction::SetTrue).help("Show the nodes' logs")
}

fn build_logger(arguments: &ArgMatches) -> Logger {
    if arguments.get_flag("log") { json_logger(LogLevel::Info) } else { discard_logger() }
}

async fn run_demo(arguments: &ArgMatches) -> Result<ExitCode, BenchError> {
    let options = DemoOptions {
        nodes: get_number(arguments, "nodes").max(1) as usize,
        seconds: get_number(arguments, "seconds").max(1),
        seed: get_number(arguments, "seed"),
        programs: get_number(arguments, "programs").max(1) as usize,
        should_show_progress: std::io::stderr().is_terminal(),
    };
    let report = demo::run(&options, build_logger(arguments)).await?;
    println!("{}", report.table());
    write_report(arguments, &report)?;
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_VIOLATED) })
}

async fn run_overhead(arguments: &ArgMatches) -> Result<ExitCode, BenchError> {
    let report = overhead::run(build_logger(arguments)).await?;
    println!("{}", report.table());
    write_report(arguments, &report)?;
    Ok(ExitCode::SUCCESS)
}

fn run_slopes(arguments: &ArgMatches) -> Result<ExitCode, BenchError> {
    let report = slopes::run()?;
    print!("{}", report.table());
    write_report(arguments, &report)?;
    Ok(ExitCode::SUCCESS)
}

fn run_simulate(arguments: &ArgMatches) -> Result<ExitCode, BenchError> {
    let list = arguments.get_one::<String>("faults").map(String::as_str).unwrap_or("all");
    let faults = match parse_faults(list) {
        Ok(faults) => faults,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(EXIT_FAILED));
        }
    };
    let options = CampaignOptions {
        first_seed: get_number(arguments, "seed"),
        seeds: get_number(arguments, "seeds").max(1),
        programs: get_number(arguments, "programs").max(1) as usize,
        faults,
        threads: get_number(arguments, "threads").max(1) as usize,
    };
    let report = campaign::run(&options);
    eprintln!("{}", report.summary());
    write_report(arguments, &report)?;
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_VIOLATED) })
}

fn write_report(arguments: &ArgMatches, report: &impl serde::Serialize) -> Result<(), BenchError> {
    let Some(file) = arguments.get_one::<String>("report") else { return Ok(()) };
    let text = serde_json::to_string_pretty(report).map_err(|error| BenchError::Report(error.to_string()))?;
    std::fs::write(file, text).map_err(|error| BenchError::Report(error.to_string()))
}
