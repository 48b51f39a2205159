//! Guards VMs whose store has more valid entries than a frame between VMs holds (8 MiB), and the calls beside those for
//! such a state.

mod users_platform;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use primrosewalk::fleet::wire::{Body, Empty, Frame, ListenToStore};
use prost::Message;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use users_platform::caller::request;
use users_platform::store::Limits;
use users_platform::{Fleet, within};

const VMS: usize = 3;
/// Entries with the longest names, which are more than 200 bytes each between VMs.
const ENTRIES: usize = 45_000;
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Time within which VMs serve again once they run, on the smallest deployment of the platform (`RecoverS`).
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Port for connections between VMs.
const PEER_PORT: u16 = 7_741;
/// Time for which a call may wait, as a VM that listens to another asks for it.
const HOLD_TIME: Duration = Duration::from_millis(600);

fn put_entries(fleet: &Fleet) {
    let name = |number: usize| format!("{number:0>63}");
    let entry = json!({
        "Service": name(0), "Address": "127.0.0.1:9", "Zone": name(1), "Version": "v1", "Slots": 6,
        "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": 1_000
    });
    for number in 0..ENTRIES {
        fleet
            .store
            .put(&format!("servers/{}", name(number)), &entry);
    }
    fleet.store.set_limits(Limits {
        page_items: 500,
        ..Limits::default()
    });
}

async fn send(stream: &mut TcpStream, call: u64, body: Body) {
    let frame = Frame {
        call,
        body: Some(body),
    };
    let bytes = frame.encode_to_vec();
    stream.write_u32(bytes.len() as u32).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
}

/// Returns the next frame, `None` if the connection ends.
async fn receive(stream: &mut TcpStream) -> Option<(Frame, usize)> {
    let length = stream.read_u32().await.ok()? as usize;
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.ok()?;
    Some((Frame::decode(bytes.as_slice()).unwrap(), length))
}

/// Guards against a state that ends the connection on which it would be sent, with all calls that wait there, and against
/// a fleet that does not start beside it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_state_larger_than_a_frame_costs_no_other_call() {
    let mut fleet = Fleet::prepare(VMS).await;
    put_entries(&fleet);
    fleet.vms.iter_mut().for_each(|vm| vm.start());
    let started = Instant::now();
    for vm in &fleet.vms {
        let is_served = || async {
            let answer = request(vm.caller_address(), "/look/x", "r-1", "key-1").await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        let left = RECOVER_TIME.saturating_sub(started.elapsed());
        within(&format!("{} serves", vm.name), left, is_served).await;
    }
    // A call that waits, beside those for the whole state.
    let mut stream = TcpStream::connect((fleet.vms[0].ip, PEER_PORT))
        .await
        .unwrap();
    let listen = |after| ListenToStore {
        after,
        era: Some(1),
        hold_ms: Some(HOLD_TIME.as_millis() as u64),
        word_age_ms: Some(0),
        ..ListenToStore::default()
    };
    let revision = fleet.store.revision();
    send(&mut stream, 1, Body::ListenToStore(listen(revision))).await;
    send(&mut stream, 2, Body::StateRequest(Empty {})).await;
    send(&mut stream, 3, Body::ListenToStore(listen(0))).await;
    let mut answered = Vec::new();
    while answered.len() < 3 {
        let Ok(Some((frame, bytes))) = timeout(RECOVER_TIME, receive(&mut stream)).await else {
            break;
        };
        expect_that!(bytes, le(MAX_FRAME_BYTES));
        answered.push(frame.call);
    }
    answered.sort_unstable();
    expect_that!(answered, eq(&vec![1, 2, 3]));
    let log = fleet.vms[0].log();
    expect_that!(log, contains_substring("a message store_state of"));
}
