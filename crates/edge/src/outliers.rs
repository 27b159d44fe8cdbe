//! Outlier ejection, with one log line for each change.

use slog::info;
use sumacdrift_routing::{OutlierChange, OutlierChangeKind};
use sumacdrift_types::Timestamp;

use crate::edge::Edge;
use crate::wire_format::WireFormat;

impl<D: WireFormat> Edge<D> {
    /// Ejects engines that have become outliers and readmits those whose ejection has expired.
    pub(crate) fn update_outliers(&self, now: Timestamp) {
        let changes = self.engines().update_ejections(now);
        for change in &changes {
            self.report_outlier(change);
        }
    }

    fn report_outlier(&self, change: &OutlierChange) {
        let (event, pause_millis) = match change.kind {
            OutlierChangeKind::Ejected { pause } => {
                self.metrics.outlier_ejections.inc();
                ("engine_put_aside", Some(pause.as_millis() as u64))
            }
            OutlierChangeKind::Recovered => ("engine_brought_back", None),
            OutlierChangeKind::Released => ("engine_released", None),
        };
        info!(self.logger, "outlier state of an engine changed"; "event" => event, "engine" => %change.engine,
            "failed" => change.calls.failed, "ended" => change.calls.ended,
            "rate" => change.calls.failure_rate(), "rest_rate" => change.rest_rate, "pause_ms" => pause_millis,
            "others_age_ms" => change.peer_report_age.map(|age| age.as_millis() as u64));
    }
}
