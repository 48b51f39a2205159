//! Tests of the exit codes and findings of the command line, on which operators' scripts rely.

use std::process::{Command, Output};

use googletest::prelude::*;

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

struct CliCase {
    arguments: &'static [&'static str],
    exit_code: i32,
    /// Text that the output must contain.
    text: &'static str,
}

/// Guards the conventional exit codes: 0 for success, 1 for failure, 2 for wrong usage.
#[gtest]
fn exit_codes_are_conventional() {
    let tool = env!("CARGO_BIN_EXE_primrosewalk");
    let cases = [
        CliCase {
            arguments: &["--version"],
            exit_code: 0,
            text: "primrosewalk",
        },
        CliCase {
            arguments: &["completions", "bash"],
            exit_code: 0,
            text: "_primrosewalk",
        },
        CliCase {
            arguments: &["man"],
            exit_code: 0,
            text: ".TH",
        },
        CliCase {
            arguments: &["nonsense"],
            exit_code: 2,
            text: "unrecognized",
        },
        CliCase {
            arguments: &["check", "no-such-file.json"],
            exit_code: 1,
            text: "no-such-file",
        },
        CliCase {
            arguments: &["send", "--vm-address", "127.0.0.1:1", "--pipeline", "a b"],
            exit_code: 2,
            text: "is not a name",
        },
        CliCase {
            arguments: &["status", "--operator-address", "127.0.0.1:1"],
            exit_code: 1,
            text: "could not be asked",
        },
    ];
    for case in cases {
        let output = run(tool, case.arguments);
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        expect_that!(
            output.status.code(),
            some(eq(case.exit_code)),
            "{:?}: {text}",
            case.arguments
        );
        expect_that!(text, contains_substring(case.text), "{:?}", case.arguments);
    }
}

/// Guards against a check of the manifest that stops at the first finding.
#[gtest]
fn check_reports_every_finding_with_its_place() {
    let directory = tempfile::tempdir().unwrap();
    let manifest_path = directory.path().join("part.json");
    let manifest = serde_json::json!({
        "data_centres": [{ "name": "dc-0", "region": "r" }],
        "endpoints": [{ "name": "e", "kind": "plain", "service": "s", "address": "127.0.0.1:9",
            "data_centre": "dc-9", "slots": 0 }],
        "organisations": [{ "name": "o", "rate_per_second": 0, "burst": 0 }],
        "pipelines": [{ "name": "p", "deadline_ms": 0, "stages": [] }],
    });
    std::fs::write(&manifest_path, manifest.to_string()).unwrap();
    let output = run(
        env!("CARGO_BIN_EXE_primrosewalk"),
        &["check", manifest_path.to_str().unwrap()],
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

/// Guards against a settings check that stops at the first finding. Each finding must name its
/// flag, and the exit code must be 2.
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
