//! Randomised tests of the membership, quota and configuration decisions.
//!
//! Each seed determines one schedule: a few VMs on a virtual clock, with messages that are
//! delayed, dropped, duplicated and reordered, and with partitions, pauses, kills, restarts,
//! new VM lists, new manifests and a platform that is stale or unreachable. `checks.rs` lists the
//! invariants. A violation prints its seed and the last lines of the trace.
//!
//! * `PRIMROSEWALK_SCHEDULES=100000 cargo test --test randomised_membership` runs 100000 seeds.
//! * `PRIMROSEWALK_SEED=17 cargo test --test randomised_membership` runs one seed.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

#[path = "randomised_membership/checks.rs"]
mod checks;
#[path = "randomised_membership/faults.rs"]
mod faults;
#[path = "randomised_membership/messages.rs"]
mod messages;
#[path = "randomised_membership/world.rs"]
mod world;

use world::{Outcome, World};

const DEFAULT_SCHEDULES: u64 = 6_000;
const THREADS: usize = 4;
/// Maximum number of violations that one test run prints.
const MAX_PRINTED: usize = 3;

#[derive(Default)]
struct Totals {
    uses: AtomicU64,
    not_covered: AtomicU64,
    violations: Mutex<Vec<String>>,
}

fn run_seed(seed: u64, totals: &Totals) {
    let mut world = World::new(seed);
    let run = catch_unwind(AssertUnwindSafe(|| world.run()));
    let outcome =
        run.unwrap_or_else(|_| Err("the schedule panicked, see the message above".to_owned()));
    match outcome {
        Ok(Outcome::NoViolation { uses }) => {
            totals.uses.fetch_add(uses, Ordering::Relaxed);
        }
        Ok(Outcome::NotCovered) => {
            totals.not_covered.fetch_add(1, Ordering::Relaxed);
        }
        Err(violation) => {
            let trace = world.trace.join("\n");
            let text = format!("PRIMROSEWALK_SEED={seed}: {violation}\n{trace}");
            totals.violations.lock().unwrap().push(text);
        }
    }
}

fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .expect("the environment variable holds a whole number"),
    )
}

#[test]
fn decisions_hold_under_faults() {
    let seeds = match env_number("PRIMROSEWALK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("PRIMROSEWALK_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES),
    };
    let started = Instant::now();
    let (next_seed, totals) = (AtomicU64::new(seeds.start), Totals::default());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed) {
                        return;
                    }
                    run_seed(seed, &totals);
                }
            });
        }
    });
    let schedules = seeds.end - seeds.start;
    let not_covered = totals.not_covered.into_inner();
    let violations = totals.violations.into_inner().unwrap();
    println!(
        "{schedules} schedules in {:.1?}, {} uses of credits, {not_covered} stopped at the case \
         that docs/design.md, 3.1 does not cover, {} violations",
        started.elapsed(),
        totals.uses.into_inner(),
        violations.len(),
    );
    for violation in violations.iter().take(MAX_PRINTED) {
        println!("{violation}\n");
    }
    assert!(violations.is_empty(), "{} violations", violations.len());
    assert!(
        not_covered * 20 <= schedules.max(20),
        "{not_covered} of {schedules} schedules stopped at the case that is not covered, at most a \
         twentieth may"
    );
}
