//! Guards the control thread: configuration, links between VMs, quota requests, slots and planned
//! stops.

mod control_fakes;

use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use control_fakes::{FakePlatform, FakeVm, manifest_part, serve_http, wait_for};
use googletest::prelude::*;
use primrosewalk::blackboard::{AcquireOutcome, ControlCommand, SlotDemand};
use primrosewalk::clock;
use primrosewalk::control::vms::parse_list;
use primrosewalk::decisions::ownership_keys::{endpoint_key, organisation_key};
use primrosewalk::decisions::rendezvous::rendezvous_order;
use primrosewalk::manifest::{ManifestIndex, PartReference, VmState, part_digest};
use primrosewalk::peer::message::{
    StateMessage, WireAcknowledgement, WireColdNotice, WireDemand, WireLoad,
};
use primrosewalk::settings::QuotaMode;
use primrosewalk::units::{EndpointName, OrganisationName, Version, VmId};
use prost::Message;
use tokio::sync::oneshot;

/// Address at which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// Time after which a read of a load has ended, and the next one of its endpoint has begun.
const LOAD_READ_TIME: Duration = Duration::from_millis(600);

fn unused_address() -> SocketAddr {
    UNUSED_ADDRESS.parse().unwrap()
}

fn owner(key: &str, vms: &[&str]) -> VmId {
    let vms: Vec<VmId> = vms.iter().map(|vm| vm.parse().unwrap()).collect();
    rendezvous_order(key, &vms)[0].clone()
}

/// Finds an organisation whose owner is `vm`.
fn organisation_at(vm: &str, vms: &[&str]) -> OrganisationName {
    let names = (0..1_000).map(|index| format!("o-{index}").parse::<OrganisationName>().unwrap());
    let mut at = names.filter(|name| owner(&organisation_key(name), vms).as_str() == vm);
    at.next().unwrap()
}

fn acquire(vm: &FakeVm, organisation: &OrganisationName, max_wait: Duration) -> AcquireOutcome {
    let (reply, answer) = oneshot::channel();
    let organisation = organisation.clone();
    let command = ControlCommand::Acquire {
        organisation,
        max_wait,
        reply,
    };
    vm.running_vm().commands.blocking_send(command).unwrap();
    answer.blocking_recv().unwrap()
}

#[gtest]
fn a_bad_manifest_is_refused_once_and_the_one_in_force_stays() {
    let platform = FakePlatform::start();
    let mut vm = FakeVm::bind("vm-1");
    platform.publish_vms(1, &[&vm]);
    platform.publish_manifest(1, &manifest_part(unused_address(), &["o-1"], 10.0));
    vm.start(&platform);
    vm.wait_for_manifest(1);
    let mut bad = manifest_part(unused_address(), &["o-1", "o-1"], 0.0);
    bad["endpoints"][0]["cold_slots"] = 9.into();
    platform.publish_manifest(2, &bad);
    wait_for("refusal", || vm.lines.count("manifest 2 refused") > 0);
    for place in ["organisations[1]", "rate_per_second", "cold_slots"] {
        expect_that!(vm.lines.count(place), eq(1), "{place}");
    }
    let reads = platform.reads("manifest");
    wait_for("two more reads", || platform.reads("manifest") > reads + 1);
    expect_that!(vm.lines.count("manifest 2 refused"), eq(1));
    expect_that!(vm.snapshot().manifest_version.0, eq(1));
    platform.publish_manifest(3, &manifest_part(unused_address(), &["o-1"], 10.0));
    vm.wait_for_manifest(3);
    vm.end();
}

#[gtest]
fn an_older_manifest_or_list_never_comes_back() {
    let platform = FakePlatform::start();
    let mut vms = [FakeVm::bind("vm-1"), FakeVm::bind("vm-2")];
    platform.publish_vms(5, &[&vms[0], &vms[1]]);
    platform.publish_manifest(5, &manifest_part(unused_address(), &["o-1"], 10.0));
    vms[0].start(&platform);
    vms[0].wait_for_manifest(5);
    // vm-2 stands for a restarted VM that reads from a platform which went back to version 4, while
    // its peer vm-1 has version 5.
    let stale = FakePlatform::start();
    stale.publish_vms(4, &[&vms[0], &vms[1]]);
    vms[1].start(&stale);
    wait_for("version 5 from the peer", || {
        vms[1].snapshot().manifest_version.0 == 5
    });
    stale.publish_manifest(4, &manifest_part(unused_address(), &["o-2"], 10.0));
    let reads = stale.reads("manifest");
    wait_for("two more reads", || stale.reads("manifest") > reads + 1);
    expect_that!(vms[1].snapshot().manifest_version.0, eq(5));
    stale.ignore_versions();
    wait_for("refusals", || {
        let refused = |text| vms[1].lines.count(text) > 0;
        refused("older manifest 4 refused") && stale.reads("vms") > 3
    });
    expect_that!(vms[1].snapshot().manifest_version.0, eq(5));
    expect_that!(vms[0].snapshot().list_version.0, eq(5));
    vms.iter_mut().for_each(FakeVm::end);
}

/// Guards the limit on reads of the platform: a part that cannot be read yet must not make a VM
/// read the other parts repeatedly.
#[gtest]
fn parts_that_were_read_are_kept_while_another_is_missing() {
    let platform = FakePlatform::start();
    let mut vm = FakeVm::bind("vm-1");
    platform.publish_vms(1, &[&vm]);
    let first = manifest_part(unused_address(), &["o-1"], 10.0).to_string();
    let second = r#"{"models":[{"name":"m-9"}]}"#;
    let reference = |name: &str, bytes: &str| PartReference {
        name: name.to_owned(),
        sha256: part_digest(bytes.as_bytes()),
    };
    let parts = vec![reference("first", &first), reference("second", second)];
    let keys = [0, 1].map(|part: usize| format!("manifest/part/{}", parts[part].sha256));
    let version = Version(1);
    let index = serde_json::to_string(&ManifestIndex { version, parts }).unwrap();
    platform.publish(&keys[0], 1, first);
    platform.publish("manifest", 1, index);
    vm.start(&platform);
    wait_for("three tries", || platform.reads(&keys[1]) >= 3);
    expect_that!(platform.reads(&keys[0]), eq(1));
    platform.publish(&keys[1], 1, second);
    vm.wait_for_manifest(1);
    vm.end();
}

/// Guards against a digest that is none, which was joined to the path of a read and asked for another key.
#[gtest]
fn a_part_without_a_digest_is_not_read() {
    let platform = FakePlatform::start();
    let mut vm = FakeVm::bind("vm-1");
    platform.publish_vms(1, &[&vm]);
    vm.start(&platform);
    let digests = ["x?after_version=0", "../../vms", &"F".repeat(64)];
    for (index, sha256) in digests.iter().enumerate() {
        let parts = vec![PartReference {
            name: "odd".to_owned(),
            sha256: (*sha256).to_owned(),
        }];
        let version = Version(index as u64 + 1);
        let index = serde_json::to_string(&ManifestIndex { version, parts }).unwrap();
        let before = platform.reads("manifest");
        platform.publish("manifest", version.0, index);
        wait_for("a second try", || platform.reads("manifest") >= before + 2);
    }
    expect_that!(platform.part_reads(), eq(0));
    platform.publish_manifest(20, &manifest_part(unused_address(), &["o-1"], 10.0));
    vm.wait_for_manifest(20);
    expect_that!(platform.part_reads(), eq(1));
    vm.end();
}

#[gtest]
fn a_peer_passes_on_a_newer_manifest_and_freshness_while_the_platform_is_down() {
    let (platform, cut_off) = (FakePlatform::start(), FakePlatform::start());
    let mut vms = [FakeVm::bind("vm-1"), FakeVm::bind("vm-2")];
    for platform in [&platform, &cut_off] {
        platform.publish_vms(1, &[&vms[0], &vms[1]]);
        platform.publish_manifest(1, &manifest_part(unused_address(), &["o-1"], 10.0));
    }
    vms[0].start(&platform);
    vms[1].start(&cut_off);
    vms[0].wait_for_manifest(1);
    vms[1].wait_for_manifest(1);
    cut_off.set_down(true);
    platform.publish_manifest(2, &manifest_part(unused_address(), &["o-1", "o-2"], 10.0));
    vms[1].wait_for_manifest(2);
    let fetched_at = clock::now();
    wait_for("freshness beyond the old confirmations", || {
        vms[1].snapshot().api_keys_fresh_until > fetched_at + Duration::from_secs(4)
    });
    vms.iter_mut().for_each(FakeVm::end);
}

#[gtest]
fn tokens_come_from_the_owner_whichever_vm_requests_them() {
    let names = ["vm-1", "vm-2"];
    let platform = FakePlatform::start();
    let mut vms = names.map(FakeVm::bind);
    let organisations = names.map(|vm| organisation_at(vm, &names));
    let listed = organisations.each_ref().map(|name| name.as_str());
    platform.publish_vms(1, &[&vms[0], &vms[1]]);
    platform.publish_manifest(1, &manifest_part(unused_address(), &listed, 20.0));
    for vm in &mut vms {
        vm.start(&platform);
    }
    for vm in &vms {
        vm.wait_for_manifest(1);
        for organisation in &organisations {
            let outcome = acquire(vm, organisation, Duration::from_secs(10));
            let max_usable_until = clock::now() + Duration::from_millis(50);
            let granted = matches!(outcome, AcquireOutcome::Granted { usable_until } if usable_until <= max_usable_until);
            expect_that!(
                granted,
                eq(true),
                "{organisation} at {}: {outcome:?}",
                vm.name
            );
        }
    }
    vms.iter_mut().for_each(FakeVm::end);
}

#[gtest]
fn a_static_share_asks_no_other_vm() {
    let names = ["vm-1", "vm-2"];
    let platform = FakePlatform::start();
    let (mut vm, silent) = (FakeVm::bind("vm-1"), FakeVm::bind("vm-2"));
    vm.quota_mode = QuotaMode::StaticShare;
    let organisation = organisation_at("vm-2", &names);
    platform.publish_vms(1, &[&vm, &silent]);
    let part = manifest_part(unused_address(), &[organisation.as_str()], 20.0);
    platform.publish_manifest(1, &part);
    vm.start(&platform);
    vm.wait_for_manifest(1);
    let outcome = acquire(&vm, &organisation, Duration::from_secs(10));
    expect_that!(outcome, matches_pattern!(AcquireOutcome::Granted { .. }));
    vm.end();
}

#[gtest]
fn refusals_distinguish_a_spent_rate_from_an_unreachable_owner() {
    let names = ["vm-1", "vm-2"];
    let platform = FakePlatform::start();
    let mut vm = FakeVm::bind("vm-1");
    let organisation_of_vm_1 = organisation_at("vm-1", &["vm-1"]);
    platform.publish_vms(1, &[&vm]);
    platform.publish_manifest(
        1,
        &manifest_part(unused_address(), &[organisation_of_vm_1.as_str()], 0.001),
    );
    vm.start(&platform);
    vm.wait_for_manifest(1);
    wait_for("the rate is spent", || {
        acquire(&vm, &organisation_of_vm_1, Duration::from_millis(100))
            == AcquireOutcome::RateExceeded
    });
    let silent = FakeVm::bind("vm-2");
    platform.publish_vms(2, &[&vm, &silent]);
    wait_for("list 2", || vm.snapshot().vms.version.0 == 2);
    let organisation = organisation_at("vm-2", &names);
    let outcome = acquire(&vm, &organisation, Duration::from_millis(300));
    expect_that!(outcome, eq(AcquireOutcome::Unavailable));
    vm.end();
}

#[gtest]
fn demand_reaches_the_allocator_and_brings_grants_and_load_reports() {
    let names = ["vm-1", "vm-2"];
    let report = r#"{"state":"warm","running":3,"queued":1,"models":["m-1"],"extra":0}"#;
    let endpoint = serve_http(move |_| async move { (200, 0, Bytes::from(report)) });
    let platform = FakePlatform::start();
    let mut vms = names.map(FakeVm::bind);
    platform.publish_vms(1, &[&vms[0], &vms[1]]);
    platform.publish_manifest(1, &manifest_part(endpoint, &["o-1"], 10.0));
    for vm in &mut vms {
        vm.start(&platform);
        vm.wait_for_manifest(1);
    }
    let name: EndpointName = "e-1".parse().unwrap();
    let demand = SlotDemand {
        in_flight: 0,
        waiting: 1,
    };
    // Sends a new count of the demand on each call, as traffic does, since a count is evidence only
    // about grants from before it.
    let send_demand = || {
        for vm in &vms {
            let by_endpoint = HashMap::from([(name.clone(), demand)]);
            let at = clock::now();
            let command = ControlCommand::Demand {
                counted_at: at,
                by_endpoint,
            };
            vm.running_vm().commands.blocking_send(command).unwrap();
        }
    };
    for vm in &vms {
        wait_for("grant", || {
            send_demand();
            let snapshot = vm.snapshot();
            let grant = snapshot.grants.get(&name);
            grant.is_some_and(|grant| grant.slots > 0 && clock::now() < grant.valid_until)
        });
        wait_for("load report", || {
            let snapshot = vm.snapshot();
            let load = snapshot.loads.get(&name);
            load.is_some_and(|load| (load.running, load.queued, load.models.len()) == (3, 1, 1))
        });
    }
    let allocator = owner(&endpoint_key(&name), &names);
    let [other] = vms
        .iter()
        .filter(|vm| vm.name != allocator.as_str())
        .collect::<Vec<_>>()[..]
    else {
        panic!("exactly one of two VMs must not be the allocator {allocator}");
    };
    let command = ControlCommand::EndpointCold { endpoint: name };
    other.running_vm().commands.blocking_send(command).unwrap();
    for vm in &vms {
        wait_for("the cold notice", || {
            vm.lines.count("slots: e-1 is cold") == 1
        });
    }
    vms.iter_mut().for_each(FakeVm::end);
}

/// Starts a VM beside another one on its list, `vm-2`, for which the test may send messages.
fn start_beside_silent_vm() -> (FakePlatform, FakeVm) {
    let platform = FakePlatform::start();
    let (mut vm, silent) = (FakeVm::bind("vm-1"), FakeVm::bind("vm-2"));
    platform.publish_vms(1, &[&vm, &silent]);
    platform.publish_manifest(1, &manifest_part(unused_address(), &["o-1"], 10.0));
    vm.start(&platform);
    vm.wait_for_manifest(1);
    (platform, vm)
}

/// Sends a state message on a connection.
fn send_state(connection: &mut TcpStream, message: &StateMessage) {
    let bytes = message.encode_to_vec();
    let length = u32::try_from(bytes.len()).unwrap();
    connection.write_all(&length.to_be_bytes()).unwrap();
    connection.write_all(&bytes).unwrap();
}

/// Guards against one name of a message, such as one of a later build, that costs the parts after it, or the connection.
#[gtest]
fn an_odd_name_in_a_message_of_a_vm_costs_only_its_part() {
    const ODD: [&str; 5] = ["", "a b", "e-1%", "e&b=+#", "\u{e9}"];
    let (_platform, mut vm) = start_beside_silent_vm();
    let address = vm.entry["peer_state_address"].as_str().unwrap();
    let mut connection = TcpStream::connect(address).unwrap();
    let mut sequence = 0;
    for round in 1..=3_u32 {
        let names = |place: usize| {
            let mut names = ODD.to_vec();
            names.insert(place, "e-1");
            names.into_iter().map(str::to_owned)
        };
        let place = [0, 2, ODD.len()][round as usize - 1];
        let endpoint: EndpointName = "e-1".parse().unwrap();
        wait_for("the load of the endpoint", || {
            sequence += 1;
            let load = |endpoint| WireLoad {
                endpoint,
                running: round,
                ..WireLoad::default()
            };
            let notice = |endpoint| WireColdNotice {
                endpoint,
                number: u64::from(round),
            };
            let message = StateMessage {
                sender: "vm-2".to_owned(),
                recipient: "vm-1".to_owned(),
                incarnation: 7,
                sequence,
                demands: names(place)
                    .map(|endpoint| WireDemand {
                        endpoint,
                        ..WireDemand::default()
                    })
                    .collect(),
                loads: names(place).map(load).collect(),
                cold_notices: names(place).map(notice).collect(),
                ..StateMessage::default()
            };
            send_state(&mut connection, &message);
            let snapshot = vm.snapshot();
            let load = snapshot.loads.get(&endpoint);
            load.is_some_and(|load| load.running == round)
        });
    }
    expect_that!(vm.lines.count("slots: e-1 is cold"), ge(1));
    vm.end();
}

/// Guards against votes and leases that are taken from a part of a message.
#[gtest]
fn a_message_with_an_odd_vote_is_refused_before_anything_of_it_is_applied() {
    let (_platform, mut vm) = start_beside_silent_vm();
    let address = vm.entry["peer_state_address"].as_str().unwrap();
    let load = |running| WireLoad {
        endpoint: "e-1".to_owned(),
        running,
        ..WireLoad::default()
    };
    let message = |sequence, running, absence_votes| StateMessage {
        sender: "vm-2".to_owned(),
        recipient: "vm-1".to_owned(),
        incarnation: 7,
        sequence,
        loads: vec![load(running)],
        acknowledgement: Some(WireAcknowledgement {
            absence_votes,
            ..WireAcknowledgement::default()
        }),
        ..StateMessage::default()
    };
    let mut connection = TcpStream::connect(address).unwrap();
    send_state(
        &mut connection,
        &message(1, 9, vec!["vm-3".to_owned(), "vm 3%".to_owned()]),
    );
    let closed = connection.read(&mut [0]);
    expect_that!(closed.unwrap_or_default(), eq(0));
    let endpoint: EndpointName = "e-1".parse().unwrap();
    expect_that!(vm.snapshot().loads.get(&endpoint).is_none(), eq(true));
    // The same sequence is taken, since the message before it left nothing.
    let mut connection = TcpStream::connect(address).unwrap();
    send_state(&mut connection, &message(1, 3, vec!["vm-3".to_owned()]));
    wait_for("the load of the endpoint", || {
        let snapshot = vm.snapshot();
        let load = snapshot.loads.get(&endpoint);
        load.is_some_and(|load| load.running == 3)
    });
    vm.end();
}

/// Guards against one name of a model, such as one that no manifest can have, that costs the whole report of its endpoint.
#[gtest]
fn an_odd_name_of_a_model_costs_no_load_report() {
    let report = r#"{"state":"warm","running":3,"queued":1,"models":["","m-1","m 2%","m&b=+#"],
        "loading":["\u00e9 ","m-3"]}"#;
    let endpoint = serve_http(move |_| async move { (200, 0, Bytes::from(report)) });
    let platform = FakePlatform::start();
    let mut vm = FakeVm::bind("vm-1");
    platform.publish_vms(1, &[&vm]);
    platform.publish_manifest(1, &manifest_part(endpoint, &["o-1"], 10.0));
    vm.start(&platform);
    vm.wait_for_manifest(1);
    let name: EndpointName = "e-1".parse().unwrap();
    wait_for("the load report", || {
        let snapshot = vm.snapshot();
        let load = snapshot.loads.get(&name);
        load.is_some_and(|load| {
            let models: Vec<&str> = load.models.iter().map(|model| model.as_str()).collect();
            (load.running, models) == (3, vec!["m-1"])
        })
    });
    vm.end();
}

/// Endpoint whose answers to reads of its load wait for the test.
struct HeldEndpoint {
    address: SocketAddr,
    /// Number of reads that have come.
    asked: Arc<AtomicUsize>,
    /// Number of reads that may be answered.
    answered: Arc<AtomicUsize>,
}

impl HeldEndpoint {
    fn start(running: u32) -> Self {
        let (asked, answered) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counts = (Arc::clone(&asked), Arc::clone(&answered));
        let address = serve_http(move |_| {
            let (asked, answered) = counts.clone();
            async move {
                let number = asked.fetch_add(1, Ordering::SeqCst);
                while answered.load(Ordering::SeqCst) <= number {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let body = format!(r#"{{"state":"warm","running":{running},"queued":0}}"#);
                (200, 0, Bytes::from(body))
            }
        });
        Self {
            address,
            asked,
            answered,
        }
    }
}

/// Guards against a load that was asked for, or read, at the former address of an endpoint, where another one may run.
#[gtest]
fn the_load_at_a_former_address_counts_no_more() {
    let platform = FakePlatform::start();
    let mut vm = FakeVm::bind("vm-1");
    let endpoint: EndpointName = "e-1".parse().unwrap();
    platform.publish_vms(1, &[&vm]);
    platform.publish_manifest(1, &manifest_part(unused_address(), &["o-1"], 10.0));
    vm.start(&platform);
    vm.wait_for_manifest(1);
    for round in 1..=4_u32 {
        let version = u64::from(round) * 2;
        let former = HeldEndpoint::start(round);
        platform.publish_manifest(version, &manifest_part(former.address, &["o-1"], 10.0));
        vm.wait_for_manifest(version);
        // In each second round, one load is read before the move.
        let read_before = usize::from(round % 2 == 0);
        former.answered.store(read_before, Ordering::SeqCst);
        wait_for("a read that waits", || {
            former.asked.load(Ordering::SeqCst) > read_before
        });
        let running = || {
            let snapshot = vm.snapshot();
            snapshot.loads.get(&endpoint).map(|load| load.running)
        };
        if read_before > 0 {
            wait_for("the load before the move", || running() == Some(round));
        }
        platform.publish_manifest(
            version + 1,
            &manifest_part(unused_address(), &["o-1"], 10.0),
        );
        vm.wait_for_manifest(version + 1);
        former.answered.store(usize::MAX, Ordering::SeqCst);
        let moved_at = Instant::now();
        while moved_at.elapsed() < LOAD_READ_TIME {
            let snapshot = vm.snapshot();
            let running = snapshot.loads.get(&endpoint).map(|load| load.running);
            assert_ne!(
                running,
                Some(round),
                "{:?} after the move",
                moved_at.elapsed()
            );
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    vm.end();
}

#[gtest]
fn a_planned_stop_is_announced_to_peers_and_control_serves_until_traffic_ends() {
    let platform = FakePlatform::start();
    let mut vms = ["vm-1", "vm-2"].map(FakeVm::bind);
    platform.publish_vms(1, &[&vms[0], &vms[1]]);
    platform.publish_manifest(1, &manifest_part(unused_address(), &["o-1"], 10.0));
    for vm in &mut vms {
        vm.start(&platform);
        vm.wait_for_manifest(1);
    }
    vms[0].running_vm().stop.send_replace(true);
    wait_for("stopping", || vms[0].snapshot().stopping);
    wait_for("the peer shows it as leaving", || {
        let snapshot = vms[1].snapshot();
        let mut entries = snapshot.vms.vms.iter();
        entries.any(|vm| vm.id.as_str() == "vm-1" && vm.state == VmState::Leaving)
    });
    expect_that!(vms[1].snapshot().stopping, eq(false));
    platform.publish_manifest(2, &manifest_part(unused_address(), &["o-1"], 10.0));
    vms[0].wait_for_manifest(2);
    vms.iter_mut().for_each(FakeVm::end);
}

struct ListCase {
    text: &'static str,
    /// Part of the error message, which names the place of the fault.
    place: &'static str,
}

#[gtest]
fn a_damaged_vm_list_is_refused_with_its_place() {
    let vm = r#"{"id":"vm-1","data_centre":"dc-1","caller_address":"127.0.0.1:1",
        "peer_state_address":"127.0.0.1:2","peer_call_address":"127.0.0.1:3"}"#;
    let twice = format!(r#"{{"version":1,"vms":[{vm},{vm}]}}"#);
    let cases = [
        ListCase {
            text: "{",
            place: "EOF",
        },
        ListCase {
            text: r#"{"version":0,"vms":[]}"#,
            place: "version: must be",
        },
        ListCase {
            text: r#"{"version":1,"vms":[{"id":"a b"}]}"#,
            place: "vms[0].id",
        },
        ListCase {
            text: twice.leak(),
            place: "vms[1].id: vm-1 is listed more than once",
        },
    ];
    for case in cases {
        let findings = parse_list(case.text.as_bytes()).unwrap_err();
        expect_that!(findings.to_string(), contains_substring(case.place));
    }
}
