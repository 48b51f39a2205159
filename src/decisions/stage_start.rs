//! Decides when the stages of a request start, for a request with parallel stages.
//!
//! The results of a stage use memory at its endpoint until the next reader, usually the
//! generation, has all its inputs. A stage that runs in parallel to a longer branch is therefore
//! delayed so that it ends together with that branch. Otherwise endpoints run out of memory for
//! results while they run half-empty batches, because the results of one branch wait for those of
//! the other.

use std::time::Duration;

use smallvec::SmallVec;

use crate::units::Time;

/// Margin by which a stage starts earlier than necessary, as a part of its expected time. The
/// expected time is only a mean, and the stage that ends last delays the request.
const EARLY_START_RATIO: f64 = 0.5;

/// Number of stages that most routes do not exceed; lists of up to this length need no heap
/// allocation.
const INLINE_STAGES: usize = 6;

/// Progress of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The stage has not started.
    Waiting,
    /// The stage has been running since this time.
    Running(Time),
    /// The stage has ended.
    Done,
}

/// State of a stage of a request in progress.
#[derive(Debug, Clone)]
pub struct StageState<'a> {
    /// Numbers of the stages whose results this stage reads; all of them are lower than its own.
    pub after: &'a [usize],
    /// Expected time of the stage, including the wait for endpoints.
    pub expected: Duration,
    /// Progress of the stage.
    pub progress: Progress,
}

/// Returns the time at which each stage is to start. The time is `None` for a stage that has
/// started or whose inputs are not available yet. It may lie in the past for a stage that is to
/// start at once.
pub fn start_times(
    now: Time,
    stages: &[StageState<'_>],
) -> SmallVec<[Option<Time>; INLINE_STAGES]> {
    // Forward pass: the expected end of each stage if it starts as soon as its inputs are ready.
    let mut ends: SmallVec<[Time; INLINE_STAGES]> = SmallVec::new();
    for stage in stages {
        let input_ends = stage.after.iter().filter_map(|input| ends.get(*input));
        let ready = input_ends.copied().max().unwrap_or(now);
        ends.push(match stage.progress {
            Progress::Waiting => ready + stage.expected,
            Progress::Running(since) => now.max(since + stage.expected),
            Progress::Done => now,
        });
    }
    let end = ends.iter().copied().max().unwrap_or(now);
    // Backward pass: the latest start of each stage that does not delay the end of the last one.
    let mut starts: SmallVec<[Option<Time>; INLINE_STAGES]> = SmallVec::new();
    let mut latest_ends: SmallVec<[Time; INLINE_STAGES]> = SmallVec::from_elem(end, stages.len());
    for (number, stage) in stages.iter().enumerate().rev() {
        let latest_start = latest_ends[number] - stage.expected;
        for input in stage.after {
            if let Some(latest_end) = latest_ends.get_mut(*input) {
                *latest_end = latest_start.min(*latest_end);
            }
        }
        let is_done = |input: &usize| {
            let input_stage = stages.get(*input);
            input_stage.is_none_or(|input_stage| input_stage.progress == Progress::Done)
        };
        let is_ready = stage.progress == Progress::Waiting && stage.after.iter().all(is_done);
        starts.push(is_ready.then(|| latest_start - stage.expected.mul_f64(EARLY_START_RATIO)));
    }
    starts.reverse();
    starts
}
