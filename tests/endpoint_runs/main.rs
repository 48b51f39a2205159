//! Randomised tests of the decisions about endpoints, on a virtual clock.
//!
//! The seed alone determines a schedule. A violation prints the seed and the last lines of the
//! schedule's trace.
//!
//! * `PRIMROSEWALK_RUN_SEED=17` runs only seed 17 of each test.
//! * `PRIMROSEWALK_RUN_FACTOR=10` runs ten times as many seeds of each test.

mod at_most_once;
mod placement;
mod queues;
mod router;
mod slots;

use std::collections::VecDeque;
use std::fmt::Display;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

use primrosewalk::manifest::{Endpoint, StageKind};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MAX_TRACE_LINES: usize = 40;
const THREADS: usize = 3;

/// The last lines of a schedule's log. Lines are recorded only when a failed seed is run again.
#[derive(Default)]
pub struct Trace {
    is_recording: bool,
    lines: VecDeque<String>,
}

impl Trace {
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        if !self.is_recording {
            return;
        }
        if self.lines.len() == MAX_TRACE_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(line());
    }
}

pub type ScheduleResult = Result<(), String>;

/// Returns an error with the text of `problem` unless `condition` is true.
pub fn check(condition: bool, problem: impl FnOnce() -> String) -> ScheduleResult {
    if condition { Ok(()) } else { Err(problem()) }
}

pub type Schedule = fn(&mut ChaCha8Rng, &mut Trace) -> ScheduleResult;

/// Runs a schedule with `count` seeds on `THREADS` threads and panics at the first violation.
pub fn run_seeds(name: &str, count: u64, schedule: Schedule) {
    let factor: u64 = env_number("PRIMROSEWALK_RUN_FACTOR").unwrap_or(1);
    let seeds = match env_number("PRIMROSEWALK_RUN_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..count * factor,
    };
    let next_seed = AtomicU64::new(seeds.start);
    let first_failed_seed = AtomicU64::new(u64::MAX);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while first_failed_seed.load(Ordering::SeqCst) == u64::MAX {
                    let seed = next_seed.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    if try_seed(seed, &mut Trace::default(), schedule).is_err() {
                        first_failed_seed.fetch_min(seed, Ordering::SeqCst);
                    }
                }
            });
        }
    });
    let seed = first_failed_seed.into_inner();
    if seed == u64::MAX {
        return;
    }
    let mut trace = Trace {
        is_recording: true,
        ..Trace::default()
    };
    let problem = try_seed(seed, &mut trace, schedule).err();
    let problem = problem.unwrap_or_else(|| {
        "the violation did not occur again when the seed was run again".to_owned()
    });
    let lines: Vec<String> = trace.lines.into();
    panic!("{name}: seed {seed}: {problem}\n  {}", lines.join("\n  "));
}

/// Runs a schedule with one seed. Panics, as of assertions inside the program, count as
/// violations too.
fn try_seed(seed: u64, trace: &mut Trace, schedule: Schedule) -> ScheduleResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let outcome = catch_unwind(AssertUnwindSafe(|| schedule(&mut random, trace)));
    outcome.unwrap_or_else(|_| Err("the schedule panicked, see the message above".to_owned()))
}

fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name} must be a whole number, but is {text:?}")),
    )
}

pub fn name<T: FromStr>(prefix: &str, number: impl Display) -> T {
    let text = format!("{prefix}{number}");
    text.parse()
        .ok()
        .expect("the prefix and the number form a valid name")
}

pub fn endpoint(number: usize, kind: StageKind, slots: u32, cold_slots: u32) -> Endpoint {
    Endpoint {
        name: name("e", number),
        kind,
        service: name("s", number),
        address: "127.0.0.1:1".parse().expect("a valid socket address"),
        data_centre: name("dc", 0),
        state: Default::default(),
        slots,
        cold_slots,
        models: Vec::new(),
        checks_fencing: false,
    }
}
