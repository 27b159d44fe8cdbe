//! Engines that are put aside as outliers and brought back: one line for each change.

use slog::info;
use sumacdrift_routing::{OutlierChange, OutlierChangeKind};
use sumacdrift_types::Timestamp;

use crate::dialect::Dialect;
use crate::edge::Edge;

impl<D: Dialect> Edge<D> {
    /// Puts engines aside that are outliers by now, and brings back those whose time is over.
    pub(crate) fn judge_outliers(&self, now: Timestamp) {
        let changes = self.book().judge_outliers(now);
        for change in &changes {
            self.report_outlier(change);
        }
    }

    fn report_outlier(&self, change: &OutlierChange) {
        let (event, pause_millis) = match change.kind {
            OutlierChangeKind::PutAside { pause } => {
                self.metrics.outlier_ejections.inc();
                ("engine_put_aside", Some(pause.as_millis() as u64))
            }
            OutlierChangeKind::BroughtBack => ("engine_brought_back", None),
            OutlierChangeKind::Released => ("engine_released", None),
        };
        info!(self.logger, "engine judged by its failures"; "event" => event, "engine" => %change.engine,
            "failed" => change.calls.failed, "ended" => change.calls.ended,
            "rate" => change.calls.failure_rate(), "rest_rate" => change.rest_rate, "pause_ms" => pause_millis,
            "others_age_ms" => change.news_age.map(|age| age.as_millis() as u64));
    }
}
