//! Metrics in the Prometheus text format.

use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

/// Smallest bucket of the time histograms, in seconds.
const SMALLEST_BUCKET: f64 = 0.001;
/// Ratio of neighbouring buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Number of buckets; the largest is about 16 seconds.
const BUCKETS: u16 = 15;
/// Path of the metrics.
const PATH: &str = "/metrics";

/// A histogram of times in seconds.
pub fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, BUCKET_RATIO, BUCKETS))
}

/// Serves a registry for as long as the process runs.
pub async fn serve_metrics(listener: TcpListener, registry: Arc<Registry>) -> std::io::Result<()> {
    let answer = move || {
        let mut text = String::new();
        // Writing to memory does not fail.
        let _ = encode(&mut text, &registry);
        std::future::ready(text)
    };
    axum::serve(listener, Router::new().route(PATH, get(answer))).await
}
