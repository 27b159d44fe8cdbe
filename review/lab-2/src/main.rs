//! Scripts of the second independent review: `review-lab-2 CASE ROOT RECORD`. With TROUBLE=0 a case does the same without its
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

mod budget_pause;
mod budget_race;
mod chain_pause;
mod client;
mod crashes;
mod engine;
mod fleet;
mod full_journal;
mod http;
mod json;
mod lost_snapshot;
mod record;
mod slow_client;
mod slow_engine;
mod store;
mod store_moves;

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, path] = arguments.as_slice() else {
        eprintln!("usage: review-lab-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let Ok(record) = record::Record::create(Path::new(path)) else { return ExitCode::from(2) };
    let record = Arc::new(record);
    record.line(format!(
        "case {case}, {}",
        if trouble { "with its disruption" } else { "without its disruption" }
    ));
    let outcome = match case.as_str() {
        "chain-pause" => chain_pause::run(Path::new(root), trouble, Arc::clone(&record)),
        "budget-pause" => budget_pause::run(Path::new(root), trouble, Arc::clone(&record)),
        "budget-race" => budget_race::run(Path::new(root), trouble, Arc::clone(&record)),
        "slow-client" => slow_client::run(Path::new(root), trouble, Arc::clone(&record)),
        "slow-engine" => slow_engine::run(Path::new(root), trouble, Arc::clone(&record)),
        "crashes" => crashes::run(Path::new(root), trouble, Arc::clone(&record)),
        "store-moves" => store_moves::run(Path::new(root), trouble, Arc::clone(&record)),
        "lost-snapshot" => lost_snapshot::run(Path::new(root), trouble, Arc::clone(&record)),
        "full-journal" => full_journal::run(Path::new(root), Arc::clone(&record)),
        _ => return ExitCode::from(2),
    };
    let verdict = outcome.unwrap_or_else(|error| {
        record.line(format!("the case could not run: {}", error.kind()));
        Verdict::CouldNotRun
    });
    record.line(format!("verdict: {verdict:?}"));
    println!("{case}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
