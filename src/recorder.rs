//! Upkeep of the metrics recorder, which both edges share.

use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::time::interval;

/// Interval at which samples are aggregated.
pub const AGGREGATION_PERIOD: Duration = Duration::from_secs(5);

/// Aggregates the samples of histograms every `period`. The recorder keeps each sample until then, so
/// the memory of metrics that nobody reads would grow with each request.
pub async fn aggregate_samples(metrics: PrometheusHandle, period: Duration) {
    let mut ticks = interval(period);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}
