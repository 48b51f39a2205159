//! Randomised runs of the decisions about endpoints, on a virtual clock.
//!
//! Each schedule is a function of its seed. A violation prints the seed and the last lines of
//! the schedule's trace.
//!
//! * `PRIMROSEWALK_RUN_SEED=17` runs only seed 17 of each run.
//! * `PRIMROSEWALK_RUN_FACTOR=10` runs ten times as many seeds.

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

const TRACE_LINES: usize = 40;
const THREADS: usize = 3;

/// The last decisions of a schedule. Lines are kept only when a failed seed is run again.
#[derive(Default)]
pub struct Trace {
    keep: bool,
    lines: VecDeque<String>,
}

impl Trace {
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        if !self.keep {
            return;
        }
        if self.lines.len() == TRACE_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(line());
    }
}

pub type Verdict = Result<(), String>;

/// Returns an error with `problem` unless `holds`.
pub fn check(holds: bool, problem: impl FnOnce() -> String) -> Verdict {
    if holds { Ok(()) } else { Err(problem()) }
}

pub type Schedule = fn(&mut ChaCha8Rng, &mut Trace) -> Verdict;

/// Runs `count` seeds of a schedule on a few threads and panics at the first violation.
pub fn run(name: &str, count: u64, schedule: Schedule) {
    let factor: u64 = setting("PRIMROSEWALK_RUN_FACTOR").unwrap_or(1);
    let seeds = match setting("PRIMROSEWALK_RUN_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..count * factor,
    };
    let next = AtomicU64::new(seeds.start);
    let first_failed = AtomicU64::new(u64::MAX);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while first_failed.load(Ordering::SeqCst) == u64::MAX {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    if try_seed(seed, &mut Trace::default(), schedule).is_err() {
                        first_failed.fetch_min(seed, Ordering::SeqCst);
                    }
                }
            });
        }
    });
    let seed = first_failed.into_inner();
    if seed == u64::MAX {
        return;
    }
    let mut trace = Trace {
        keep: true,
        ..Trace::default()
    };
    let problem = try_seed(seed, &mut trace, schedule).err();
    let problem = problem.unwrap_or_else(|| "not seen again".to_owned());
    let lines: Vec<String> = trace.lines.into();
    panic!("{name}: seed {seed}: {problem}\n  {}", lines.join("\n  "));
}

/// Assertions inside the program count as violations too.
fn try_seed(seed: u64, trace: &mut Trace, schedule: Schedule) -> Verdict {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let outcome = catch_unwind(AssertUnwindSafe(|| schedule(&mut random, trace)));
    outcome.unwrap_or_else(|_| Err("an assertion failed, see above".to_owned()))
}

fn setting(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name} is a number")),
    )
}

pub fn name<T: FromStr>(prefix: &str, number: impl Display) -> T {
    let text = format!("{prefix}{number}");
    text.parse().ok().expect("a valid name")
}

pub fn endpoint(number: usize, kind: StageKind, slots: u32, cold_slots: u32) -> Endpoint {
    Endpoint {
        name: name("e", number),
        kind,
        service: name("s", number),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: name("dc", 0),
        state: Default::default(),
        slots,
        cold_slots,
        models: Vec::new(),
        checks_fencing: false,
    }
}
