//! Parsing of nodes' metrics.

use serde::Serialize;

/// A sample of a metric.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Metric {
    /// Metric name, with labels if it has any.
    pub name: String,
    pub value: f64,
}

/// Parses the Prometheus text format. Histogram buckets are left out; sums and counts are kept.
pub fn parse_metrics(text: &str) -> Vec<Metric> {
    let lines = text.lines().filter(|line| !line.starts_with('#') && !line.contains("_bucket{"));
    let metrics = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some(Metric { name: name.to_owned(), value: value.parse().ok()? })
    });
    metrics.collect()
}
