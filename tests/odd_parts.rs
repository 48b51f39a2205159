//! Guards that one part of a document or message which cannot be read, or names what nothing can have, costs
//! nothing but itself.

use googletest::prelude::*;
use primrosewalk::decisions::batching::ItemFailure;
use primrosewalk::platform::stage_call::decode_run;

/// Guards against one odd outcome that fails the items of all other requests in its batch.
#[gtest]
fn an_odd_outcome_of_a_batch_costs_only_its_item() {
    const SOUND: &str = r#"{"Handle":"10.1.64.7:8080/91bd3f06e44"}"#;
    let odd = [
        "7",
        "null",
        "[]",
        r#""10.1.64.7:8080/a""#,
        "{}",
        r#"{"Handle":7}"#,
        r#"{"Handle":["10.1.64.7:8080/a"]}"#,
        r#"{"Handle":"10.1.64.7:8080/a","Reason":7}"#,
        r#"{"Reason":{}}"#,
    ];
    for odd in odd {
        let answer = format!(r#"{{"Entries":[{SOUND},{odd},{{"Reason":"late"}},{SOUND}]}}"#);
        let Ok(outcomes) = decode_run(answer.as_bytes(), 4) else {
            add_failure!("{odd}: the whole answer is refused");
            continue;
        };
        expect_that!(outcomes[1], err(eq(&ItemFailure::Failed)), "{odd}");
        expect_that!(outcomes[2], err(eq(&ItemFailure::Late)), "{odd}");
        for sound in [&outcomes[0], &outcomes[3]] {
            expect_that!(sound, ok(eq("10.1.64.7:8080/91bd3f06e44")), "{odd}");
        }
    }
}
