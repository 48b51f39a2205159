//! Settings of the traffic side.

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
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Choice of endpoints.
    pub routing_mode: RoutingMode,
    /// Whether retries draw on the shared budget. Without it, only the attempts of each
    /// stage are bounded: the baseline.
    pub retry_budget_enabled: bool,
    /// Settings of the scored routing.
    pub routing: RoutingConfig,
    /// Settings of retries.
    pub retry: RetryConfig,
    /// Bounds of the request id table.
    pub at_most_once: AtMostOnceConfig,
    /// Kept answers of all request ids together.
    pub kept_answers_limit_bytes: usize,
    /// Largest request body.
    pub body_limit_bytes: usize,
    /// Largest answer that is taken from an endpoint or an owner VM.
    pub answer_limit_bytes: usize,
    /// Maximum time for a caller to send the head of a request.
    pub header_read_timeout: Duration,
    /// Maximum time for a caller to send the body of a request.
    pub body_read_timeout: Duration,
    /// Maximum time to connect to an endpoint or an owner VM.
    pub connect_timeout: Duration,
    /// How long a non-idempotent attempt may go on after its stage's time, so that its
    /// outcome can be kept for the caller's next try.
    pub non_idempotent_extra: Duration,
    /// How long callers may use an address before they ask again.
    pub address_life: Duration,
    /// Connections of callers at once.
    pub connection_limit: usize,
    /// How long new work is still accepted after this VM's data centre was taken out of
    /// service. Longer than `address_life`, so that callers who ask again in time are not
    /// refused.
    pub data_centre_out_grace: Duration,
    /// Shortest planned stop, so that callers who still use this VM learn another address.
    pub stop_linger: Duration,
    /// Longest planned stop; connections that are still open then are closed.
    pub drain_limit: Duration,
    /// Renders the metrics page, when a recorder is installed.
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
            kept_answers_limit_bytes: 64 * 1024 * 1024,
            body_limit_bytes: 1024 * 1024,
            answer_limit_bytes: 16 * 1024 * 1024,
            header_read_timeout: Duration::from_secs(30),
            body_read_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            non_idempotent_extra: Duration::from_secs(30),
            // A data centre that is out gets no new work after 5 s (P3).
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
