//! Guards the time until a change is in force while the store turns most VMs away and serves a few, as real processes. The
//! time must not grow with the fleet, whichever VMs are served.

mod users_platform;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::time::sleep;
use users_platform::Fleet;
use users_platform::ranks::ranks;
use users_platform::store::Mode;
use users_platform::versions::{Versions, observe};

/// Number of VMs, in three data centres: six relays, six deputies and 48 listeners.
const VMS: usize = 60;
/// `ConfigApplyMs` of the platform's larger deployments.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(330);
/// Time for which the store turns VMs away, and for which it serves all between two cases.
const FAULT_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_millis(1_500);

/// The VMs that the store serves.
#[derive(Debug, Clone, Copy)]
enum Served {
    OneInTwenty,
    OneListener,
    OnlyListeners,
}

impl Served {
    /// Returns the VMs. `round` makes them others in each case.
    fn of(self, fleet: &Fleet, round: usize) -> Vec<usize> {
        let [.., listeners] = ranks(fleet);
        match self {
            Self::OneInTwenty => (0..VMS)
                .filter(|vm| (vm + 7 * round).is_multiple_of(20))
                .collect(),
            Self::OneListener => vec![listeners[(11 * round) % listeners.len()]],
            Self::OnlyListeners => listeners,
        }
    }
}

struct Case {
    served: Served,
    mode: Mode,
}

const CASES: [Case; 9] = [
    Case {
        served: Served::OneInTwenty,
        mode: Mode::Busy,
    },
    Case {
        served: Served::OneInTwenty,
        mode: Mode::Many,
    },
    Case {
        served: Served::OneInTwenty,
        mode: Mode::Reset,
    },
    Case {
        served: Served::OneInTwenty,
        mode: Mode::Silent,
    },
    Case {
        served: Served::OneListener,
        mode: Mode::Busy,
    },
    Case {
        served: Served::OneListener,
        mode: Mode::Silent,
    },
    Case {
        served: Served::OneListener,
        mode: Mode::Reset,
    },
    Case {
        served: Served::OnlyListeners,
        mode: Mode::Busy,
    },
    Case {
        served: Served::OnlyListeners,
        mode: Mode::Silent,
    },
];

/// Publishes versions for a while.
async fn publish(fleet: &mut Fleet, versions: &Versions, time: Duration) {
    let began_at = Instant::now();
    while began_at.elapsed() < time {
        versions.publish(fleet);
        sleep(CHANGE_PAUSE).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changes_arrive_in_time_while_the_store_serves_few_vms() {
    let mut fleet = Fleet::start(VMS).await;
    sleep(Duration::from_secs(2)).await;
    for (round, Case { served, mode }) in CASES.iter().enumerate() {
        let served_vms = served.of(&fleet, round);
        let versions = Versions::of_series(round);
        let stop = Arc::new(AtomicBool::new(false));
        // A quarter of the VMs, of each role.
        let observed = (0..VMS).filter(|vm| vm % 4 == round % 4);
        let observers: Vec<_> = observed
            .map(|vm| {
                let address = fleet.vms[vm].caller_address();
                let (versions, stop) = (versions.clone(), Arc::clone(&stop));
                tokio::spawn(observe(address, versions, APPLY_TIME, || true, stop))
            })
            .collect();
        publish(&mut fleet, &versions, CALM_TIME).await;
        let began_at = Instant::now();
        for (index, vm) in fleet.vms.iter().enumerate() {
            if !served_vms.contains(&index) {
                fleet.store.set_mode_for(vm.ip.into(), *mode);
            }
        }
        publish(&mut fleet, &versions, FAULT_TIME).await;
        let [present, stale] = fleet.store.calls_since(began_at);
        for vm in &fleet.vms {
            fleet.store.set_mode_for(vm.ip.into(), Mode::Up);
        }
        publish(&mut fleet, &versions, CALM_TIME).await;
        stop.store(true, Ordering::Relaxed);
        let mut longest = Duration::ZERO;
        for observer in observers {
            let lateness = observer.await.unwrap();
            longest = longest.max(lateness.longest);
            expect_that!(lateness.late, is_empty(), "{served:?}, {mode:?}");
        }
        let per_s = |calls: &[Instant]| calls.len() as f64 / FAULT_TIME.as_secs_f64();
        println!(
            "{served:?}, {mode:?}: in force after {longest:.2?} at most, {:.1} calls a second and {:.1} stale ones",
            per_s(&present),
            per_s(&stale)
        );
    }
}
