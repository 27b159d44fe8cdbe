//! Runs one case of the review: `review-harness CASE RECORD`, in the repository's root. `RECORD` is the file to write.
//!
//! Exit code 0: the rule held; 1: it was broken; 2: the case couldn't run.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod json;
mod machine;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest run; after it the processes end with this one.
const LIMIT: Duration = Duration::from_secs(115);

pub struct Setup {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(root) = std::env::current_dir() else { return ExitCode::from(2) };
    if !machine::has_program(&root) {
        eprintln!("target/release/sumacdrift-platform is missing: run the build of the deploy file first");
        return ExitCode::from(2);
    }
    let record = match Record::create(&PathBuf::from(file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, trouble={has_trouble}"));
    let setup = Setup { root, record: record.clone(), has_trouble };
    let (sender, outcome) = std::sync::mpsc::channel();
    let name = case.clone();
    std::thread::spawn(move || {
        let _ = sender.send(cases::run(&name, setup));
    });
    let code = match outcome.recv_timeout(LIMIT) {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            record.say(&format!("could not run: {error}"));
            2
        }
        Err(_) => {
            record.say("could not run: it took too long");
            machine::kill_all_started();
            2
        }
    };
    record.say(&format!("exit {code}"));
    record.flush();
    ExitCode::from(code)
}
