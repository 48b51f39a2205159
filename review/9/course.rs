//! An engine fails some payouts after it has run them, with status 503 and without `Not-Executed`. Callers must
//! not be told that they have not run.

use std::fs;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Verdict, head};
use crate::http;

/// Number of payouts, and of callers that send them one after the other.
const PAYOUTS: usize = 60;
const CALLERS: usize = 4;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// How often a caller sends a payout in all. The callers of `crew-payout` repeat once.
const MAX_SENDS: usize = 2;

/// What came of one request: its id, its payout and the status of its answer.
type Outcome = (String, usize, u16);

pub fn run(fleet: &mut Fleet) -> Verdict {
    let kinds = if fleet.has_trouble {
        "grey framed framed"
    } else {
        "framed"
    };
    if let Err(why) = fleet.start(3, kinds, 3) {
        return Verdict::CouldNotRun(why);
    }
    let outcomes = pay(fleet);
    let log = fs::read_to_string(&fleet.engine_log).unwrap_or_default();
    let has_run = |id: &str| log.contains(&format!(": runs {id} "));
    let mut broken = 0;
    for (id, payout, status) in &outcomes {
        let is_broken = PROMISES.contains(status) && has_run(id);
        broken += usize::from(is_broken);
        let note = if is_broken {
            ": SAYS \"NOT RUN\", AND HAS RUN"
        } else {
            ""
        };
        fleet.record.line(format!("{id} (payout {payout}): {status}{note}"));
    }
    for payout in 0..PAYOUTS {
        let runs = log.matches(&format!("payout number {payout}\n")).count();
        if runs > 1 {
            fleet.record.line(format!("payout {payout} was paid {runs} times"));
        }
    }
    if outcomes.iter().all(|(.., status)| *status != 200) {
        return Verdict::CouldNotRun("no payout was answered".to_owned());
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends all payouts. A payout that an answer says has not run is sent again, as the pages allow, with an id of
/// its own.
fn pay(fleet: &Fleet) -> Vec<Outcome> {
    let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.callers()).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let vms = vms.clone();
            thread::spawn(move || {
                let mut outcomes = Vec::new();
                for payout in (caller..PAYOUTS).step_by(CALLERS) {
                    for send in 0..MAX_SENDS {
                        let id = format!("p{payout}-{send}");
                        let body = format!("payout number {payout}");
                        let request = head("/pay/x", &id, &format!("Content-Length: {}", body.len())) + &body;
                        let vm = vms[(payout + send) % vms.len()];
                        let answer = http::exchange(vm, request.as_bytes(), Duration::from_secs(6));
                        let status = answer.map_or(0, |answer| answer.status());
                        outcomes.push((id, payout, status));
                        if !PROMISES.contains(&status) {
                            break;
                        }
                    }
                }
                outcomes
            })
        })
        .collect();
    callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
}
