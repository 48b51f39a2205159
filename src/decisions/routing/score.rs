//! Estimates the load of an endpoint from this VM's own count and the endpoint's report.

use std::time::Duration;

use crate::blackboard::EndpointLoad;
use crate::units::Time;

/// Known facts about the load of one endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage<'a> {
    /// Number of this VM's attempts in flight at the endpoint.
    pub in_flight: u32,
    /// Number of slots that this VM is granted at the endpoint.
    pub granted: u32,
    /// Number of requests that the endpoint can run at once.
    pub slots: u32,
    /// Latest load report of the endpoint, if there is one.
    pub report: Option<&'a EndpointLoad>,
}

/// Settings of the load score.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScoreConfig {
    /// Weight of a report that was read just now; the rest is the weight of the own count.
    pub fresh_report_weight: f64,
    /// Half-life of the weight of a report, by the age of the report.
    pub report_half_life: Duration,
    /// Amount by which a cached prefix lowers the load score of an engine.
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
/// The result is a weighted mean: this VM's own count is exact but covers only the attempts of one
/// VM; the report of the endpoint covers all VMs but arrives late.
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
