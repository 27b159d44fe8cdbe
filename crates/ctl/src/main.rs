//! The program `sumacctl`.

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
use sumacdrift_ctl::cause::cause_of;
use sumacdrift_ctl::groups::GroupsState;
use sumacdrift_ctl::log::{LogLine, ReadLines, read_logs};
use sumacdrift_ctl::metrics::read_metrics;
use sumacdrift_ctl::story::story_of;
use sumacdrift_http_client::{HttpClient, HttpError};

/// Exit code when what was asked for is not there.
const NOT_FOUND: u8 = 1;
/// Exit code when something could not be read.
const UNREADABLE: u8 = 2;
/// Time for a node's metrics.
const METRICS_TIME: Duration = Duration::from_secs(3);
/// Largest answer of a metrics address.
const METRICS_BYTES: usize = 4 << 20;

/// Something could not be read.
#[derive(Debug, thiserror::Error)]
enum CtlError {
    /// A log.
    #[error("{path}: {source}")]
    Log { path: String, source: std::io::Error },
    /// A node's metrics.
    #[error("{address}: {source}")]
    Node { address: SocketAddr, source: HttpError },
    /// The request to a node.
    #[error("{address}: {source}")]
    Request { address: SocketAddr, source: http::Error },
    /// The runtime.
    #[error("the runtime does not start: {0}")]
    Runtime(std::io::Error),
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("explain", matches)) => explain(matches),
        Some(("events", matches)) => events(matches),
        Some(("status", matches)) => status(matches),
        _ => Ok(ExitCode::from(UNREADABLE)),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("sumacctl: {error}");
        ExitCode::from(UNREADABLE)
    })
}

fn explain(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let read = logs(matches)?;
    let story = story_of(id, &read.lines);
    let cause = cause_of(&story);
    if matches.get_flag("json") {
        let text = json!({"id": id, "cause": cause, "lines": story.lines, "earlier": story.earlier,
            "around": story.around, "unreadable": read.unreadable});
        println!("{text}");
    } else {
        println!("{id}: {cause}");
        for (title, lines) in [
            ("what happened", &story.lines),
            ("the earlier turn", &story.earlier),
            ("around its end", &story.around),
        ] {
            print_lines(title, lines);
        }
        note_unreadable(&read);
    }
    Ok(if story.lines.is_empty() { ExitCode::from(NOT_FOUND) } else { ExitCode::SUCCESS })
}

fn events(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let read = logs(matches)?;
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
        note_unreadable(&read);
    }
    Ok(if found.is_empty() { ExitCode::from(NOT_FOUND) } else { ExitCode::SUCCESS })
}

fn status(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CtlError::Runtime)?;
    let mut are_all_there = true;
    let mut groups = GroupsState::default();
    for address in matches.get_many::<SocketAddr>("address").into_iter().flatten() {
        let text = match runtime.block_on(fetch_metrics(*address)) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("sumacctl: {error}");
                are_all_there = false;
                continue;
            }
        };
        let metrics = read_metrics(&text);
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
        groups.lines().iter().for_each(|line| println!("{line}"));
    }
    Ok(if are_all_there { ExitCode::SUCCESS } else { ExitCode::from(UNREADABLE) })
}

async fn fetch_metrics(address: SocketAddr) -> Result<String, CtlError> {
    let request = Request::get(format!("http://{address}/metrics")).body(Full::default());
    let request = request.map_err(|source| CtlError::Request { address, source })?;
    let answer = HttpClient::new().fetch(request, METRICS_TIME, METRICS_BYTES).await;
    let answer = answer.map_err(|source| CtlError::Node { address, source })?;
    Ok(String::from_utf8_lossy(answer.body()).into_owned())
}

fn logs(matches: &ArgMatches) -> Result<ReadLines, CtlError> {
    let paths: Vec<&PathBuf> = matches.get_many::<PathBuf>("log").into_iter().flatten().collect();
    let mut sources: Vec<Box<dyn Read>> = Vec::new();
    for path in &paths {
        let path_text = path.display().to_string();
        let file = File::open(path).map_err(|source| CtlError::Log { path: path_text, source })?;
        sources.push(Box::new(file));
    }
    if paths.is_empty() {
        sources.push(Box::new(stdin()));
    }
    read_logs(sources).map_err(|source| CtlError::Log { path: "a log".to_owned(), source })
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

fn note_unreadable(read: &ReadLines) {
    if read.unreadable > 0 {
        eprintln!("sumacctl: {} lines are no log lines", read.unreadable);
    }
}

fn command() -> Command {
    let json = || Arg::new("json").long("json").action(ArgAction::SetTrue).help("writes JSON");
    let log = || {
        Arg::new("log")
            .value_name("LOG")
            .num_args(0..)
            .value_parser(value_parser!(PathBuf))
            .help("logs of nodes; standard input where none is named")
    };
    Command::new("sumacctl")
        .about("asks logs and metrics of sumacdrift nodes")
        .after_help("Exit codes: 0 found, 1 nothing found, 2 something could not be read.")
        .subcommand_required(true)
        .subcommand(
            Command::new("explain")
                .about("tells the story of a call or a program and why it ended as it did")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .value_name("ID")
                        .help("a caller's id of an attempt, or a program's"),
                )
                .arg(log())
                .arg(json()),
        )
        .subcommand(
            Command::new("events")
                .about("lists what nodes came to believe, in the order of time")
                .arg(Arg::new("event").long("event").value_name("NAME").action(ArgAction::Append).help(
                    "only this event; may be repeated. Without it, every line that is not about a call",
                ))
                .arg(Arg::new("node").long("node").value_name("NAME").help("only nodes whose name begins so"))
                .arg(log())
                .arg(json()),
        )
        .subcommand(
            Command::new("status")
                .about("shows the metrics of nodes, without buckets of histograms, and the ledger's groups")
                .arg(
                    Arg::new("address")
                        .required(true)
                        .num_args(1..)
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .help("metrics addresses"),
                )
                .arg(json()),
        )
}
