//! Rules about single requests: the split of the deadline, the fair queue and stored answers.
//!
//! Guards the figures and orders that the randomised tests do not check.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::at_most_once::{AtMostOnceConfig, AtMostOnceTable, Begin};
use primrosewalk::decisions::fair_queue::FairQueue;
use primrosewalk::decisions::retry::stage_time;
use primrosewalk::units::{Incarnation, Time};

#[gtest]
fn stage_time_is_twice_the_share_and_never_more_than_remains() {
    for (weight, later_weights, expected_ms) in [
        (1, vec![1, 2], 500),
        (1, vec![], 1_000),
        (3, vec![1], 1_000),
    ] {
        let time = stage_time(Duration::from_secs(1), weight, later_weights);
        expect_that!(time, eq(Duration::from_millis(expected_ms)));
    }
}

#[gtest]
fn the_first_accepted_item_leaves_and_removed_ones_cost_nothing() {
    let mut queue = FairQueue::default();
    let removed = queue.push(&"o1".parse().unwrap(), 1.0, 1);
    queue.push(&"o1".parse().unwrap(), 1.0, 2);
    queue.push(&"o2".parse().unwrap(), 1.0, 3);
    expect_that!(queue.remove(removed), some(eq(1)));
    expect_that!(queue.remove(removed), none());
    expect_that!(queue.pop(|item| *item != 2), some(eq(3)));
    expect_that!((queue.pop(|_| true), queue.len()), eq((Some(2), 0)));
}

#[gtest]
fn answers_are_dropped_oldest_first_without_a_second_run() {
    let config = AtMostOnceConfig {
        total_answers_limit_bytes: 20,
        ..AtMostOnceConfig::default()
    };
    let mut table = AtMostOnceTable::new(config, "v1".parse().unwrap(), Incarnation(1), [1; 32]);
    let ids: Vec<_> = (0..3).map(|_| table.issue(Time::from_millis(0))).collect();
    for id in &ids {
        expect_that!(table.begin(Time::from_millis(1), id), eq(&Begin::Run));
        table.end(id, "answer", 10);
    }
    expect_that!(
        table.begin(Time::from_millis(2), &ids[0]),
        eq(&Begin::Forgotten)
    );
    expect_that!(
        table.begin(Time::from_millis(2), &ids[2]),
        eq(&Begin::Ended("answer"))
    );
    table.expire(Time::from_millis(600_000));
    // A thread that read the clock before the expiry must not run the request again.
    expect_that!(
        table.begin(Time::from_millis(2), &ids[2]),
        eq(&Begin::Forgotten)
    );
}
