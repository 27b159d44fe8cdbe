//! Metrics in the Prometheus text format.

use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

/// Upper bound of the smallest bucket, in seconds.
const SMALLEST_BUCKET: f64 = 0.001;
/// Ratio of the bounds of neighbouring buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Number of buckets; the largest bound is about 16 seconds.
const BUCKETS: u16 = 15;
const PATH: &str = "/metrics";

/// A histogram of durations in seconds, with buckets from 1 ms to about 16 s.
pub fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, BUCKET_RATIO, BUCKETS))
}

/// Serves a registry at `/metrics` until the process ends.
pub async fn serve_metrics(listener: TcpListener, registry: Arc<Registry>) -> std::io::Result<()> {
    let respond = move || {
        let mut text = String::new();
        // Writing to memory can't fail.
        let _ = encode(&mut text, &registry);
        std::future::ready(text)
    };
    axum::serve(listener, Router::new().route(PATH, get(respond))).await
}
