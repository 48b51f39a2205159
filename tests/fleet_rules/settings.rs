//! Guards the checks of the settings file of a VM on the users' platform.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::fleet::model::VmSize;
use primrosewalk::fleet::settings::check_settings;

/// Settings without a problem.
const VALID: &str = r#"
vm = "edge-1"
data_centre = "a"
ip = "127.0.0.1"
caller_address = "127.0.0.1:8625"
readiness_address = "127.0.0.1:8621"
directory_address = "127.0.0.1:8620"
platform_address = "127.0.0.9:8624"
seeds = ["127.0.0.1:8628", "127.0.0.2:8628"]
peer_ports = [7740, 7755]
metrics_port = 7742
grace_s = 8
address_ttl_most_s = 5
repeat_ratio = 0.2
repeat_reserve = 52
cpu_share = 0.5
cpu_count = 2
link_mbit_per_s = 200.0
"#;

#[gtest]
fn valid_settings_have_no_findings() {
    let settings = check_settings(VALID).unwrap();
    expect_that!(settings.gossip_port, eq(7740));
    expect_that!(settings.peer_port, eq(7741));
    expect_that!(settings.grace, eq(Duration::from_secs(8)));
    expect_that!(settings.seeds.len(), eq(2));
    let size = VmSize {
        cpu_millicores: 1_000,
        link_mbit_per_s: 200,
    };
    expect_that!(settings.size, eq(size));
}

/// A file of an earlier build has no size: such a VM gets no work for the whole fleet while others do.
#[gtest]
fn a_file_without_a_size_is_valid() {
    let lines = VALID.lines();
    let known = lines.filter(|line| !line.starts_with("cpu_") && !line.starts_with("link_"));
    let settings = check_settings(&known.collect::<Vec<_>>().join("\n")).unwrap();
    expect_that!(settings.size, eq(VmSize::default()));
}

/// Without the size of the machine in the file, nothing bounds what is held for callers.
#[gtest]
fn the_size_of_the_machine_is_optional() {
    let settings = check_settings(VALID).unwrap();
    expect_that!(settings.memory_bytes, none());
    expect_that!(settings.max_descriptors, none());
    expect_that!(settings.change_bound, none());
    let text = format!("{VALID}\nmemory_mb = 160\nmax_descriptors = 4100\nchange_bound_ms = 2000");
    let settings = check_settings(&text).unwrap();
    expect_that!(settings.memory_bytes, some(eq(160_000_000)));
    expect_that!(settings.max_descriptors, some(eq(4_100)));
    expect_that!(settings.change_bound, some(eq(Duration::from_secs(2))));
    let findings = check_settings(&format!("{VALID}\nmemory_mb = -1")).unwrap_err();
    expect_that!(findings.items()[0].place.as_str(), eq("memory_mb"));
}

#[gtest]
fn an_unknown_field_is_ignored() {
    expect_that!(
        check_settings(&format!("{VALID}\nnew_field = 1")),
        ok(anything())
    );
}

#[gtest]
fn every_problem_is_found_with_its_place() {
    /// Replaces `from` by `to` in the valid settings; `place` is that of the expected finding.
    struct Case {
        from: &'static str,
        to: &'static str,
        place: &'static str,
    }
    let cases = [
        Case {
            from: "ip = \"127.0.0.1\"",
            to: "ip = \"x\"",
            place: "ip",
        },
        Case {
            from: ":8625",
            to: "",
            place: "caller_address",
        },
        Case {
            from: ":8620",
            to: ":no",
            place: "directory_address",
        },
        Case {
            from: "\"edge-1\"",
            to: "\"\"",
            place: "vm",
        },
        Case {
            from: "[7740, 7755]",
            to: "[7740]",
            place: "peer_ports",
        },
        Case {
            from: "[7740, 7755]",
            to: "[7740, 7740]",
            place: "peer_ports",
        },
        Case {
            from: "metrics_port = 7742",
            to: "metrics_port = 7741",
            place: "metrics_port",
        },
        Case {
            from: "grace_s = 8",
            to: "grace_s = 0",
            place: "grace_s",
        },
        Case {
            from: "repeat_ratio = 0.2",
            to: "repeat_ratio = -1",
            place: "repeat_ratio",
        },
        Case {
            from: "127.0.0.2:8628",
            to: "seed",
            place: "seeds[1]",
        },
        Case {
            from: "vm =",
            to: "= vm",
            place: "settings",
        },
    ];
    for case in cases {
        let text = VALID.replace(case.from, case.to);
        let findings = check_settings(&text).unwrap_err();
        let places: Vec<&str> = findings
            .items()
            .iter()
            .map(|item| item.place.as_str())
            .collect();
        expect_that!(places, contains(eq(&case.place)), "{}", case.to);
    }
}

#[gtest]
fn several_problems_are_reported_together() {
    let text = VALID
        .replace("grace_s = 8", "grace_s = -8")
        .replace("ip = \"127.0.0.1\"", "ip = 7");
    let text = text.replace("ip = 7", "ip = \"7\"");
    let findings = check_settings(&text).unwrap_err();
    expect_that!(findings.items().len(), ge(2));
}
