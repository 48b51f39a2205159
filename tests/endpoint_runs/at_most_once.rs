//! The at-most-once table under repeated requests, outdated clock readings, evicted answers and
//! full tables.
//!
//! Guards P7 and P8: no request id runs twice, and one that was refused as not run never runs.

use std::time::Duration;

use primrosewalk::decisions::at_most_once::{AtMostOnceConfig, AtMostOnceTable, Begin, Refuse};
use primrosewalk::units::{Incarnation, RequestId, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{ScheduleResult, Trace, check, name, run_seeds};

#[derive(Default)]
struct IdState {
    runs: u32,
    running: bool,
    refused: bool,
}

fn schedule(random: &mut ChaCha8Rng, trace: &mut Trace) -> ScheduleResult {
    let config = AtMostOnceConfig {
        id_life: Duration::from_millis(600),
        answer_limit_bytes: 50,
        total_answers_limit_bytes: 200,
        record_limit: random.random_range(2..12),
        id_limit: 256,
    };
    let new_table = |incarnation| {
        AtMostOnceTable::<usize>::new(config, name("vm", 0), Incarnation(incarnation), [7; 32])
    };
    let mut table = new_table(2);
    let earlier_incarnation_id = new_table(1).issue(Time::ZERO);
    let mut ids: Vec<(RequestId, IdState)> = Vec::new();
    let mut now_ms = 1_000;
    for _ in 0..600 {
        now_ms += random.random_range(0..20);
        // A thread reads the clock before it waits for the table, so its reading can be outdated.
        let now = Time::from_millis(now_ms - random.random_range(0..700));
        if ids.len() < 3 || random.random_range(0..5) == 0 {
            ids.push((table.issue(now), IdState::default()));
        }
        let newest = ids.len().min(60);
        let index = ids.len() - 1 - random.random_range(0..newest);
        let (id, state) = &mut ids[index];
        match random.random_range(0..12) {
            0..6 => {
                let outcome = table.begin(now, id);
                trace.note(|| format!("{now_ms} begin {index} at {now}: {outcome:?}"));
                state.runs += u32::from(outcome == Begin::Run);
                let expected = match outcome {
                    Begin::Run => !state.refused && !std::mem::replace(&mut state.running, true),
                    Begin::AlreadyRunning => state.running,
                    Begin::Ended(answer) => answer == index && !state.running,
                    Begin::Full => !std::mem::replace(&mut state.refused, true) && state.runs == 0,
                    Begin::Forgotten => !state.running,
                    _ => false,
                };
                check(expected && state.runs <= 1, || {
                    format!("id {index} had a wrong outcome or ran more than once")
                })?;
            }
            6..9 => {
                table.end(id, index, random.random_range(0..70));
                state.running = false;
            }
            9 => {
                table.abandon(id);
                state.running = false;
            }
            10 => {
                let outcome = table.refuse(now, id, index, 10);
                trace.note(|| format!("{now_ms} refuse {index}: {outcome:?}"));
                state.refused |= outcome == Refuse::Final;
                check(outcome != Refuse::Final || state.runs == 0, || {
                    format!("id {index} was refused as not run after it ran")
                })?;
            }
            _ => {
                table.expire(Time::from_millis(now_ms));
                let mut forged = id.clone();
                forged.issued_at = Time::from_millis(now_ms + 1);
                let outcomes = [
                    table.begin(now, &forged),
                    table.begin(now, &earlier_incarnation_id),
                ];
                let expected = [Begin::Forged, Begin::EarlierIncarnation];
                check(outcomes == expected, || {
                    format!("a forged id and one of an earlier incarnation got {outcomes:?}")
                })?;
            }
        }
        let running = ids.iter().filter(|(_, state)| state.running).count();
        check(table.running() == running, || {
            format!(
                "{running} ids run, but the table counts {}",
                table.running()
            )
        })?;
        check(table.stored_bytes() <= 200, || {
            format!(
                "the stored answers take {} of 200 bytes",
                table.stored_bytes()
            )
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn no_id_runs_twice_or_after_a_refusal() {
    run_seeds("once", 1_000, schedule);
}
