//! Guards callers against refusals of endpoints that have run the request: the statuses 408, 421, 429 and 503 promise
//! callers that it has not run (`docs/platform.md`, "Statuses that promise").

mod answers;
mod learned;
mod logs;
#[path = "../users_platform/mod.rs"]
mod users_platform;

use serde_json::json;
use users_platform::backend::{Fault, LateRefusal, RefusalForm};
use users_platform::caller::{CallerAnswer, request};
use users_platform::{Fleet, eventually};

/// Statuses with which an endpoint refuses a request, but for 421, which states by itself that it has not run it.
pub const REFUSAL_STATUSES: [u16; 3] = [503, 429, 408];
const FORMS: [RefusalForm; 4] = [
    RefusalForm::Signed,
    RefusalForm::Unsigned,
    RefusalForm::Cut,
    RefusalForm::First,
];

/// Statuses that promise callers that their request has not run.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// All refusals of endpoints that run the request.
pub fn late_refusals() -> impl Iterator<Item = LateRefusal> {
    let refuse = |status| FORMS.map(|form| LateRefusal { status, form });
    REFUSAL_STATUSES.into_iter().flat_map(refuse)
}

/// Starts VMs whose configuration has a further route: a stream with stages that may not be resumed.
pub async fn fleet_with_stages(vms: usize) -> Fleet {
    let mut fleet = Fleet::start(vms).await;
    fleet.change_configuration(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut staged = routes[2].clone();
        staged["Name"] = json!("once-staged");
        staged["PathPrefix"] = json!("/once-staged/");
        staged["Resumable"] = json!(false);
        routes.push(staged);
    });
    let version = format!("\"version\":{}", fleet.configuration["Version"]);
    for vm in &fleet.vms {
        eventually("the configuration is in force", || async {
            vm.log().contains(&version)
        })
        .await;
    }
    fleet
}

/// Sends a request to the first VM, which has to answer it.
pub async fn send(fleet: &Fleet, path: &str, id: &str) -> CallerAnswer {
    let answer = request(fleet.vms[0].caller_address(), path, id, "key-1").await;
    answer.expect("the VM answers")
}

pub fn set_fault_of(fleet: &Fleet, services: &[&str], fault: Fault) {
    for service in services {
        for backend in fleet.backends_of(service) {
            backend.set_fault(fault);
        }
    }
}

/// Returns how often a request reached endpoints of a service.
pub fn sends_of(fleet: &Fleet, service: &str, id: &str) -> usize {
    let received = fleet
        .backends_of(service)
        .flat_map(|backend| backend.received());
    received.filter(|received| received.id == id).count()
}

pub fn refuse_late(status: u16, form: RefusalForm) -> Fault {
    Fault::LateRefusal(LateRefusal { status, form })
}
