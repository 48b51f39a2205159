//! Guards the time that a request loses because the VMs that own the queues of its stages are silent: it must not grow
//! with their number.

mod users_platform;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::Signal;
use tokio::time::sleep;
use users_platform::Fleet;
use users_platform::caller::request;

const VMS: usize = 6;
/// Longest time until a VM knows that another one is silent: the silence that a suspended VM may have, and the time
/// until the next ping.
const MAX_SILENCE: Duration = Duration::from_millis(950);
/// Time of the request itself: two stages and the engine on an idle machine, with room for a busy one.
const SERVICE_TIME: Duration = Duration::from_millis(350);

/// All VMs but one stand still, so that each stage of its requests has only silent owners or this VM.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_owners_of_stages_cost_a_request_their_time_once() {
    let fleet = Fleet::start(VMS).await;
    // Until now the VMs may still hand jobs on to each other.
    sleep(Duration::from_secs(2)).await;
    for survivor in 0..VMS {
        let others = || (0..VMS).filter(|vm| *vm != survivor);
        let id = format!("r-{survivor}");
        let address = fleet.vms[survivor].caller_address();
        let warm_up = request(address, "/stream/x", &format!("w-{survivor}"), "key-1").await;
        expect_that!(warm_up.map(|answer| answer.status), some(eq(200)));
        others().for_each(|vm| fleet.vms[vm].signal(Signal::STOP));
        let sent_at = Instant::now();
        let answer = request(address, "/stream/x", &id, "key-1").await;
        let took = sent_at.elapsed();
        others().for_each(|vm| fleet.vms[vm].signal(Signal::CONT));
        println!("vm-{survivor}: answered after {took:.2?}");
        expect_that!(
            answer.map(|answer| answer.status),
            some(eq(200)),
            "vm-{survivor}"
        );
        if took > MAX_SILENCE + SERVICE_TIME {
            let log = fleet.vms[survivor].log();
            let is_of_calls = |line: &&str| {
                ["stages:", "peers:", "membership:"]
                    .iter()
                    .any(|part| line.contains(part))
            };
            log.lines()
                .filter(is_of_calls)
                .for_each(|line| println!("{line}"));
        }
        expect_that!(took, le(MAX_SILENCE + SERVICE_TIME), "vm-{survivor}");
        // A VM that did not answer is avoided for a while.
        sleep(Duration::from_millis(2_500)).await;
    }
}
