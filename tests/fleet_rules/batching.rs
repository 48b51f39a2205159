//! Guards the batching of stage items, replayed against simulated endpoints whose calls take fixed
//! times.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::batching::{
    Batch, BatchFailure, Batcher, BatchingConfig, ItemFailure, ItemInput, Job, JobEnd, JobId,
};
use primrosewalk::decisions::retry_window::RetryWindowConfig;
use primrosewalk::decisions::work_order::Urgency;
use primrosewalk::fleet::model::{BatchLimits, Endpoint};
use primrosewalk::units::Time;
use rustix::time::{ClockId, clock_gettime};

use crate::{at, endpoint};

/// Batch limits of the service under test.
const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    max_batch_items: 8,
    call_overhead_ms: 200.0,
    item_ms: 20.0,
    result_memory_bytes: 18_000,
    result_ttl: Duration::from_secs(4),
};
const RETRIES: RetryWindowConfig = RetryWindowConfig {
    ratio: 0.2,
    reserve: 10.0,
    window: Duration::from_secs(10),
    max_attempts: 3,
};

/// Returns a batcher with the default configuration.
fn batcher() -> Batcher {
    Batcher::new(BatchingConfig::default(), LIMITS, RETRIES)
}

/// Returns a first-stage job that arrives at `now_ms`, is due 1 s after it and has its deadline 5 s
/// after it.
pub(super) fn job(id: u64, now_ms: u64, items: u32) -> Job {
    Job {
        id: JobId(id),
        request: Arc::from(format!("r{id}")),
        stage: 0,
        items,
        input: ItemInput::Key("k".into()),
        due: at(now_ms + 1_000),
        deadline: at(now_ms + 5_000),
        result_bytes: 10,
        is_retry: false,
        preferred_data_centre: None,
        reads_inputs_last: false,
        urgency: Urgency::default(),
    }
}

/// Determines the duration in milliseconds and the outcome of a call, from its batch and the time
/// at which the endpoint gets it.
pub(super) type Behaviour<'a> =
    &'a dyn Fn(&Batch, u64) -> (u64, std::result::Result<(), BatchFailure>);

/// Replays arrivals in steps of one millisecond and records when and how each job ended.
pub(super) struct Replay {
    batcher: Batcher,
    endpoints: Vec<Arc<Endpoint>>,
    /// Running calls by end time in milliseconds and batch id.
    running: BTreeMap<(u64, u64), (Batch, std::result::Result<(), BatchFailure>)>,
    /// End time in milliseconds and outcome by job id.
    pub(super) ends: HashMap<u64, (u64, std::result::Result<(), ItemFailure>)>,
    /// Calls sent: time in milliseconds, number of items and endpoint.
    batches: Vec<(u64, usize, String)>,
    /// Number of jobs that the batcher refused.
    pub(super) refused: usize,
    pub(super) sent_items: usize,
    /// Time from a job's end until its results are freed.
    frees_after_ms: u64,
    /// Results to free: time in milliseconds and handle.
    to_free: Vec<(u64, String)>,
}

impl Replay {
    pub(super) fn new(endpoints: Vec<Arc<Endpoint>>) -> Self {
        Self {
            batcher: batcher(),
            endpoints,
            running: BTreeMap::new(),
            ends: HashMap::new(),
            batches: Vec::new(),
            refused: 0,
            sent_items: 0,
            frees_after_ms: 100,
            to_free: Vec::new(),
        }
    }

    /// Replays the arrivals, given as arrival time in milliseconds and job, until `until_ms`.
    pub(super) fn run(&mut self, arrivals: &[(u64, Job)], until_ms: u64, behaviour: Behaviour<'_>) {
        for now_ms in 0..until_ms {
            for (_, job) in arrivals.iter().filter(|(ms, _)| *ms == now_ms) {
                let accepted = self
                    .batcher
                    .push(at(now_ms), self.endpoints.len(), job.clone());
                self.refused += usize::from(accepted.is_err());
            }
            let ended: Vec<_> = self
                .running
                .range(..=(now_ms, u64::MAX))
                .map(|(key, _)| *key)
                .collect();
            for key in ended {
                let (batch, outcome) = self.running.remove(&key).unwrap();
                self.finish(now_ms, &batch, outcome);
            }
            let freed: Vec<String> = self
                .to_free
                .extract_if(.., |(ms, _)| *ms <= now_ms)
                .map(|(_, handle)| handle)
                .collect();
            for handle in freed {
                self.batcher.on_freed(&handle);
            }
            let expired = self.batcher.expire(at(now_ms));
            self.record_ends(now_ms, expired);
            let endpoints = self.endpoints.len();
            let overtaken = self.batcher.refuse_overtaken(at(now_ms), endpoints);
            self.record_ends(now_ms, overtaken);
            let to_ask = self.batcher.ask_for_memory(at(now_ms), &self.endpoints);
            for endpoint in to_ask {
                self.batcher
                    .on_memory_report(at(now_ms), &endpoint.id, None);
            }
            while let Some(batch) = self.batcher.next_batch(at(now_ms), &self.endpoints) {
                let (duration_ms, outcome) = behaviour(&batch, now_ms);
                self.sent_items += batch.items.len();
                self.batches
                    .push((now_ms, batch.items.len(), batch.endpoint.id.to_string()));
                self.running
                    .insert((now_ms + duration_ms, batch.id), (batch, outcome));
            }
        }
    }

    /// Ends a call; if it succeeded, each item has a result.
    fn finish(
        &mut self,
        now_ms: u64,
        batch: &Batch,
        outcome: std::result::Result<(), BatchFailure>,
    ) {
        let address = batch.endpoint.address;
        let results = outcome.map(|()| {
            let handle = |(item, _): &(primrosewalk::decisions::batching::ItemSpec, Time)| {
                Ok(format!(
                    "{address}/{}-{}-{}",
                    item.request, item.index, batch.id
                ))
            };
            batch.items.iter().map(handle).collect()
        });
        let (ends, _) = self.batcher.finish(at(now_ms), batch.id, results);
        self.record_ends(now_ms, ends);
    }

    fn record_ends(&mut self, now_ms: u64, ends: Vec<JobEnd>) {
        for end in ends {
            let outcome = match end.results {
                Ok(handles) => {
                    let freed_at_ms = now_ms + self.frees_after_ms;
                    let handles = handles.into_iter().map(|handle| (freed_at_ms, handle));
                    self.to_free.extend(handles);
                    Ok(())
                }
                Err(failure) => Err(failure),
            };
            self.ends.insert(end.id.0, (now_ms, outcome));
        }
    }

    /// Returns the number of jobs that succeeded by the time at which they were due.
    pub(super) fn on_time(&self, arrivals: &[(u64, Job)]) -> usize {
        let is_on_time = |job: &Job| {
            self.ends
                .get(&job.id.0)
                .is_some_and(|(ms, outcome)| outcome.is_ok() && at(*ms) <= job.due)
        };
        arrivals.iter().filter(|(_, job)| is_on_time(job)).count()
    }
}

/// Behaviour of a healthy endpoint: a call takes as long as [`LIMITS`] says, and succeeds.
pub(super) fn nominal_call(
    batch: &Batch,
    _now_ms: u64,
) -> (u64, std::result::Result<(), BatchFailure>) {
    (200 + 20 * batch.items.len() as u64, Ok(()))
}

/// Returns three endpoints, each in a data centre of its own.
pub(super) fn three_endpoints() -> Vec<Arc<Endpoint>> {
    vec![
        endpoint("e-1", "a"),
        endpoint("e-2", "b"),
        endpoint("e-3", "c"),
    ]
}

/// Items arrive at 40 a second, three times the rate that calls with one item each could run.
#[gtest]
fn a_load_above_the_capacity_of_single_calls_is_served_on_time() {
    let arrivals: Vec<_> = (0..200).map(|n| (n * 25, job(n, n * 25, 1))).collect();
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 7_000, &nominal_call);
    expect_that!(replay.on_time(&arrivals), eq(200));
    expect_that!(replay.refused, eq(0));
}

/// At low load an item does not wait for others to fill its batch.
#[gtest]
fn an_item_alone_runs_at_once() {
    let arrivals = vec![(10, job(1, 10, 1))];
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 400, &nominal_call);
    expect_that!(replay.ends.get(&1), some(eq(&(230, Ok(())))));
}

/// In a burst above capacity, jobs that can still be on time run before those that cannot.
#[gtest]
fn a_burst_does_not_make_everyone_late() {
    let arrivals: Vec<_> = (0..400).map(|n| (n * 10, job(n, n * 10, 1))).collect();
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 10_000, &nominal_call);
    // Full batches run at most 66 items a second, so 264 in the four seconds of arrivals; the first
    // calls are not full and run fewer.
    expect_that!(replay.on_time(&arrivals), ge(200));
}

/// Jobs have six items and an endpoint has result memory for 18 results: jobs that have begun are
/// finished before others begin.
#[gtest]
fn begun_jobs_end_first() {
    let arrivals: Vec<_> = (0..60)
        .map(|n| {
            let mut job = job(n, n * 50, 6);
            job.result_bytes = 1_000;
            // Newer jobs are due earlier, so by due time alone they would run before begun jobs.
            job.due = at(n * 50 + 3_000 - n * 30);
            (n * 50, job)
        })
        .collect();
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 9_000, &nominal_call);
    let ended: Vec<_> = replay
        .ends
        .values()
        .filter(|(_, end)| end.is_ok())
        .collect();
    // At most two jobs at a time are half done at an endpoint, so their results never fill the
    // memory that the others need.
    expect_that!(ended.len() + replay.refused, ge(55));
}

#[gtest]
fn results_never_use_more_memory_than_an_endpoint_has() {
    let arrivals: Vec<_> = (0..40)
        .map(|n| {
            let mut job = job(n, n * 10, 2);
            job.result_bytes = 4_000;
            (n * 10, job)
        })
        .collect();
    let mut replay = Replay::new(vec![endpoint("e-1", "a")]);
    replay.frees_after_ms = 100_000;
    replay.run(&arrivals, 3_000, &nominal_call);
    // Four results of 4,000 bytes fit into the 18,000 bytes of memory, and none is freed within the
    // replay.
    expect_that!(replay.sent_items, eq(4));
}

#[gtest]
fn the_items_of_a_later_stage_run_where_their_inputs_are() {
    let arrivals: Vec<_> = (0..30)
        .map(|n| {
            let mut job = job(n, n * 60, 3);
            job.preferred_data_centre = Some(["a", "b", "c"][n as usize % 3].parse().unwrap());
            (n * 60, job)
        })
        .collect();
    let mut replay = Replay::new(three_endpoints());
    let items_elsewhere = std::cell::Cell::new(0);
    replay.run(&arrivals, 4_000, &|batch, now_ms| {
        for (item, _) in &batch.items {
            let number: usize = item.request[1..].parse().unwrap();
            let preferred = ["a", "b", "c"][number % 3];
            if batch.endpoint.data_centre.as_str() != preferred {
                items_elsewhere.set(items_elsewhere.get() + 1);
            }
        }
        nominal_call(batch, now_ms)
    });
    expect_that!(items_elsewhere.get(), eq(0));
    expect_that!(replay.on_time(&arrivals), eq(30));
}

/// The preferred data centre has no endpoint any more: the items run in another one before they are
/// late.
#[gtest]
fn items_leave_their_data_centre_rather_than_be_late() {
    let mut preferring_c = job(1, 0, 3);
    preferring_c.preferred_data_centre = Some("c".parse().unwrap());
    let arrivals = vec![(0, preferring_c)];
    let mut replay = Replay::new(vec![endpoint("e-1", "a")]);
    replay.run(&arrivals, 1_500, &nominal_call);
    expect_that!(replay.on_time(&arrivals), eq(1));
}

/// One of three endpoints takes five times as long for each call.
#[gtest]
fn a_slow_endpoint_gets_few_calls() {
    let arrivals: Vec<_> = (0..150).map(|n| (n * 40, job(n, n * 40, 1))).collect();
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 8_000, &|batch, now_ms| {
        let (ms, outcome) = nominal_call(batch, now_ms);
        let factor = if batch.endpoint.id.as_str() == "e-2" {
            5
        } else {
            1
        };
        (ms * factor, outcome)
    });
    let slow_calls = replay
        .batches
        .iter()
        .filter(|(_, _, id)| id == "e-2")
        .count();
    expect_that!(slow_calls, le(4));
    expect_that!(replay.on_time(&arrivals), ge(140));
}

/// One of three endpoints resets every call.
#[gtest]
fn items_of_a_failing_endpoint_run_elsewhere_within_the_budget() {
    let arrivals: Vec<_> = (0..100).map(|n| (n * 50, job(n, n * 50, 1))).collect();
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 7_000, &|batch, now_ms| {
        if batch.endpoint.id.as_str() == "e-2" {
            (5, Err(BatchFailure::Broken))
        } else {
            nominal_call(batch, now_ms)
        }
    });
    expect_that!(replay.on_time(&arrivals), ge(98));
    // 100 first attempts, and as retries the reserve of 10 and a fifth of the 100 requests.
    expect_that!(replay.sent_items, le(100 + 10 + 20));
}

/// All endpoints fail all calls: the retries stay within the retry budget.
#[gtest]
fn an_outage_does_not_multiply_the_load() {
    let arrivals: Vec<_> = (0..100).map(|n| (n * 20, job(n, n * 20, 1))).collect();
    let mut replay = Replay::new(three_endpoints());
    replay.run(&arrivals, 8_000, &|_, _| (2, Err(BatchFailure::Broken)));
    expect_that!(replay.sent_items, le(100 + 10 + 20));
    expect_that!(replay.on_time(&arrivals), eq(0));
}

/// Answers each question about result memory that is due: others use none of it.
fn answer_for_memory(batcher: &mut Batcher, endpoints: &[Arc<Endpoint>]) {
    for endpoint in batcher.ask_for_memory(at(0), endpoints) {
        batcher.on_memory_report(at(0), &endpoint.id, None);
    }
}

/// A VM that batched stages was killed, and its results still use memory at the endpoint: the next
/// VM fills only the memory that is free.
#[gtest]
fn memory_that_others_use_is_left_to_them() {
    let endpoints = vec![endpoint("e-1", "a")];
    let mut batcher = batcher();
    let mut first = job(1, 0, 8);
    first.result_bytes = 2_000;
    batcher.push(at(0), 1, first).unwrap();
    expect_that!(batcher.next_batch(at(0), &endpoints).is_none(), eq(true));
    expect_that!(batcher.ask_for_memory(at(0), &endpoints).len(), eq(1));
    // The endpoint reports 6,500 free bytes, enough for three results of 2,000 bytes.
    batcher.on_memory_report(at(2), &endpoints[0].id, Some(6_500));
    let batch = batcher.next_batch(at(2), &endpoints).unwrap();
    expect_that!(batch.items.len(), eq(3));
    // The endpoint is asked again while results of others use its memory, but only once in each
    // period.
    expect_that!(batcher.ask_for_memory(at(300), &endpoints), is_empty());
    expect_that!(batcher.ask_for_memory(at(410), &endpoints).len(), eq(1));
}

/// An endpoint that does not answer the question about its result memory still gets its call after
/// a short wait.
#[gtest]
fn a_call_does_not_wait_long_for_an_answer_on_memory() {
    let endpoints = vec![endpoint("e-1", "a")];
    let mut batcher = batcher();
    batcher.push(at(0), 1, job(1, 0, 1)).unwrap();
    expect_that!(batcher.ask_for_memory(at(0), &endpoints).len(), eq(1));
    expect_that!(batcher.next_batch(at(30), &endpoints).is_none(), eq(true));
    expect_that!(batcher.next_batch(at(60), &endpoints).is_some(), eq(true));
}

/// The call that carries the last items of a job names the job's inputs, so that they can be freed.
#[gtest]
fn inputs_are_named_with_the_last_result_of_the_items_that_read_them() {
    let endpoints = three_endpoints();
    let mut batcher = batcher();
    let mut reading = job(1, 0, 10);
    reading.input = ItemInput::Handles(vec!["127.0.0.1:1/a".to_owned()].into());
    reading.reads_inputs_last = true;
    batcher.push(at(0), 3, reading).unwrap();
    answer_for_memory(&mut batcher, &endpoints);
    let first = batcher.next_batch(at(0), &endpoints).unwrap();
    expect_that!(first.items.len(), eq(8));
    // The remaining items may run at another endpoint once they would be late at the first one.
    let last = batcher.next_batch(at(600), &endpoints).unwrap();
    // The first call goes on, so its endpoint may still have to fetch the inputs.
    let results = |batch: &Batch| {
        let handle = |number| Ok(format!("127.0.0.1:1/{}-{number}", batch.id));
        Ok((0..batch.items.len()).map(handle).collect())
    };
    let (ends, _) = batcher.finish(at(900), last.id, results(&last));
    expect_that!(ends, is_empty());
    let (ends, _) = batcher.finish(at(1_000), first.id, results(&first));
    let inputs = ends[0].unused_inputs.as_deref();
    expect_that!(inputs, some(eq(&["127.0.0.1:1/a".to_owned()])));
}

#[gtest]
fn a_job_that_cannot_end_in_time_is_refused_at_once() {
    let mut batcher = batcher();
    for id in 0..60 {
        let mut job = job(id, 0, 4);
        job.deadline = at(2_000);
        let _ = batcher.push(at(0), 3, job);
    }
    let mut late = job(99, 0, 1);
    late.deadline = at(2_000);
    expect_that!(
        batcher.push(at(0), 3, late),
        err(ge(Duration::from_millis(100)))
    );
    expect_that!(batcher.waiting(), gt(0));
}

#[gtest]
fn a_cancelled_job_leaves_nothing_behind() {
    let mut batcher = batcher();
    let endpoints = three_endpoints();
    batcher.push(at(0), 3, job(1, 0, 10)).unwrap();
    answer_for_memory(&mut batcher, &endpoints);
    let batch = batcher.next_batch(at(0), &endpoints).unwrap();
    expect_that!(batcher.cancel(JobId(1)), is_empty());
    expect_that!(batcher.waiting(), eq(0));
    let results = (0..8).map(|n| Ok(format!("127.0.0.1:1/{n}"))).collect();
    let (ends, unused_results) = batcher.finish(at(300), batch.id, Ok(results));
    expect_that!(ends, is_empty());
    expect_that!(unused_results.len(), eq(8));
}

#[gtest]
fn a_job_ends_if_an_item_is_late_or_its_input_is_gone_and_otherwise_waits() {
    struct Case {
        name: &'static str,
        failure: ItemFailure,
        /// Whether the failure ends the job; otherwise its item waits for another attempt.
        ends: bool,
    }
    let cases = [
        Case {
            name: "late",
            failure: ItemFailure::Late,
            ends: true,
        },
        Case {
            name: "input gone",
            failure: ItemFailure::InputGone,
            ends: true,
        },
        Case {
            name: "no room",
            failure: ItemFailure::NoRoom,
            ends: false,
        },
        Case {
            name: "failed",
            failure: ItemFailure::Failed,
            ends: false,
        },
    ];
    for case in cases {
        let mut batcher = batcher();
        batcher.push(at(0), 3, job(1, 0, 1)).unwrap();
        answer_for_memory(&mut batcher, &three_endpoints());
        let batch = batcher.next_batch(at(0), &three_endpoints()).unwrap();
        let (ends, _) = batcher.finish(at(300), batch.id, Ok(vec![Err(case.failure)]));
        expect_that!(!ends.is_empty(), eq(case.ends), "{}", case.name);
        expect_that!(
            batcher.waiting(),
            eq(usize::from(!case.ends)),
            "{}",
            case.name
        );
    }
}

/// A job that is run again is one retry, however many items it has: the platform counts requests.
#[gtest]
fn the_reserve_covers_as_many_jobs_as_it_has_retries() {
    let mut batcher = batcher();
    let retry = |id, items| Job {
        is_retry: true,
        deadline: at(100_000),
        ..job(id, 0, items)
    };
    let sizes = [11, 6, 5, 4, 1, 1, 20, 3, 2, 8, 1, 1];
    let accepted = (1..)
        .zip(sizes)
        .map(|(id, items)| batcher.push(at(0), 3, retry(id, items)).is_ok());
    let accepted: Vec<bool> = accepted.collect();
    expect_that!(accepted, eq(&[[true; 10].as_slice(), &[false; 2]].concat()));
}

/// Load pattern: the VM that owned a queue dies with 60 jobs of 6 items, after 600 jobs in 10 s. All
/// are sent to the next owner at once, and none may wait for a later return.
#[gtest]
fn the_jobs_of_an_owner_that_died_run_at_the_next_one() {
    let mut batcher = Batcher::new(
        BatchingConfig::default(),
        BatchLimits {
            max_batch_items: 60,
            ..LIMITS
        },
        RETRIES,
    );
    for id in 0..600 {
        let now_ms = id * 16;
        batcher.push(at(now_ms), 9, job(id, now_ms, 6)).unwrap();
        batcher.cancel(JobId(id));
    }
    let again = |id| Job {
        is_retry: true,
        ..job(id, 9_600, 6)
    };
    let accepted = (1_000..1_060).filter(|id| batcher.push(at(9_600), 9, again(*id)).is_ok());
    expect_that!(accepted.count(), eq(60));
}

/// Adds a job of ten items and runs a round of the queue. Returns whether the round made a call.
fn run_round(batcher: &mut Batcher, id: u64) -> bool {
    let mut job = job(id, 0, 10);
    job.due = at(id * 7 % 1_000);
    job.deadline = at(100_000_000);
    batcher.push(at(0), 3, job).unwrap();
    batcher.expire(at(0));
    batcher.next_batch(at(0), &three_endpoints()).is_some()
}

/// Returns the processor time of one round of a queue with `jobs` jobs while all endpoints are busy,
/// in nanoseconds: the shortest of several measurements.
fn round_cost_ns(jobs: u64) -> i64 {
    let mut batcher = batcher();
    run_round(&mut batcher, 0);
    answer_for_memory(&mut batcher, &three_endpoints());
    for id in 1..jobs {
        run_round(&mut batcher, id);
    }
    let clock_ns = || {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        time.tv_sec * 1_000_000_000 + time.tv_nsec
    };
    let measure = |first| {
        let started_ns = clock_ns();
        for id in first..first + 50 {
            let made_call = run_round(&mut batcher, id);
            assert!(!made_call, "all endpoints are busy");
        }
        (clock_ns() - started_ns) / 50
    };
    let firsts = (0..20).map(|attempt| jobs + attempt * 50);
    firsts.map(measure).min().unwrap()
}

/// Load pattern: a burst of several times the capacity. The VM that batches has as much time for a
/// job of a long queue as for one of a short queue, so the job must not cost more.
#[gtest]
fn a_job_costs_no_more_in_a_long_queue() {
    let (short, long) = (round_cost_ns(100), round_cost_ns(6_400));
    expect_that!(
        long,
        le(short * 4),
        "a round costs {short} ns in a queue of 100 jobs and {long} ns in one of 6,400"
    );
}

/// Load pattern: one job of seven crashes each endpoint that runs it, and the jobs arrive together. The
/// others must not fail with it: after two broken calls each of them runs alone.
#[gtest]
fn a_job_that_crashes_endpoints_takes_no_other_with_it() {
    let endpoints = (0..6).map(|number| endpoint(&format!("e{number}"), "a"));
    let mut replay = Replay::new(endpoints.collect());
    let retries = RetryWindowConfig {
        reserve: 30.0,
        ..RETRIES
    };
    replay.batcher = Batcher::new(BatchingConfig::default(), LIMITS, retries);
    let arrivals: Vec<_> = (1..=7).map(|id| (0, job(id, 0, 1))).collect();
    let crashes = |batch: &Batch, _: u64| {
        let has_crashing = batch.items.iter().any(|(item, _)| &*item.request == "r7");
        match has_crashing {
            true => (50, Err(BatchFailure::Broken)),
            false => (220, Ok(())),
        }
    };
    replay.run(&arrivals, 6_000, &crashes);
    for id in 1..=6 {
        let outcome = replay.ends.get(&id).map(|(_, outcome)| outcome.is_ok());
        expect_that!(outcome, some(eq(true)), "job {id}");
    }
    expect_that!(replay.ends[&7].1.is_err(), eq(true));
}

/// Load pattern: an endpoint is silent beyond the timeout of its call and then goes on. The call is never
/// given up; its item also runs elsewhere if it may, and the first result ends the job once.
#[gtest]
fn an_overdue_call_goes_on_beside_its_retry() {
    type Outcome = std::result::Result<(), BatchFailure>;
    struct Case {
        name: &'static str,
        endpoints: usize,
        reserve: f64,
        /// Outcome of the retry, if it ends before the overdue call.
        retry: Option<Outcome>,
        overdue: Outcome,
        is_resent: bool,
        /// Whether the job succeeds, and the number of results that nothing reads.
        end: (bool, usize),
    }
    const BROKEN: Outcome = Err(BatchFailure::Broken);
    let case = |name, endpoints, reserve, retry, overdue, is_resent, end| Case {
        name,
        endpoints,
        reserve,
        retry,
        overdue,
        is_resent,
        end,
    };
    let cases = [
        case("no other endpoint", 1, 10.0, None, Ok(()), false, (true, 0)),
        case("no retry left", 3, 0.0, None, Ok(()), false, (true, 0)),
        case("late answer first", 3, 1.0, None, Ok(()), true, (true, 1)),
        case("retry first", 3, 1.0, Some(Ok(())), Ok(()), true, (true, 1)),
        case("retry broke", 3, 1.0, Some(BROKEN), Ok(()), true, (true, 0)),
        case("both broke", 3, 1.0, Some(BROKEN), BROKEN, true, (false, 0)),
        case("none answered", 1, 0.0, None, BROKEN, false, (false, 0)),
    ];
    for case in cases {
        let retries = RetryWindowConfig {
            ratio: 0.0,
            reserve: case.reserve,
            ..RETRIES
        };
        let endpoints = &three_endpoints()[..case.endpoints];
        let mut batcher = Batcher::new(BatchingConfig::default(), LIMITS, retries);
        batcher.push(at(0), endpoints.len(), job(1, 0, 1)).unwrap();
        answer_for_memory(&mut batcher, endpoints);
        let silent = batcher.next_batch(at(0), endpoints).unwrap();
        let is_resent = batcher.resend_overdue(at(900), silent.id, endpoints);
        expect_that!(is_resent, eq(case.is_resent), "{}", case.name);
        let retry = batcher.next_batch(at(900), endpoints);
        expect_that!(retry.is_some(), eq(case.is_resent), "{}", case.name);
        let mut calls = vec![(silent.id, case.overdue)];
        if let Some(retry) = retry {
            expect_that!(retry.endpoint.id, not(eq(&silent.endpoint.id)));
            // A retry without an outcome of its own succeeds after the overdue call.
            let place = usize::from(case.retry.is_none());
            calls.insert(place, (retry.id, case.retry.unwrap_or(Ok(()))));
        }
        let (mut ends, mut unused) = (Vec::new(), 0);
        for (time_ms, (id, outcome)) in (1_500..).zip(calls) {
            let results = outcome.map(|()| vec![Ok(format!("10.0.0.1:1/{id}"))]);
            let (ended, unused_results) = batcher.finish(at(time_ms), id, results);
            ends.extend(ended.into_iter().map(|end| end.results.is_ok()));
            unused += unused_results.len();
        }
        expect_that!(ends, eq(&[case.end.0]), "{}", case.name);
        expect_that!(unused, eq(case.end.1), "{}", case.name);
        expect_that!(batcher.waiting(), eq(0), "{}", case.name);
        expect_that!(batcher.expire(at(99_000)), is_empty(), "{}", case.name);
    }
}

/// Load pattern: a stage endpoint refuses connections and no retry is left. Nothing was sent, so its items
/// run at another endpoint all the same, and none that cannot be sent anywhere waits until its deadline.
#[gtest]
fn an_item_that_was_not_sent_costs_no_retry() {
    let no_retries = RetryWindowConfig {
        ratio: 0.0,
        reserve: 0.0,
        ..RETRIES
    };
    for (dead, succeeds) in [(&["e-1"][..], true), (&["e-1", "e-2", "e-3"], false)] {
        let mut replay = Replay::new(three_endpoints());
        replay.batcher = Batcher::new(BatchingConfig::default(), LIMITS, no_retries);
        replay.run(&[(0, job(1, 0, 1))], 2_000, &|batch, now_ms| match dead
            .contains(&batch.endpoint.id.as_str())
        {
            true => (2, Err(BatchFailure::NotSent)),
            false => nominal_call(batch, now_ms),
        });
        let end = replay.ends.get(&1).map(|(_, outcome)| outcome.is_ok());
        expect_that!(end, some(eq(succeeds)), "{dead:?}");
        expect_that!(replay.sent_items, eq(dead.len().min(2) + 1), "{dead:?}");
    }
}
