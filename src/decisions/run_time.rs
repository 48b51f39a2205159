//! Estimates how long the rest of a pipeline runs, so that a wait leaves enough time for the run.
//!
//! A request that gets its token or slot just before its deadline uses slots at endpoints and still
//! misses the deadline. A wait is therefore limited so that the remaining stages have as much time
//! as they usually need (`docs/design.md`, 3.3 and 3.5).

use std::collections::HashMap;
use std::time::Duration;

use crate::units::PipelineName;

/// Settings of [`RunTimes`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTimeConfig {
    /// Weight of a new run time in the smoothed mean.
    pub mean_gain: f64,
    /// Weight of a new run time in the smoothed deviation.
    pub deviation_gain: f64,
    /// Number of deviations that are added to the mean, as in TCP's retransmission timer.
    pub deviations: f64,
    /// Share of the remaining time that is reserved for the run while no run time has been
    /// recorded.
    pub initial_share: f64,
    /// Upper bound of the share of the remaining time that is reserved for the run.
    pub max_share: f64,
}

impl Default for RunTimeConfig {
    fn default() -> Self {
        Self {
            mean_gain: 0.125,
            deviation_gain: 0.25,
            deviations: 4.0,
            initial_share: 0.25,
            max_share: 0.75,
        }
    }
}

/// Smoothed mean and deviation of a run time, in seconds.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

/// Smoothed run times of pipelines, each from the start of a stage to the whole answer.
#[derive(Debug, Default)]
pub struct RunTimes {
    config: RunTimeConfig,
    /// Estimates by pipeline and number of the stage that the run time starts with.
    estimates: HashMap<PipelineName, Vec<Option<Estimate>>>,
}

impl RunTimes {
    /// Creates estimates without recorded run times.
    pub fn new(config: RunTimeConfig) -> Self {
        Self {
            config,
            estimates: HashMap::new(),
        }
    }

    /// Records the time from the start of a stage to the whole answer. Stage 0 starts when the
    /// request is admitted.
    pub fn record(&mut self, pipeline: &PipelineName, stage: usize, run_time: Duration) {
        let stages = self.estimates.entry(pipeline.clone()).or_default();
        if stages.len() <= stage {
            stages.resize(stage + 1, None);
        }
        let time_s = run_time.as_secs_f64();
        let Some(estimate) = &mut stages[stage] else {
            stages[stage] = Some(Estimate {
                mean_s: time_s,
                deviation_s: time_s / 2.0,
            });
            return;
        };
        let error_s = time_s - estimate.mean_s;
        estimate.mean_s += self.config.mean_gain * error_s;
        estimate.deviation_s += self.config.deviation_gain * (error_s.abs() - estimate.deviation_s);
    }

    /// Returns the longest time that a request may wait before a stage if `remaining` is left until
    /// its deadline.
    pub fn max_wait(&self, pipeline: &PipelineName, stage: usize, remaining: Duration) -> Duration {
        let remaining_s = remaining.as_secs_f64();
        let stages = self.estimates.get(pipeline);
        let estimate = stages.and_then(|stages| stages.get(stage).copied().flatten());
        let needed_s = match estimate {
            Some(estimate) => estimate.mean_s + self.config.deviations * estimate.deviation_s,
            None => remaining_s * self.config.initial_share,
        };
        let reserved_s = needed_s.min(remaining_s * self.config.max_share);
        remaining.saturating_sub(Duration::from_secs_f64(reserved_s))
    }
}
