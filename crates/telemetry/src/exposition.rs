//! Metrics in the Prometheus text format, for programs that serve them from a listener of their own.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Bucket bounds of latency histograms, in milliseconds.
const BUCKETS_MS: [f64; 11] = [
    1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 3_000.0,
];

/// Installs the metrics recorder of the process. Later calls do nothing.
pub fn install() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_MS).ok()?;
        builder.install_recorder().ok()
    });
}

/// Renders the metrics in the Prometheus text format; empty before [`install`].
#[must_use]
pub fn render() -> String {
    HANDLE
        .get()
        .and_then(Option::as_ref)
        .map_or_else(String::new, PrometheusHandle::render)
}
