//! Guards the encoding of state messages, and the links between VMs.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::{EndpointLoad, SlotDemand};
use primrosewalk::decisions::membership::{Acknowledgement, MemberList};
use primrosewalk::decisions::slots::{SlotAnswer, SlotReport};
use primrosewalk::peer::backoff::{Backoff, BackoffConfig};
use primrosewalk::peer::link::{LinkConfig, run_link, serve_links};
use primrosewalk::peer::message::{
    StateMessage, WireAcknowledgement, WireColdNotice, WireDemand, WireGrant, WireLoad,
};
use primrosewalk::units::{Incarnation, Time, Version, VmId};
use prost::Message;
use smallvec::smallvec;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn acknowledgement() -> Acknowledgement {
    Acknowledgement {
        sequence: 7,
        to_incarnation: Incarnation(11),
        incarnation: Incarnation(u64::MAX),
        list_version: Version(3),
        granted: true,
        recovering: true,
        resolved: Version(2),
        predecessors: vec![MemberList {
            version: Version(2),
            members: smallvec![vm("vm-1"), vm("vm-9")],
        }],
        absence_votes: smallvec![vm("vm-4")],
    }
}

fn load(now: Time) -> EndpointLoad {
    EndpointLoad {
        read_at: now - Duration::from_millis(30),
        cold: true,
        running: 2,
        queued: 1,
        models: vec!["m-1".parse().unwrap()],
    }
}

fn slot_report() -> SlotReport {
    SlotReport {
        incarnation: acknowledgement().incarnation,
        sequence: 9,
        demand: SlotDemand {
            in_flight: 3,
            waiting: 4,
        },
        completed: 100,
        applied: 7,
        released_before: 5,
        cold: true,
        ramp: Some(2),
    }
}

fn slot_answer() -> SlotAnswer {
    SlotAnswer {
        incarnation: Incarnation(11),
        sequence: 6,
        slots: 6,
        ramp: Some(3),
    }
}

fn message(now: Time) -> StateMessage {
    let answer = acknowledgement();
    StateMessage {
        sender: "vm-2".to_owned(),
        recipient: "vm-1".to_owned(),
        incarnation: answer.incarnation.0,
        sender_address: "127.0.0.1:7001".to_owned(),
        sequence: 9,
        list_version: 3,
        acknowledgement: Some(WireAcknowledgement::new(&answer, |_| None)),
        manifest_version: 5,
        freshness_age_us: Some(0),
        leaving: true,
        demands: vec![WireDemand::new(&"e-1".parse().unwrap(), &slot_report())],
        grants_answer_sequence: 8,
        grants: vec![WireGrant::new(&"e-2".parse().unwrap(), &slot_answer(), 8)],
        loads: vec![WireLoad::new(&"e-3".parse().unwrap(), &load(now), now)],
        cold_notices: vec![WireColdNotice {
            endpoint: "e-1".to_owned(),
            number: 2,
        }],
        grants_answer_incarnation: 11,
        recalls: vec!["e-4".to_owned()],
        placement_number: vec![3, 1, 7],
    }
}

#[gtest]
fn a_state_message_is_the_same_after_encoding_and_decoding() {
    let (sent_at, received_at) = (Time::from_millis(1_000), Time::from_millis(77_000));
    let sent = message(sent_at);
    let received = StateMessage::decode(sent.encode_to_vec().as_slice()).unwrap();
    expect_that!(received, eq(&sent));
    expect_that!(
        received.acknowledgement().unwrap(),
        some(eq(&acknowledgement()))
    );
    expect_that!(received.heartbeat().sequence, eq(9));
    let (endpoint, report) = received.demands[0].report(&received).unwrap();
    expect_that!((endpoint.as_str(), report), eq(("e-1", slot_report())));
    let (endpoint, answer) = received.grants[0].answer(&received).unwrap();
    expect_that!((endpoint.as_str(), answer), eq(("e-2", slot_answer())));
    let (_, report) = received.loads[0].load(received_at).unwrap();
    expect_that!(report, eq(&load(received_at)));
}

#[gtest]
fn a_message_with_a_damaged_name_is_refused() {
    let mut damaged = message(Time::ZERO);
    let answer = damaged.acknowledgement.as_mut().unwrap();
    answer.absence_votes.push("not a name".to_owned());
    expect_that!(damaged.acknowledgement().is_err(), eq(true));
}

struct BackoffCase {
    failures: usize,
    /// Random fraction of the full pause, between 0 and 1.
    fraction: f64,
    pause_ms: u64,
}

#[gtest]
fn pauses_grow_to_the_maximum_with_full_jitter() {
    let cases = [
        BackoffCase {
            failures: 0,
            fraction: 1.0,
            pause_ms: 200,
        },
        BackoffCase {
            failures: 0,
            fraction: 0.0,
            pause_ms: 0,
        },
        BackoffCase {
            failures: 1,
            fraction: 1.0,
            pause_ms: 400,
        },
        BackoffCase {
            failures: 4,
            fraction: 0.5,
            pause_ms: 1_600,
        },
        BackoffCase {
            failures: 5,
            fraction: 1.0,
            pause_ms: 5_000,
        },
        BackoffCase {
            failures: 99,
            fraction: 1.0,
            pause_ms: 5_000,
        },
    ];
    for case in cases {
        let mut backoff = Backoff::new(BackoffConfig::default());
        for _ in 0..case.failures {
            backoff.next_pause(1.0);
        }
        let pause = backoff.next_pause(case.fraction);
        expect_that!(pause, eq(Duration::from_millis(case.pause_ms)));
        backoff.reset();
        expect_that!(backoff.next_pause(1.0), eq(Duration::from_millis(200)));
    }
}

/// Maximum number of messages that fit into the socket buffers of a connection on which the peer
/// does not read: a few megabytes in frames of 200 KB.
const MAX_BUFFERED_MESSAGES: u32 = 100;

#[gtest]
fn a_frozen_peer_blocks_only_its_own_link_and_no_message_waits() {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let frozen = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let reading = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let config = LinkConfig {
            period: Duration::from_millis(1),
            write_timeout: Duration::from_secs(60),
            ..LinkConfig::default()
        };
        let received = Rc::new(Cell::new(0_u32));
        let counted = received.clone();
        let built = Rc::new(Cell::new(0_u32));
        for (listener, built) in [(&frozen, Some(built.clone())), (&reading, None)] {
            let address = listener.local_addr().unwrap();
            let next = move || {
                if let Some(built) = &built {
                    built.set(built.get() + 1);
                }
                StateMessage {
                    sender: "x".repeat(200_000),
                    ..StateMessage::default()
                }
            };
            spawn_local(run_link(address, config, Rc::new(Notify::new()), next));
        }
        let receive = Rc::new(move |_| {
            counted.set(counted.get() + 1);
            Ok(())
        });
        let _connection = frozen.accept().await.unwrap();
        spawn_local(serve_links(reading, config, receive));
        let enough_received = async {
            while received.get() < 4 * MAX_BUFFERED_MESSAGES {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let outcome = tokio::time::timeout(Duration::from_secs(30), enough_received).await;
        expect_that!(
            outcome.is_ok(),
            eq(true),
            "timed out after {} messages were received",
            received.get()
        );
        expect_that!(built.get(), le(MAX_BUFFERED_MESSAGES));
    });
}
