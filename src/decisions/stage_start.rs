//! When the stages of a request start, for a request that has several at a time.
//!
//! The results of a stage use memory at its endpoint until the next reader, usually the
//! generation, has all its inputs. A stage beside a longer branch therefore starts only so early
//! that it ends with that branch. Answers the pattern of endpoints that lack memory for results
//! while their calls are half empty: results of one branch wait for the other one.

use std::time::Duration;

use smallvec::SmallVec;

use crate::units::Time;

/// Part of its expected time by which a stage starts earlier than it has to: the expected time
/// is a mean, and a stage that ends last delays its request.
const EARLY_PART: f64 = 0.5;

/// Most routes have at most this many stages.
const USUAL_STAGES: usize = 6;

/// How far a stage of a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It has not started.
    Waiting,
    /// It runs since a time.
    Running(Time),
    /// It has ended.
    Done,
}

/// A stage of a request that runs.
#[derive(Debug, Clone)]
pub struct StageState<'a> {
    /// The stages that it reads; all of them have lower numbers.
    pub after: &'a [usize],
    /// Its expected time, the wait for endpoints included.
    pub expected: Duration,
    /// How far it is.
    pub progress: Progress,
}

/// Returns for each stage when it is to start: nothing for a stage that has started, or whose
/// inputs are not there yet.
pub fn start_times(now: Time, stages: &[StageState<'_>]) -> SmallVec<[Option<Time>; USUAL_STAGES]> {
    let mut ends: SmallVec<[Time; USUAL_STAGES]> = SmallVec::new();
    for stage in stages {
        let inputs = stage.after.iter().filter_map(|before| ends.get(*before));
        let ready = inputs.copied().max().unwrap_or(now);
        ends.push(match stage.progress {
            Progress::Waiting => ready + stage.expected,
            Progress::Running(since) => now.max(since + stage.expected),
            Progress::Done => now,
        });
    }
    let end = ends.iter().copied().max().unwrap_or(now);
    let mut starts: SmallVec<[Option<Time>; USUAL_STAGES]> = SmallVec::new();
    let mut latest: SmallVec<[Time; USUAL_STAGES]> = SmallVec::from_elem(end, stages.len());
    for (number, stage) in stages.iter().enumerate().rev() {
        let start = latest[number] - stage.expected;
        for before in stage.after {
            if let Some(latest) = latest.get_mut(*before) {
                *latest = start.min(*latest);
            }
        }
        let is_done = |before: &usize| {
            let before = stages.get(*before);
            before.is_none_or(|before| before.progress == Progress::Done)
        };
        let is_ready = stage.progress == Progress::Waiting && stage.after.iter().all(is_done);
        starts.push(is_ready.then(|| start - stage.expected.mul_f64(EARLY_PART)));
    }
    starts.reverse();
    starts
}
