//! The blended load of an endpoint.

use std::time::Duration;

use crate::blackboard::EndpointLoad;
use crate::units::Time;

/// What is known of one endpoint's load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage<'a> {
    /// This VM's requests in flight there.
    pub in_flight: u32,
    /// Slots granted to this VM there.
    pub granted: u32,
    /// Requests that the endpoint bears at once.
    pub slots: u32,
    /// The latest report.
    pub report: Option<&'a EndpointLoad>,
}

/// How far reports are trusted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScoreConfig {
    /// Weight of a report that was read just now.
    pub fresh_report_weight: f64,
    /// The weight halves with each such age of the report.
    pub report_half_life: Duration,
    /// What a cached prefix takes off the score.
    pub prefix_bonus: f64,
}

impl Default for ScoreConfig {
    fn default() -> Self {
        Self {
            fresh_report_weight: 0.6,
            report_half_life: Duration::from_secs(1),
            prefix_bonus: 0.4,
        }
    }
}

/// Returns the share of the endpoint's capacity that is in use, 1 at full load.
///
/// The own count is exact but sees one VM's part; the report sees all, but late.
pub(super) fn blended_load(now: Time, usage: Usage<'_>, config: &ScoreConfig) -> f64 {
    let own = ratio(usage.in_flight, usage.granted);
    let Some(report) = usage.report else {
        return own;
    };
    let age = now.since(report.read_at).as_secs_f64();
    let half_life = config.report_half_life.as_secs_f64().max(1e-3);
    let weight = config.fresh_report_weight * (-age / half_life).exp2();
    let reported = ratio(report.running.saturating_add(report.queued), usage.slots);
    own * (1.0 - weight) + reported * weight
}

fn ratio(used: u32, capacity: u32) -> f64 {
    f64::from(used) / f64::from(capacity.max(1))
}
