//! Guards when a VM takes its watch of the store for late and asks another VM.

use std::net::Ipv4Addr;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::revision_lag::RevisionLag;

use crate::at;

const MAX_LAG: Duration = Duration::from_millis(800);

fn vm(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

/// Guards against requests for state by VMs whose watches keep up: under a series of changes some
/// other VM is nearly always ahead by a moment.
#[gtest]
fn a_vm_that_keeps_up_with_a_series_of_changes_asks_no_other() {
    let mut lag = RevisionLag::default();
    for step in 0..40_u64 {
        // The VM's watch reaches each change 450 ms after the other VMs' watches do.
        let (now_ms, own_revision) = (step * 100, (step * 100).saturating_sub(450) / 100);
        lag.on_report(at(now_ms), own_revision, vm(1), step);
        let due_at = lag.due_at(own_revision, MAX_LAG);
        expect_that!(due_at.is_some_and(|due| due <= at(now_ms)), eq(false));
    }
}

#[gtest]
fn a_vm_whose_watch_is_stuck_asks_the_vms_with_the_newest_revisions() {
    let mut lag = RevisionLag::default();
    expect_that!(lag.on_report(at(0), 5, vm(1), 5), eq(false));
    expect_that!(lag.due_at(5, MAX_LAG), none());
    for (at_ms, number, revision) in [(100, 1, 6), (300, 2, 9), (400, 3, 8), (500, 4, 9)] {
        lag.on_report(at(at_ms), 5, vm(number), revision);
    }
    expect_that!(lag.due_at(5, MAX_LAG), some(eq(at(900))));
    // The one with the newest revision comes first, and then those that reported last.
    expect_that!(lag.take_newest().to_vec(), eq(&vec![vm(2), vm(4), vm(3)]));
    expect_that!(lag.due_at(5, MAX_LAG), none());
}

#[gtest]
fn a_vm_that_reached_an_older_report_is_behind_since_the_newest() {
    let mut lag = RevisionLag::default();
    lag.on_report(at(0), 5, vm(1), 6);
    lag.on_report(at(400), 5, vm(1), 8);
    expect_that!(lag.due_at(7, MAX_LAG), some(eq(at(1_200))));
    expect_that!(lag.due_at(8, MAX_LAG), none());
}
