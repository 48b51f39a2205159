//! Guards who is admitted and who gives way when callers hold a VM's memory and connections.

use googletest::prelude::*;
use primrosewalk::decisions::caller_memory::{
    CallerBounds, CallerMemory, ConnectionNumber, Exhausted, Phase,
};

use crate::at;

const KIB: usize = 1024;
const MIB: usize = 1024 * 1024;
const CONNECTION_BYTES: usize = 16 * KIB;
/// Time after which a connection is slow.
const SLOW_MS: u64 = 1_000;

fn memory(max_bytes: usize, max_connections: usize) -> CallerMemory {
    CallerMemory::new(CallerBounds {
        max_bytes,
        max_connections,
        connection_bytes: CONNECTION_BYTES,
    })
}

fn connect(memory: &mut CallerMemory, at_ms: u64) -> ConnectionNumber {
    memory.connect(at(at_ms)).0.unwrap()
}

/// Connects callers that send bodies of a size, as far as there is room. Returns those that hold one.
fn fill(memory: &mut CallerMemory, callers: usize, body_bytes: usize) -> Vec<ConnectionNumber> {
    let mut holders = Vec::new();
    for _ in 0..callers {
        let Ok(number) = memory.connect(at(0)).0 else {
            break;
        };
        memory.enter(at(0), number, Phase::Body);
        if memory.charge(at(0), number, body_bytes).0.is_ok() {
            holders.push(number);
        }
    }
    holders
}

/// Guards against charges that are kept after their connection has ended, which would use the memory up.
#[gtest]
fn what_is_released_can_be_held_again() {
    let mut memory = memory(16 * MIB, 100);
    for round in 0..100 {
        let number = connect(&mut memory, round);
        expect_that!(memory.charge(at(round), number, 4 * MIB).0, ok(anything()));
        memory.release(number, 4 * MIB);
        memory.disconnect(number);
        expect_that!(memory.held_bytes(), eq(0), "round {round}");
    }
}

/// The bytes may be released after their connection: an endpoint may still be sent the body.
#[gtest]
fn what_outlives_its_connection_counts_until_it_is_released() {
    let mut memory = memory(16 * MIB, 100);
    let number = connect(&mut memory, 0);
    memory.charge(at(0), number, MIB).0.unwrap();
    memory.disconnect(number);
    expect_that!(memory.held_bytes(), eq(MIB));
    memory.release(number, MIB);
    expect_that!(memory.held_bytes(), eq(0));
}

/// Guards against a crowd of large bodies that takes the room of ordinary requests at once.
#[gtest]
fn small_requests_find_room_beside_any_number_of_large_bodies() {
    struct Case {
        max_bytes: usize,
        body_bytes: usize,
    }
    let cases = [
        Case {
            max_bytes: 53 * MIB,
            body_bytes: 4 * MIB,
        },
        Case {
            max_bytes: 53 * MIB,
            body_bytes: 256 * KIB,
        },
        Case {
            max_bytes: 32 * MIB,
            body_bytes: MIB,
        },
    ];
    for case in cases {
        let mut memory = memory(case.max_bytes, 10_000);
        let holders = fill(&mut memory, 200, case.body_bytes);
        expect_that!(holders.len(), lt(200), "{} bytes", case.body_bytes);
        expect_that!(memory.held_bytes(), le(case.max_bytes));
        for _ in 0..20 {
            let number = connect(&mut memory, 1);
            let charged = memory.charge(at(1), number, 64 * KIB).0;
            expect_that!(charged, ok(anything()), "{} bytes", case.body_bytes);
        }
    }
}

/// Guards against a crowd that fills the memory and stays.
#[gtest]
fn slow_holders_give_way_once_they_are_slow_and_no_more_of_them_than_needed() {
    let mut memory = memory(32 * MIB, 1_000);
    let holders = fill(&mut memory, 200, MIB);
    let number = connect(&mut memory, 500);
    let (charged, giving_way) = memory.charge(at(500), number, 2 * MIB);
    expect_that!(charged, err(eq(Exhausted::Memory)));
    expect_that!(giving_way.is_empty(), eq(true), "nobody is slow yet");
    // Large holders have three quarters of the memory.
    let needed_bytes = memory.held_bytes() + 2 * MIB - 24 * MIB;
    let (charged, giving_way) = memory.charge(at(SLOW_MS), number, 2 * MIB);
    expect_that!(charged, err(eq(Exhausted::Memory)));
    let needed_holders = needed_bytes.div_ceil(MIB + CONNECTION_BYTES);
    expect_that!(giving_way.len(), eq(needed_holders));
    for (holder, phase) in giving_way {
        expect_that!(holders.contains(&holder), eq(true));
        expect_that!(phase, eq(Phase::Body));
        expect_that!(memory.gives_way(holder), eq(true));
        memory.release(holder, MIB);
        memory.enter(at(SLOW_MS), holder, Phase::Serving);
        memory.disconnect(holder);
    }
    let (charged, _) = memory.charge(at(SLOW_MS + 300), number, 2 * MIB);
    expect_that!(charged, ok(anything()), "the retry of a caller");
}

/// Guards against a close in the middle of a request that may be running.
#[gtest]
fn only_connections_without_a_running_request_give_way() {
    struct Case {
        phase: Phase,
        gives_way: bool,
    }
    let cases = [
        Case {
            phase: Phase::Idle,
            gives_way: true,
        },
        Case {
            phase: Phase::Head,
            gives_way: true,
        },
        Case {
            phase: Phase::Body,
            gives_way: true,
        },
        Case {
            phase: Phase::Serving,
            gives_way: false,
        },
        Case {
            phase: Phase::Unread,
            gives_way: true,
        },
        Case {
            phase: Phase::Closing,
            gives_way: true,
        },
    ];
    for case in cases {
        let mut memory = memory(32 * MIB, 1);
        let number = connect(&mut memory, 0);
        memory.enter(at(0), number, case.phase);
        let (refused, giving_way) = memory.connect(at(SLOW_MS));
        expect_that!(refused, err(eq(Exhausted::Connections)));
        let gives_way = giving_way.iter().any(|(found, _)| *found == number);
        expect_that!(gives_way, eq(case.gives_way), "{:?}", case.phase);
    }
}

/// Guards against a decision that strikes the next request of the same connection.
#[gtest]
fn a_connection_that_goes_on_meanwhile_no_longer_gives_way() {
    let mut memory = memory(32 * MIB, 1);
    let number = connect(&mut memory, 0);
    memory.enter(at(0), number, Phase::Head);
    let _ = memory.connect(at(SLOW_MS));
    expect_that!(memory.gives_way(number), eq(true));
    memory.enter(at(SLOW_MS), number, Phase::Serving);
    expect_that!(memory.gives_way(number), eq(false));
}

/// Guards against new callers that find no place for as long as a crowd of unfinished heads stays.
#[gtest]
fn a_new_caller_finds_a_place_among_unfinished_heads() {
    let mut memory = memory(32 * MIB, 250);
    for _ in 0..250 {
        let number = connect(&mut memory, 0);
        memory.enter(at(0), number, Phase::Head);
    }
    let (refused, giving_way) = memory.connect(at(SLOW_MS));
    expect_that!(refused, err(eq(Exhausted::Connections)));
    expect_that!(giving_way.len(), eq(1));
    memory.disconnect(giving_way[0].0);
    expect_that!(memory.connect(at(SLOW_MS + 100)).0, ok(anything()));
}

/// A body that can never be held must not drive others out.
#[gtest]
fn nobody_gives_way_to_what_never_fits() {
    let mut memory = memory(32 * MIB, 250);
    fill(&mut memory, 20, MIB);
    let number = connect(&mut memory, SLOW_MS);
    let (charged, giving_way) = memory.charge(at(SLOW_MS), number, 30 * MIB);
    expect_that!(charged, err(eq(Exhausted::Memory)));
    expect_that!(giving_way.is_empty(), eq(true));
}
