//! Fair order among organisations, and the retry budget.
//!
//! Guards against one organisation's burst delaying the others beyond their share, and
//! against retries that multiply the load of a failing service.

use primrosewalk::decisions::fair_queue::{FairQueue, Ticket};
use primrosewalk::decisions::retry::{Attempts, RetryBudget, RetryConfig};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{Trace, Verdict, check, name, run};

struct Sender {
    weight: f64,
    pushes: u32,
    waiting: Vec<Ticket>,
    /// Service received since each other sender and this one both wait, divided by weight.
    lead: Vec<(f64, f64, f64)>,
}

/// The bound of start-time fair queueing: while two organisations both wait, what they get
/// divided by their weights differs by at most one item of each, over every interval.
fn fair_order(random: &mut ChaCha8Rng, trace: &mut Trace) -> Verdict {
    let count = random.random_range(2..6);
    let mut queue = FairQueue::default();
    let mut senders: Vec<Sender> = (0..count)
        .map(|index| Sender {
            weight: f64::from(random.random_range(1..20)),
            // The first sends ten times as much as any other.
            pushes: if index == 0 { 10 } else { 1 },
            waiting: Vec::new(),
            lead: vec![(0.0, 0.0, 0.0); count],
        })
        .collect();
    for step in 0..400 {
        let index = random.random_range(0..count);
        match random.random_range(0..10) {
            0..4 => {
                for _ in 0..senders[index].pushes {
                    let sender = &mut senders[index];
                    let ticket = queue.push(&name("o", index), sender.weight, index);
                    sender.waiting.push(ticket);
                }
            }
            4 => {
                let sender = &mut senders[index];
                if !sender.waiting.is_empty() {
                    let at = random.random_range(0..sender.waiting.len());
                    queue.remove(sender.waiting.remove(at));
                }
            }
            5 => newcomer(&mut queue, &mut senders, step)?,
            _ => {
                if let Some(served) = queue.pop(|_| true) {
                    trace.note(|| format!("step {step} serves {served}"));
                    on_served(&mut senders, served)?;
                }
            }
        }
        forget_idle_pairs(&mut senders);
        let waiting: usize = senders.iter().map(|sender| sender.waiting.len()).sum();
        check(queue.len() == waiting, || "items are lost".to_owned())?;
    }
    Ok(())
}

/// An organisation that was not served lately waits for one item of each other at most.
fn newcomer(queue: &mut FairQueue<usize>, senders: &mut [Sender], step: usize) -> Verdict {
    let others = senders.iter().filter(|sender| !sender.waiting.is_empty());
    let others = others.count();
    queue.push(&name("newcomer", step), 1.0, usize::MAX);
    for _ in 0..=others {
        match queue.pop(|_| true) {
            Some(usize::MAX) => return Ok(()),
            Some(served) => on_served(senders, served)?,
            None => break,
        }
    }
    Err(format!("a newcomer waits for more than {others} items"))
}

fn on_served(senders: &mut [Sender], served: usize) -> Verdict {
    // Items of one organisation leave in order of arrival.
    senders[served].waiting.remove(0);
    let step = 1.0 / senders[served].weight;
    for other in (0..senders.len()).filter(|other| *other != served) {
        let slack = 1.0 / senders[other].weight + step + 1e-9;
        for (owner, peer, gain) in [(served, other, step), (other, served, -step)] {
            let (lead, least, most) = &mut senders[owner].lead[peer];
            *lead += gain;
            (*least, *most) = (least.min(*lead), most.max(*lead));
            let spread = *most - *least;
            check(spread <= slack, || {
                format!("{owner} is {spread} apart from {peer}, the bound is {slack}")
            })?;
        }
    }
    forget_idle_pairs(senders);
    Ok(())
}

fn forget_idle_pairs(senders: &mut [Sender]) {
    let idle: Vec<bool> = senders.iter().map(|item| item.waiting.is_empty()).collect();
    for (index, sender) in senders.iter_mut().enumerate() {
        for (other, lead) in sender.lead.iter_mut().enumerate() {
            if idle[index] || idle[other] {
                *lead = (0.0, 0.0, 0.0);
            }
        }
    }
}

fn retry_budget(random: &mut ChaCha8Rng, trace: &mut Trace) -> Verdict {
    let mut budget = RetryBudget::new(RetryConfig::default());
    // In tenths of a retry. `over` is what was spent beyond the earnings, from any start.
    let (mut spent, mut least) = (0_i64, 0_i64);
    for request in 0..300 {
        budget.on_first_attempt();
        spent -= 1;
        least = least.min(spent);
        let mut attempts = Attempts::default();
        let mut current = attempts.begin();
        let fails = random.random_range(0..4) != 0;
        while fails && budget.take(attempts.count()) {
            spent += 10;
            let given_up = current;
            current = attempts.begin();
            check(!attempts.accept(given_up), || {
                "a late answer counts".to_owned()
            })?;
        }
        trace.note(|| format!("request {request}: {current} attempts, {spent} spent"));
        check(current <= 3, || format!("{current} attempts of one stage"))?;
        let accepted = [attempts.accept(current), attempts.accept(current)];
        check(accepted == [true, false], || {
            "an answer counts twice".to_owned()
        })?;
        let over = spent - least;
        check(over <= 100, || {
            format!("{over} tenths of a retry beyond 10 % of requests")
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn a_burst_delays_other_organisations_by_their_share_at_most() {
    run("fair_queue", 600, fair_order);
}

#[googletest::gtest]
fn retries_stay_within_the_budget() {
    run("retry", 300, retry_budget);
}
