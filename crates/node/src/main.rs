//! The `sumacdrift` binary: runs a node or validates its settings.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use sumacdrift_config::{Bundle, Settings};
use sumacdrift_node::{Node, StartOptions, json_logger};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status for invalid settings or command-line arguments.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("run", arguments)) => run(arguments),
        Some(("check", arguments)) => check(arguments),
        _ => ExitCode::from(EXIT_INVALID_INPUT),
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("The node's settings file (TOML)");
    let callers = address_flag("callers", "Listen address for API clients; overrides the settings file");
    let peers = address_flag("peers", "Listen address for other nodes; overrides the settings file");
    let admin = address_flag("admin", "Listen address for operators; overrides the settings file");
    let zone = Arg::new("zone")
        .long("zone")
        .value_name("ZONE")
        .help("Zone of the node; overrides the settings file");
    Command::new("sumacdrift")
        .version(clap::crate_version!())
        .about("A node of the sumacdrift scheduler for agent programs")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Run the node; SIGTERM or SIGINT shuts it down gracefully")
                .arg(settings.clone())
                .args([callers, peers, admin, zone]),
        )
        .subcommand(
            Command::new("check")
                .about("Report every error in the settings file and the bundle file that it names")
                .arg(settings),
        )
}

fn address_flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(clap::value_parser!(std::net::SocketAddr))
        .help(help)
}

fn read_settings(arguments: &ArgMatches) -> Result<Settings, String> {
    let file = arguments.get_one::<String>("settings").map(String::as_str).unwrap_or_default();
    let text = std::fs::read_to_string(file).map_err(|error| format!("failed to read {file}: {error}"))?;
    Settings::parse(file, &text).map_err(|errors| errors.to_string())
}

fn check(arguments: &ArgMatches) -> ExitCode {
    let mut errors = Vec::new();
    match read_settings(arguments) {
        Err(found) => errors.push(found),
        Ok(settings) => {
            if let Some(file) = settings.configuration_sources.bundle_file {
                errors.extend(check_bundle(&file));
            }
        }
    }
    if errors.is_empty() {
        println!("no errors found");
        return ExitCode::SUCCESS;
    }
    for error in errors {
        eprintln!("{error}");
    }
    ExitCode::from(EXIT_INVALID_INPUT)
}

fn check_bundle(file: &str) -> Option<String> {
    match std::fs::read_to_string(file) {
        Err(error) => Some(format!("failed to read {file}: {error}")),
        Ok(text) => Bundle::parse(file, &text).err().map(|errors| errors.to_string()),
    }
}

fn apply_flags(settings: &mut Settings, arguments: &ArgMatches) -> Result<(), String> {
    let address = |name: &str| arguments.get_one::<std::net::SocketAddr>(name).copied();
    if let Some(callers) = address("callers") {
        settings.listen.callers = callers;
    }
    if let Some(peers) = address("peers") {
        settings.listen.peers = peers;
    }
    if let Some(admin) = address("admin") {
        settings.listen.admin = admin;
    }
    if let Some(zone) = arguments.get_one::<String>("zone") {
        settings.zone = sumacdrift_types::ZoneName::new(zone).map_err(|error| format!("--zone: {error}"))?;
    }
    Ok(())
}

fn run(arguments: &ArgMatches) -> ExitCode {
    let settings = read_settings(arguments).and_then(|mut settings| {
        apply_flags(&mut settings, arguments)?;
        Ok(settings)
    });
    let settings = match settings {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run_node(settings)),
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_node(settings: Settings) -> ExitCode {
    let logger = json_logger(settings.log_level);
    let node = match Node::start(settings, StartOptions::with_logger(logger)).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let stopped = node.stopped();
    tokio::select! {
        () = stopped.cancelled() => return ExitCode::FAILURE,
        () = stop_signal() => {}
    }
    if node.stop().await { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Waits for SIGTERM or SIGINT. Never returns if the signal handlers can't be installed.
async fn stop_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
