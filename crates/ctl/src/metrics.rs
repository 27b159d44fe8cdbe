//! What a node serves at its metrics address, in short.

use serde::Serialize;

/// A metric with its value.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Metric {
    /// Name with labels.
    pub name: String,
    /// Value.
    pub value: f64,
}

/// Reads the Prometheus text format; buckets of histograms are left out, their sums and counts stay.
pub fn read_metrics(text: &str) -> Vec<Metric> {
    let lines = text.lines().filter(|line| !line.starts_with('#') && !line.contains("_bucket{"));
    let metrics = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some(Metric { name: name.to_owned(), value: value.parse().ok()? })
    });
    metrics.collect()
}
