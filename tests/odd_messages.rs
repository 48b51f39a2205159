//! Guards that an odd part of a message between VMs, of a settings file or of a log line costs nothing but itself.

mod users_platform;

use std::sync::Arc;

use bytes::Bytes;
use googletest::prelude::*;
use primrosewalk::decisions::change_log::ChangeLog;
use primrosewalk::fleet::peer_state::decode_state;
use primrosewalk::fleet::store_feed::{StoreFeed, WordOffers, answer_listener, logged};
use primrosewalk::fleet::view::FleetView;
use primrosewalk::fleet::wire::{
    Body, FleetState, Frame, ListenToStore, WireEndpoint, WireLoad, WireLoadReports,
    decode_load_reports,
};
use primrosewalk::platform::store::{StoreItem, StoreKey};
use primrosewalk::units::{DataCentreName, EndpointName, OrganisationName, Time};
use prost::Message;
use rustix::process::Signal;
use serde_json::Value;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use users_platform::caller::request;
use users_platform::{Fleet, STEP_TIMEOUT, eventually};

const ODD_NAMES: [&str; 9] = [
    "",
    "a b",
    "a&b",
    "a+",
    "a#",
    "a%41",
    "a\r\nHold: 1",
    "\u{e9}",
    "a.b",
];
/// Largest frame between VMs.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Port for connections between VMs.
const PEER_PORT: u16 = 7_741;

/// Names go into headers of calls to endpoints, and are left out there if they cannot stand in one.
#[gtest]
fn no_odd_text_is_a_name() {
    for odd in ODD_NAMES {
        expect_that!(odd.parse::<EndpointName>().is_err(), eq(true), "{odd:?}");
        expect_that!(
            odd.parse::<OrganisationName>().is_err(),
            eq(true),
            "{odd:?}"
        );
        expect_that!(odd.parse::<DataCentreName>().is_err(), eq(true), "{odd:?}");
    }
}

#[gtest]
fn an_odd_load_costs_no_other_one_of_its_datagram() {
    let load = |process, running, load_age_ms| WireLoad {
        process,
        load_number: Some(1),
        load_age_ms,
        running,
        slots: 6,
        has_failed: true,
        ..WireLoad::default()
    };
    let reports = WireLoadReports {
        loads: vec![
            load(1, 3, 10),
            load(2, u32::MAX, 10),
            load(3, 3, u32::MAX),
            WireLoad::default(),
            load(4, 5, 10),
        ],
    };
    let loads = decode_load_reports(&reports.encode_to_vec()).unwrap();
    let running: Vec<_> = loads
        .iter()
        .map(|shared| (shared.process.0, shared.load.map(|load| load.value.running)))
        .collect();
    expect_that!(running.first(), some(eq(&(1, Some(3)))));
    expect_that!(running[1], eq((2, None)));
    expect_that!(running.last(), some(eq(&(4, Some(5)))));
}

#[gtest]
fn an_odd_part_of_a_state_costs_no_other_one() {
    let endpoint = |id: &str, service: &str, address: &str, data_centre: &str| WireEndpoint {
        id: id.to_owned(),
        service: service.to_owned(),
        address: address.to_owned(),
        data_centre: data_centre.to_owned(),
        slots: 6,
        is_ready: true,
        revision: 5,
        ..WireEndpoint::default()
    };
    const ADDRESS: &str = "10.0.0.1:80";
    let mut endpoints = vec![endpoint("i-1", "s", ADDRESS, "a")];
    for odd in ODD_NAMES {
        endpoints.push(endpoint(odd, "s", ADDRESS, "a"));
        endpoints.push(endpoint("i-2", odd, ADDRESS, "a"));
        endpoints.push(endpoint("i-2", "s", odd, "a"));
        endpoints.push(endpoint("i-2", "s", ADDRESS, odd));
    }
    endpoints.push(endpoint("i-3", "s", ADDRESS, "a"));
    let state = FleetState {
        store_revision: 9,
        configuration: Bytes::from_static(b"{\"Version\":\xff"),
        evacuated: ODD_NAMES.map(str::to_owned).to_vec(),
        endpoints,
        ..FleetState::default()
    };
    let snapshot = decode_state(&Logger::root(Discard, o!()), Time::ZERO, state);
    let ids = snapshot.entries.iter().map(|entry| entry.id.as_str());
    expect_that!(ids.collect::<Vec<_>>(), eq(&vec!["i-1", "i-3"]));
    expect_that!(snapshot.configuration, none());
    expect_that!(snapshot.position.revision, eq(9));
}

/// The log of changes counts values and not names.
#[gtest]
#[tokio::test]
async fn the_largest_log_of_changes_fits_a_frame() {
    const CHANGES: u64 = 2_000;
    const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;
    let mut changes = ChangeLog::default();
    let value = Bytes::from(vec![b'x'; MAX_LOG_BYTES / CHANGES as usize]);
    let items = (1..=CHANGES).map(|revision| StoreItem {
        key: StoreKey::Endpoint(format!("{revision:\u{1f600}>50}")),
        revision,
        value: Some(value.clone()),
    });
    changes.extend(0, CHANGES, items.map(|item| logged(item, Time::ZERO)));
    let feed = StoreFeed {
        changes: Arc::new(changes),
        word_at: Some(Time::ZERO),
        ..StoreFeed::default()
    };
    let (_feed_sender, feed) = watch::channel(Arc::new(feed));
    let (_view_sender, view) = watch::channel(Arc::new(FleetView::default()));
    let call = ListenToStore {
        hold_ms: Some(1),
        ..ListenToStore::default()
    };
    let answer = answer_listener(feed, view, Arc::<WordOffers>::default(), call).await;
    let Body::StoreNews(news) = &answer else {
        panic!("{answer:?}");
    };
    expect_that!(news.changes.len(), eq(CHANGES as usize));
    let frame = Frame {
        call: u64::MAX,
        body: Some(answer),
    };
    expect_that!(frame.encoded_len(), le(MAX_FRAME_BYTES));
}

/// Sends a frame that is given by its bytes.
async fn send(stream: &mut TcpStream, frame: &[u8]) {
    stream.write_u32(frame.len() as u32).await.unwrap();
    stream.write_all(frame).await.unwrap();
}

/// Guards against a frame that is none and costs more than its own connection.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_frame_with_a_text_that_is_none_costs_only_its_connection() {
    let fleet = Fleet::start(2).await;
    let vm = &fleet.vms[0];
    let listen = Frame {
        call: 1,
        body: Some(Body::ListenToStore(ListenToStore {
            after: fleet.store.revision(),
            era: Some(1),
            hold_ms: Some(600),
            ..ListenToStore::default()
        })),
    };
    let (mut sound, mut odd) = (
        TcpStream::connect((vm.ip, PEER_PORT)).await.unwrap(),
        TcpStream::connect((vm.ip, PEER_PORT)).await.unwrap(),
    );
    send(&mut sound, &listen.encode_to_vec()).await;
    // A stage job, whose service is no UTF-8.
    send(&mut odd, b"\x08\x02\x12\x04\x0a\x02\xff\xfe").await;
    let ended = timeout(STEP_TIMEOUT, odd.read(&mut [0])).await;
    expect_that!(
        ended.map(|read| read.unwrap_or_default() == 0),
        ok(eq(&true))
    );
    let length = timeout(STEP_TIMEOUT, sound.read_u32()).await;
    expect_that!(length.is_ok_and(|length| length.is_ok()), eq(true));
    for vm in &fleet.vms {
        for path in ["/look/x", "/stream/x"] {
            let answer = request(vm.caller_address(), path, "r-1", "key-1").await;
            expect_that!(answer.map(|answer| answer.status), some(eq(200)));
        }
    }
}

/// Lines of a settings file, of which one at a time is odd after a change.
const ODD_SETTINGS: [(&str, &str); 9] = [
    ("vm = ", "vm = \"a b%\""),
    ("data_centre = ", "data_centre = \"&+#% \""),
    ("ip = ", "ip = \"x\""),
    ("seeds = ", "seeds = [\"127.0.0.1:8628\", \"%:&\"]"),
    ("seeds = ", "seeds = 7"),
    ("peer_ports = ", "peer_ports = [7740]"),
    ("grace_s = ", "grace_s = 1e300"),
    ("grace_s = ", "grace_s = nan"),
    ("repeat_ratio = ", "repeat_ratio = \"much\""),
];

/// Guards against a change of the settings that ends a VM, or is taken in part.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_settings_leave_the_former_ones_in_force() {
    const KEPT: &str = "the former ones stay";
    let fleet = Fleet::start(1).await;
    let vm = &fleet.vms[0];
    let sound = std::fs::read_to_string(&vm.settings).unwrap();
    for (number, (start, odd)) in ODD_SETTINGS.iter().enumerate() {
        let lines = sound.lines().map(|line| match line.starts_with(start) {
            true => odd,
            false => line,
        });
        let text = lines.collect::<Vec<_>>().join("\n");
        std::fs::write(&vm.settings, text).unwrap();
        vm.signal(Signal::HUP);
        eventually(odd, || async { vm.log().matches(KEPT).count() > number }).await;
        let answer = request(vm.caller_address(), "/look/x", "r-1", "key-1").await;
        expect_that!(answer.map(|answer| answer.status), some(eq(200)), "{odd}");
    }
    std::fs::write(&vm.settings, &sound).unwrap();
    vm.signal(Signal::HUP);
    eventually("sound settings are in force", || async {
        vm.log().contains("settings: reloaded")
    })
    .await;
}

/// Guards against a text of another writer or caller that breaks a line of the log.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_texts_break_no_line_of_the_log() {
    let fleet = Fleet::start(1).await;
    let vm = &fleet.vms[0];
    for (number, odd) in ODD_NAMES.iter().enumerate() {
        let key = format!("servers/{odd}\"\\\u{0}\u{7f}{number}");
        fleet.store.put(&key, &Value::Null);
        let key = format!("op/evacuate/{odd}\"\\\u{0}\u{7f}{number}");
        fleet.store.put(&key, &Value::Null);
        let id = format!("r-{}", odd.replace(['\r', '\n'], "\"\\"));
        request(vm.caller_address(), "/look/x", &id, "key-1").await;
    }
    eventually("the entries are reported", || async {
        let log = vm.log();
        log.matches("an entry cannot be used").count() >= ODD_NAMES.len()
    })
    .await;
    let log = vm.log();
    for line in log.lines() {
        let value = serde_json::from_str::<Value>(line);
        expect_that!(
            value.is_ok_and(|value| value.is_object()),
            eq(true),
            "{line}"
        );
    }
}
