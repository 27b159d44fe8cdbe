//! The record of a run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started: Instant::now(), out })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds();
        if let Ok(mut out) = self.out.lock() {
            let _ = writeln!(out, "{seconds:8.3} {text}");
        }
    }

    /// A line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.line(text);
    }

    pub fn flush(&self) {
        if let Ok(mut out) = self.out.lock() {
            let _ = out.flush();
        }
    }
}
