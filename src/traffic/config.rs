//! Settings of the part that serves callers and operators and calls endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;

use crate::decisions::at_most_once::AtMostOnceConfig;
use crate::decisions::retry::RetryConfig;
use crate::decisions::routing::RoutingConfig;
use crate::settings::RoutingMode;

/// Settings of [`crate::traffic::serve`].
#[derive(Clone)]
pub struct TrafficConfig {
    /// Listen address of the caller interface.
    pub caller_address: SocketAddr,
    /// Listen address of the operator interface.
    pub operator_address: SocketAddr,
    /// How an endpoint is chosen for an attempt.
    pub routing_mode: RoutingMode,
    /// Whether retries draw on the shared budget. Without the budget, only the number of
    /// attempts of each stage is bounded; measurements use this as the baseline.
    pub retry_budget_enabled: bool,
    /// Settings of the routing mode `scored`.
    pub routing: RoutingConfig,
    /// Settings of retries, among them the shared retry budget.
    pub retry: RetryConfig,
    /// Limits of the request id table.
    pub at_most_once: AtMostOnceConfig,
    /// Maximum total size of the results stored for all request ids.
    pub stored_results_limit_bytes: usize,
    /// Maximum size of a request body.
    pub body_limit_bytes: usize,
    /// Maximum size of an answer from an endpoint or from the VM that issued a request's id.
    pub answer_limit_bytes: usize,
    /// Timeout for a caller to send the head of a request.
    pub header_read_timeout: Duration,
    /// Timeout for a caller to send the body of a request.
    pub body_read_timeout: Duration,
    /// Timeout to connect to an endpoint or to the VM that issued a request's id.
    pub connect_timeout: Duration,
    /// Maximum time that a non-idempotent attempt may run past its stage's time limit, so that
    /// its outcome can be stored for the caller's next try.
    pub non_idempotent_grace: Duration,
    /// How long callers may use an address before they ask again.
    pub address_life: Duration,
    /// Maximum number of open connections, for callers and for operators each.
    pub connection_limit: usize,
    /// How long new work is still accepted after this VM's data centre was taken out of
    /// service. It is longer than `address_life`, so that callers who ask again in time are not
    /// refused.
    pub data_centre_out_grace: Duration,
    /// Minimum duration of a planned stop, so that callers who still use this VM get the address
    /// of another VM.
    pub stop_linger: Duration,
    /// Maximum duration of a planned stop; connections that are still open then are closed.
    pub drain_limit: Duration,
    /// Renders the metrics page; `None` if no recorder is installed.
    pub metrics: Option<PrometheusHandle>,
}

impl Default for TrafficConfig {
    fn default() -> Self {
        Self {
            caller_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            operator_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            routing_mode: RoutingMode::Scored,
            retry_budget_enabled: true,
            routing: RoutingConfig::default(),
            retry: RetryConfig::default(),
            at_most_once: AtMostOnceConfig::default(),
            stored_results_limit_bytes: 64 * 1024 * 1024,
            body_limit_bytes: 1024 * 1024,
            answer_limit_bytes: 16 * 1024 * 1024,
            header_read_timeout: Duration::from_secs(30),
            body_read_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            non_idempotent_grace: Duration::from_secs(30),
            // A data centre that is out of service gets no new work after 5 s (P3).
            address_life: Duration::from_secs(2),
            connection_limit: 10_000,
            data_centre_out_grace: Duration::from_millis(2_500),
            stop_linger: Duration::from_secs(1),
            // The longest pipeline deadline that a manifest may set is ten minutes.
            drain_limit: Duration::from_secs(660),
            metrics: None,
        }
    }
}
