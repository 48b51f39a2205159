//! The at-most-once table under copies, late clocks, evictions and full tables.
//!
//! Guards P7 and P8: no id runs twice, and one that was refused as not run never runs.

use std::time::Duration;

use primrosewalk::decisions::at_most_once::{AtMostOnceConfig, AtMostOnceTable, Begin, Refuse};
use primrosewalk::units::{Incarnation, RequestId, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{Trace, Verdict, check, name, run};

#[derive(Default)]
struct Known {
    runs: u32,
    running: bool,
    refused: bool,
}

fn schedule(random: &mut ChaCha8Rng, trace: &mut Trace) -> Verdict {
    let config = AtMostOnceConfig {
        id_life: Duration::from_millis(600),
        answer_limit_bytes: 50,
        total_answers_limit_bytes: 200,
        record_limit: random.random_range(2..12),
        id_limit: 256,
    };
    let new = |run| AtMostOnceTable::<usize>::new(config, name("vm", 0), Incarnation(run), [7; 32]);
    let mut table = new(2);
    let earlier = new(1).issue(Time::ZERO);
    let mut ids: Vec<(RequestId, Known)> = Vec::new();
    let mut now_ms = 1_000;
    for _ in 0..600 {
        now_ms += random.random_range(0..20);
        // A thread reads the clock before it waits for the table.
        let now = Time::from_millis(now_ms - random.random_range(0..700));
        if ids.len() < 3 || random.random_range(0..5) == 0 {
            ids.push((table.issue(now), Known::default()));
        }
        let newest = ids.len().min(60);
        let index = ids.len() - 1 - random.random_range(0..newest);
        let (id, known) = &mut ids[index];
        match random.random_range(0..12) {
            0..6 => {
                let outcome = table.begin(now, id);
                trace.note(|| format!("{now_ms} begin {index} at {now}: {outcome:?}"));
                known.runs += u32::from(outcome == Begin::Run);
                let expected = match outcome {
                    Begin::Run => !known.refused && !std::mem::replace(&mut known.running, true),
                    Begin::AlreadyRunning => known.running,
                    Begin::Ended(answer) => answer == index && !known.running,
                    Begin::Full => !std::mem::replace(&mut known.refused, true) && known.runs == 0,
                    Begin::Forgotten => !known.running,
                    _ => false,
                };
                check(expected && known.runs <= 1, || {
                    format!("id {index} ran or answers wrongly")
                })?;
            }
            6..9 => {
                table.end(id, index, random.random_range(0..70));
                known.running = false;
            }
            9 => {
                table.abandon(id);
                known.running = false;
            }
            10 => {
                let outcome = table.refuse(now, id, index, 10);
                trace.note(|| format!("{now_ms} refuse {index}: {outcome:?}"));
                known.refused |= outcome == Refuse::Final;
                check(outcome != Refuse::Final || known.runs == 0, || {
                    format!("id {index} was refused as not run after it ran")
                })?;
            }
            _ => {
                table.expire(Time::from_millis(now_ms));
                let mut forged = id.clone();
                forged.issued_at = Time::from_millis(now_ms + 1);
                let outcomes = [table.begin(now, &forged), table.begin(now, &earlier)];
                let expected = [Begin::Forged, Begin::EarlierIncarnation];
                check(outcomes == expected, || {
                    format!("foreign ids: {outcomes:?}")
                })?;
            }
        }
        let running = ids.iter().filter(|(_, known)| known.running).count();
        check(table.running() == running, || {
            "running ids are miscounted".to_owned()
        })?;
        check(table.stored_bytes() <= 200, || {
            "answers exceed their store".to_owned()
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn no_id_runs_twice_or_after_a_refusal() {
    run("once", 1_000, schedule);
}
