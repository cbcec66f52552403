//! Metrics as text, for programs that serve them by a listener of their own.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Bounds of histograms of times, in milliseconds.
const MILLISECONDS: [f64; 11] = [
    1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 3_000.0,
];

/// Begins to count, once for the process. Later calls do nothing.
pub fn begin() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&MILLISECONDS).ok()?;
        builder.install_recorder().ok()
    });
}

/// The metrics as text; empty before [`begin`].
#[must_use]
pub fn text() -> String {
    HANDLE
        .get()
        .and_then(Option::as_ref)
        .map_or_else(String::new, PrometheusHandle::render)
}
