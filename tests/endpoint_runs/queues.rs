//! Fair order among organisations, and the retry budget.
//!
//! Guards against one organisation's burst delaying the others beyond their share, and
//! against retries that multiply the load of a failing service.

use primrosewalk::decisions::fair_queue::{FairQueue, Ticket};
use primrosewalk::decisions::retry::{Attempts, RetryBudget, RetryConfig};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{ScheduleResult, Trace, check, name, run_seeds};

struct Organisation {
    weight: f64,
    pushes: u32,
    waiting: Vec<Ticket>,
    /// For each other organisation, the current, lowest and highest lead over it since both
    /// wait: the difference between what they were served, each divided by its weight.
    leads: Vec<(f64, f64, f64)>,
}

/// The bound of start-time fair queueing: while two organisations both wait, what they get
/// divided by their weights differs by at most one item of each, over every interval.
fn fair_order(random: &mut ChaCha8Rng, trace: &mut Trace) -> ScheduleResult {
    let count = random.random_range(2..6);
    let mut queue = FairQueue::default();
    let mut organisations: Vec<Organisation> = (0..count)
        .map(|index| Organisation {
            weight: f64::from(random.random_range(1..20)),
            // The first organisation sends ten times as much as any other.
            pushes: if index == 0 { 10 } else { 1 },
            waiting: Vec::new(),
            leads: vec![(0.0, 0.0, 0.0); count],
        })
        .collect();
    for step in 0..400 {
        let index = random.random_range(0..count);
        match random.random_range(0..10) {
            0..4 => {
                for _ in 0..organisations[index].pushes {
                    let organisation = &mut organisations[index];
                    let ticket = queue.push(&name("o", index), organisation.weight, index);
                    organisation.waiting.push(ticket);
                }
            }
            4 => {
                let organisation = &mut organisations[index];
                if !organisation.waiting.is_empty() {
                    let at = random.random_range(0..organisation.waiting.len());
                    queue.remove(organisation.waiting.remove(at));
                }
            }
            5 => check_newcomer(&mut queue, &mut organisations, step)?,
            _ => {
                if let Some(served) = queue.pop(|_| true) {
                    trace.note(|| format!("step {step} serves {served}"));
                    on_served(&mut organisations, served)?;
                }
            }
        }
        reset_idle_pairs(&mut organisations);
        let waiting: usize = organisations
            .iter()
            .map(|organisation| organisation.waiting.len())
            .sum();
        check(queue.len() == waiting, || {
            format!("{waiting} items wait, but the queue has {}", queue.len())
        })?;
    }
    Ok(())
}

/// Checks that an organisation that was not served lately waits for at most one item of each
/// other organisation.
fn check_newcomer(
    queue: &mut FairQueue<usize>,
    organisations: &mut [Organisation],
    step: usize,
) -> ScheduleResult {
    let others = organisations
        .iter()
        .filter(|organisation| !organisation.waiting.is_empty());
    let others = others.count();
    queue.push(&name("newcomer", step), 1.0, usize::MAX);
    for _ in 0..=others {
        match queue.pop(|_| true) {
            Some(usize::MAX) => return Ok(()),
            Some(served) => on_served(organisations, served)?,
            None => break,
        }
    }
    Err(format!("a newcomer waits for more than {others} items"))
}

fn on_served(organisations: &mut [Organisation], served: usize) -> ScheduleResult {
    // Items of one organisation leave in order of arrival.
    organisations[served].waiting.remove(0);
    let step = 1.0 / organisations[served].weight;
    for other in (0..organisations.len()).filter(|other| *other != served) {
        let bound = 1.0 / organisations[other].weight + step + 1e-9;
        for (index, peer, gain) in [(served, other, step), (other, served, -step)] {
            let (lead, lowest, highest) = &mut organisations[index].leads[peer];
            *lead += gain;
            (*lowest, *highest) = (lowest.min(*lead), highest.max(*lead));
            let spread = *highest - *lowest;
            check(spread <= bound, || {
                format!("organisations {index} and {peer} are {spread} apart, the bound is {bound}")
            })?;
        }
    }
    reset_idle_pairs(organisations);
    Ok(())
}

fn reset_idle_pairs(organisations: &mut [Organisation]) {
    let idle: Vec<bool> = organisations
        .iter()
        .map(|item| item.waiting.is_empty())
        .collect();
    for (index, organisation) in organisations.iter_mut().enumerate() {
        for (other, lead) in organisation.leads.iter_mut().enumerate() {
            if idle[index] || idle[other] {
                *lead = (0.0, 0.0, 0.0);
            }
        }
    }
}

fn retry_budget(random: &mut ChaCha8Rng, trace: &mut Trace) -> ScheduleResult {
    let mut budget = RetryBudget::new(RetryConfig::default());
    // Amounts in tenths of a retry. `spent` is net of what first attempts earned; its rise above
    // its lowest value is the most that any interval spent beyond its earnings.
    let (mut spent, mut lowest_spent) = (0_i64, 0_i64);
    for request in 0..300 {
        budget.on_first_attempt();
        spent -= 1;
        lowest_spent = lowest_spent.min(spent);
        let mut attempts = Attempts::default();
        let mut current = attempts.begin();
        let fails = random.random_range(0..4) != 0;
        while fails && budget.take(attempts.count()) {
            spent += 10;
            let given_up = current;
            current = attempts.begin();
            check(!attempts.accept(given_up), || {
                "an answer to an abandoned attempt is accepted".to_owned()
            })?;
        }
        trace.note(|| format!("request {request}: {current} attempts, {spent} spent"));
        check(current <= 3, || {
            format!("{current} attempts of one stage, at most 3 are allowed")
        })?;
        let accepted = [attempts.accept(current), attempts.accept(current)];
        check(accepted == [true, false], || {
            format!("two answers to one attempt are accepted as {accepted:?}")
        })?;
        let overspent = spent - lowest_spent;
        check(overspent <= 100, || {
            format!("{overspent} tenths of a retry were spent beyond 10 % of requests")
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn a_burst_delays_other_organisations_by_their_share_at_most() {
    run_seeds("fair_queue", 600, fair_order);
}

#[googletest::gtest]
fn retries_stay_within_the_budget() {
    run_seeds("retry", 300, retry_budget);
}
