//! Tests of the formats of names and request ids, which other VMs and callers parse.

use googletest::prelude::*;
use primrosewalk::units::{RequestId, VmId};

/// Text that is or isn't a valid name.
struct NameCase {
    text: &'static str,
    valid: bool,
}

#[gtest]
fn names_are_short_and_have_no_separators() {
    let cases = [
        NameCase {
            text: "vm-1",
            valid: true,
        },
        NameCase {
            text: "",
            valid: false,
        },
        NameCase {
            text: "a.b",
            valid: false,
        },
        NameCase {
            text: "with space",
            valid: false,
        },
    ];
    for case in cases {
        expect_that!(
            case.text.parse::<VmId>().is_ok(),
            eq(case.valid),
            "{:?}",
            case.text
        );
    }
    expect_that!("x".repeat(64).parse::<VmId>().is_ok(), eq(false));
}

#[gtest]
fn request_id_survives_a_round_trip() {
    let text = "vm-1.00000000000000ff.1a.2.00000000000000aa";
    let id: RequestId = text.parse().unwrap();
    expect_that!(id.to_string(), eq(text));
    expect_that!("vm-1.ff.1a".parse::<RequestId>().is_ok(), eq(false));
}
