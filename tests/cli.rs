//! Exit codes and findings of the command line, which scripts of operators rely on.

use std::process::{Command, Output};

use googletest::prelude::*;

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

struct CliCase {
    arguments: &'static [&'static str],
    code: i32,
    text: &'static str,
}

/// Guards conventional exit codes: 0 done, 1 failed, 2 wrong usage.
#[gtest]
fn exit_codes_are_conventional() {
    let tool = env!("CARGO_BIN_EXE_primrosewalk");
    let cases = [
        CliCase {
            arguments: &["--version"],
            code: 0,
            text: "primrosewalk",
        },
        CliCase {
            arguments: &["completions", "bash"],
            code: 0,
            text: "_primrosewalk",
        },
        CliCase {
            arguments: &["man"],
            code: 0,
            text: ".TH",
        },
        CliCase {
            arguments: &["nonsense"],
            code: 2,
            text: "unrecognized",
        },
        CliCase {
            arguments: &["check", "no-such-file.json"],
            code: 1,
            text: "no-such-file",
        },
        CliCase {
            arguments: &["send", "--vm-address", "127.0.0.1:1", "--pipeline", "a b"],
            code: 2,
            text: "is not a name",
        },
        CliCase {
            arguments: &["status", "--operator-address", "127.0.0.1:1"],
            code: 1,
            text: "could not be asked",
        },
    ];
    for case in cases {
        let output = run(tool, case.arguments);
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        expect_that!(
            output.status.code(),
            some(eq(case.code)),
            "{:?}: {text}",
            case.arguments
        );
        expect_that!(text, contains_substring(case.text), "{:?}", case.arguments);
    }
}

/// Guards against a check that stops at the first finding.
#[gtest]
fn check_reports_every_finding_with_its_place() {
    let directory = tempfile::tempdir().unwrap();
    let part = directory.path().join("part.json");
    let manifest = serde_json::json!({
        "data_centres": [{ "name": "dc-0", "region": "r" }],
        "endpoints": [{ "name": "e", "kind": "plain", "service": "s", "address": "127.0.0.1:9",
            "data_centre": "dc-9", "slots": 0 }],
        "organisations": [{ "name": "o", "rate_per_second": 0, "burst": 0 }],
        "pipelines": [{ "name": "p", "deadline_ms": 0, "stages": [] }],
    });
    std::fs::write(&part, manifest.to_string()).unwrap();
    let output = run(
        env!("CARGO_BIN_EXE_primrosewalk"),
        &["check", part.to_str().unwrap()],
    );
    let text = String::from_utf8(output.stdout).unwrap();
    for place in [
        "endpoints[0].data_centre",
        "endpoints[0].slots",
        "organisations[0].rate_per_second",
        "organisations[0].burst",
        "pipelines[0].deadline_ms",
        "pipelines[0].stages",
    ] {
        expect_that!(text, contains_substring(place));
    }
    expect_that!(output.status.code(), some(eq(1)));
}

/// Guards settings: all findings together with the flag's name, and exit code 2.
#[gtest]
fn daemon_settings_report_every_finding() {
    let daemon = env!("CARGO_BIN_EXE_primrosewalkd");
    let output = run(
        daemon,
        &["--check", "--vm", "a b", "--platform-address", "nowhere"],
    );
    let text = String::from_utf8(output.stderr).unwrap();
    for flag in [
        "--vm",
        "--data-centre",
        "--platform-address",
        "--caller-address",
    ] {
        expect_that!(text, contains_substring(flag));
    }
    expect_that!(output.status.code(), some(eq(2)));
}
