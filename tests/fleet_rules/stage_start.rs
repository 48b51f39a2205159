//! Guards the start times of stages that run in parallel to a longer branch of the same request.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::stage_start::Progress::{Done, Running, Waiting};
use primrosewalk::decisions::stage_start::{Progress, StageState, start_times};

use crate::at;

/// Stages of a request and when they are expected to start.
struct Case {
    name: &'static str,
    /// For each stage: indices of the stages that it reads, expected duration in milliseconds, and
    /// progress.
    stages: &'static [(&'static [usize], u64, Progress)],
    /// For each stage: start in milliseconds after now, or `None` if it is not ready.
    starts_ms: &'static [Option<i64>],
}

const NOW_MS: u64 = 1_000;

fn running_since(ms: u64) -> Progress {
    Running(at(ms))
}

#[gtest]
fn a_stage_beside_a_longer_branch_starts_in_time_to_end_with_it() {
    let cases = [
        Case {
            name: "a chain starts at once and in order",
            stages: &[(&[], 300, Waiting), (&[0], 300, Waiting)],
            starts_ms: &[Some(-150), None],
        },
        Case {
            name: "a stage beside a chain of three waits",
            stages: &[
                (&[], 300, Waiting),
                (&[], 300, Waiting),
                (&[1], 300, Waiting),
                (&[2], 300, Waiting),
            ],
            starts_ms: &[Some(450), Some(-150), None, None],
        },
        Case {
            name: "a waiting stage starts with the last stage of the chain",
            stages: &[
                (&[], 300, Waiting),
                (&[], 300, Done),
                (&[1], 300, Done),
                (&[2], 300, Waiting),
            ],
            starts_ms: &[Some(-150), None, None, Some(-150)],
        },
        Case {
            name: "a chain waits for a stage whose service is overloaded",
            stages: &[
                (&[], 3_000, Waiting),
                (&[], 200, Done),
                (&[1], 300, Waiting),
                (&[2], 300, Waiting),
            ],
            starts_ms: &[Some(-1_500), None, Some(2_250), None],
        },
        Case {
            name: "no stage starts when all are done",
            stages: &[(&[], 300, Done), (&[0], 300, Done)],
            starts_ms: &[None, None],
        },
        Case {
            name: "an input from a stage that does not exist counts as available",
            stages: &[(&[7], 300, Waiting)],
            starts_ms: &[Some(-150)],
        },
    ];
    for case in cases {
        let states: Vec<StageState<'_>> = case
            .stages
            .iter()
            .map(|(after, expected_ms, progress)| StageState {
                after,
                expected: Duration::from_millis(*expected_ms),
                progress: *progress,
            })
            .collect();
        let starts = start_times(at(NOW_MS), &states);
        let expected: Vec<_> = case
            .starts_ms
            .iter()
            .map(|ms| ms.map(|ms| at(NOW_MS.checked_add_signed(ms).unwrap_or(0))))
            .collect();
        // Any start time before now means that the stage starts now.
        let now = at(NOW_MS);
        let from_now = |start: &Option<_>| start.map(|start| now.max(start));
        let starts: Vec<_> = starts.iter().map(from_now).collect();
        let expected: Vec<_> = expected.iter().map(from_now).collect();
        expect_that!(starts, eq(&expected), "{}", case.name);
    }
}

/// A branch that runs longer than expected does not delay the other one without end.
#[gtest]
fn an_overdue_branch_holds_nothing_back() {
    let states = [
        StageState {
            after: &[],
            expected: Duration::from_millis(300),
            progress: Waiting,
        },
        StageState {
            after: &[],
            expected: Duration::from_millis(300),
            progress: running_since(0),
        },
    ];
    let starts = start_times(at(NOW_MS), &states);
    expect_that!(starts[0], some(le(at(NOW_MS))));
    expect_that!(starts[1], none());
}

/// Replays a request with a chain of three stages and a large stage in parallel to it. The results
/// of the large stage wait for the end of the chain no longer than one call takes.
#[gtest]
fn results_beside_a_chain_wait_less_than_a_call() {
    const CALL_MS: u64 = 300;
    let after: [&[usize]; 4] = [&[], &[], &[1], &[2]];
    let mut progress = [Waiting; 4];
    let mut ended_ms = [0; 4];
    for now_ms in 0..5_000 {
        for number in 0..4 {
            if let Running(since) = progress[number]
                && at(now_ms).since(since) >= Duration::from_millis(CALL_MS)
            {
                progress[number] = Done;
                ended_ms[number] = now_ms;
            }
        }
        let states: Vec<StageState<'_>> = (0..4)
            .map(|number| StageState {
                after: after[number],
                expected: Duration::from_millis(CALL_MS),
                progress: progress[number],
            })
            .collect();
        let starts = start_times(at(now_ms), &states);
        for (number, start) in starts.iter().enumerate() {
            if start.is_some_and(|start| start <= at(now_ms)) {
                progress[number] = Running(at(now_ms));
            }
        }
    }
    expect_that!(
        ended_ms[3],
        eq(3 * CALL_MS),
        "end of the chain, which must not be delayed"
    );
    expect_that!(
        ended_ms[3] - ended_ms[0],
        le(CALL_MS),
        "time for which the results of the large stage wait"
    );
}
