//! `sumacctl`: the operators' command line for logs and metrics.

use std::fs::File;
use std::io::{Read, stdin};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::Request;
use http_body_util::Full;
use serde_json::json;
use sumacdrift_ctl::call_trace::collect_trace;
use sumacdrift_ctl::cause::explain_end;
use sumacdrift_ctl::groups::GroupsState;
use sumacdrift_ctl::log::{LogLine, ParsedLogs, read_logs};
use sumacdrift_ctl::metrics::parse_metrics;
use sumacdrift_http_client::{HttpClient, HttpError};

/// Exit code if nothing matched.
const NOT_FOUND: u8 = 1;
/// Exit code if a log or a node could not be read.
const UNREADABLE: u8 = 2;
const METRICS_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_METRICS_BYTES: usize = 4 << 20;

/// Failure to read a log or a node's metrics.
#[derive(Debug, thiserror::Error)]
enum CtlError {
    #[error("{path}: {source}")]
    ReadLog { path: String, source: std::io::Error },
    #[error("{address}: {source}")]
    FetchMetrics { address: SocketAddr, source: HttpError },
    #[error("{address}: {source}")]
    BuildRequest { address: SocketAddr, source: http::Error },
    #[error("cannot start the async runtime: {0}")]
    StartRuntime(std::io::Error),
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("explain", matches)) => explain(matches),
        Some(("events", matches)) => events(matches),
        Some(("status", matches)) => status(matches),
        _ => Ok(ExitCode::from(UNREADABLE)),
    };
    result.unwrap_or_else(|error| {
        eprintln!("sumacctl: {error}");
        ExitCode::from(UNREADABLE)
    })
}

fn explain(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let read = read_log_files(matches)?;
    let trace = collect_trace(id, &read.lines);
    let cause = explain_end(&trace);
    if matches.get_flag("json") {
        let text = json!({"id": id, "cause": cause, "lines": trace.lines, "earlier": trace.earlier,
            "around": trace.nearby, "unreadable": read.unreadable});
        println!("{text}");
    } else {
        println!("{id}: {cause}");
        for (title, lines) in [
            ("log lines", &trace.lines),
            ("earlier turn", &trace.earlier),
            ("state changes shortly before the end", &trace.nearby),
        ] {
            print_lines(title, lines);
        }
        warn_unreadable(&read);
    }
    Ok(if trace.lines.is_empty() { ExitCode::from(NOT_FOUND) } else { ExitCode::SUCCESS })
}

fn events(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let read = read_log_files(matches)?;
    let wanted: Vec<&String> = matches.get_many::<String>("event").into_iter().flatten().collect();
    let node = matches.get_one::<String>("node");
    let is_wanted = |line: &&LogLine| {
        let is_event = wanted.iter().any(|event| **event == line.event);
        let is_node = node.is_none_or(|node| line.node.starts_with(node.as_str()));
        is_node && (is_event || (wanted.is_empty() && line.text("call").is_empty()))
    };
    let found: Vec<LogLine> = read.lines.iter().filter(is_wanted).cloned().collect();
    if matches.get_flag("json") {
        found.iter().for_each(|line| println!("{}", json!(line)));
    } else {
        print_lines("events", &found);
        warn_unreadable(&read);
    }
    Ok(if found.is_empty() { ExitCode::from(NOT_FOUND) } else { ExitCode::SUCCESS })
}

fn status(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CtlError::StartRuntime)?;
    let mut is_complete = true;
    let mut groups = GroupsState::default();
    for address in matches.get_many::<SocketAddr>("address").into_iter().flatten() {
        let text = match runtime.block_on(fetch_metrics(*address)) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("sumacctl: {error}");
                is_complete = false;
                continue;
            }
        };
        let metrics = parse_metrics(&text);
        groups.add(&address.to_string(), &metrics);
        if matches.get_flag("json") {
            println!("{}", json!({"address": address, "metrics": metrics}));
        } else {
            println!("{address}");
            metrics.iter().for_each(|metric| println!("  {} {}", metric.name, metric.value));
        }
    }
    if matches.get_flag("json") {
        println!("{}", json!(groups));
    } else {
        groups.format_lines().iter().for_each(|line| println!("{line}"));
    }
    Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::from(UNREADABLE) })
}

async fn fetch_metrics(address: SocketAddr) -> Result<String, CtlError> {
    let request = Request::get(format!("http://{address}/metrics")).body(Full::default());
    let request = request.map_err(|source| CtlError::BuildRequest { address, source })?;
    let response = HttpClient::new().fetch(request, METRICS_TIMEOUT, MAX_METRICS_BYTES).await;
    let response = response.map_err(|source| CtlError::FetchMetrics { address, source })?;
    Ok(String::from_utf8_lossy(response.body()).into_owned())
}

fn read_log_files(matches: &ArgMatches) -> Result<ParsedLogs, CtlError> {
    let paths: Vec<&PathBuf> = matches.get_many::<PathBuf>("log").into_iter().flatten().collect();
    let mut sources: Vec<Box<dyn Read>> = Vec::new();
    for path in &paths {
        let path_text = path.display().to_string();
        let file = File::open(path).map_err(|source| CtlError::ReadLog { path: path_text, source })?;
        sources.push(Box::new(file));
    }
    if paths.is_empty() {
        sources.push(Box::new(stdin()));
    }
    read_logs(sources).map_err(|source| CtlError::ReadLog { path: "log input".to_owned(), source })
}

fn print_lines(title: &str, lines: &[LogLine]) {
    if lines.is_empty() {
        return;
    }
    println!("\n{title}:");
    for line in lines {
        println!("  {} {} {} {}", line.ts, line.node, line.event, line.summary());
    }
}

fn warn_unreadable(read: &ParsedLogs) {
    if read.unreadable > 0 {
        eprintln!("sumacctl: skipped {} lines that are not log lines", read.unreadable);
    }
}

fn command() -> Command {
    let json = || Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON");
    let log = || {
        Arg::new("log")
            .value_name("LOG")
            .num_args(0..)
            .value_parser(value_parser!(PathBuf))
            .help("Logs of nodes; standard input if none is given")
    };
    Command::new("sumacctl")
        .about("Inspects logs and metrics of sumacdrift nodes")
        .after_help("Exit codes: 0 found, 1 nothing found, 2 a log or a node could not be read.")
        .subcommand_required(true)
        .subcommand(
            Command::new("explain")
                .about("Shows the log lines of a call or a program and explains how it ended")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .value_name("ID")
                        .help("Id that a caller gave to an attempt, or id of a program"),
                )
                .arg(log())
                .arg(json()),
        )
        .subcommand(
            Command::new("events")
                .about("Lists state changes of nodes in order of time")
                .arg(
                    Arg::new("event").long("event").value_name("NAME").action(ArgAction::Append).help(
                        "Only this event; may be repeated. Default: all lines that are not about a call",
                    ),
                )
                .arg(
                    Arg::new("node")
                        .long("node")
                        .value_name("NAME")
                        .help("Only nodes whose name begins with this"),
                )
                .arg(log())
                .arg(json()),
        )
        .subcommand(
            Command::new("status")
                .about(
                    "Shows metrics of nodes, without histogram buckets, and the state of the ledger's groups",
                )
                .arg(
                    Arg::new("address")
                        .required(true)
                        .num_args(1..)
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Metrics addresses of nodes"),
                )
                .arg(json()),
        )
}
