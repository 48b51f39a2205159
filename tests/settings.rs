//! Guards the checks of the daemon's settings, its exit codes and its stop on SIGTERM.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use clap::Parser;
use googletest::prelude::*;
use primrosewalk::settings::{Arguments, QuotaMode};
use rustix::process::{Pid, Signal, kill_process};

/// Flags of settings without a problem.
const VALID: [&str; 7] = [
    "--vm=vm-1",
    "--data-centre=dc-1",
    "--platform-address=127.0.0.1:7000",
    "--caller-address=127.0.0.1:7001",
    "--operator-address=127.0.0.1:7002",
    "--peer-state-address=127.0.0.1:7003",
    "--peer-call-address=127.0.0.1:7004",
];

/// Returns a command line with the valid flags, in which `changes` replace flags of the same name
/// or are added.
fn with_changes(changes: &[&str]) -> Vec<String> {
    let flag_name = |text: &str| text.split('=').next().map(str::to_owned);
    let unchanged = VALID.iter().filter(|valid| {
        changes
            .iter()
            .all(|change| flag_name(change) != flag_name(valid))
    });
    let flags = unchanged.chain(changes).map(|text| (*text).to_owned());
    std::iter::once("primrosewalkd".to_owned())
        .chain(flags)
        .collect()
}

struct SettingsCase {
    /// Flags that replace valid ones or are added.
    changes: &'static [&'static str],
    /// Flags that the findings are expected to name, in order.
    places: &'static [&'static str],
}

#[gtest]
fn every_finding_names_its_flag() {
    let cases = [
        SettingsCase {
            changes: &[],
            places: &[],
        },
        SettingsCase {
            changes: &["--quota=static-share"],
            places: &[],
        },
        SettingsCase {
            changes: &["--vm="],
            places: &["--vm"],
        },
        SettingsCase {
            changes: &["--vm=a.b", "--log-level=loud", "--drain-limit-ms=0"],
            places: &["--vm", "--log-level", "--drain-limit-ms"],
        },
        SettingsCase {
            changes: &[
                "--platform-address=localhost:1",
                "--caller-address=127.0.0.1:0",
            ],
            places: &["--platform-address", "--caller-address"],
        },
        SettingsCase {
            changes: &["--peer-state-address=0.0.0.0:7003"],
            places: &["--peer-state-address"],
        },
        SettingsCase {
            changes: &["--peer-call-address=127.0.0.1:7001"],
            places: &["--peer-call-address"],
        },
        SettingsCase {
            changes: &[
                "--quota=x",
                "--routing=x",
                "--retry-budget=x",
                "--log-format=x",
            ],
            places: &["--log-format", "--quota", "--routing", "--retry-budget"],
        },
        SettingsCase {
            changes: &["--commands-limit=1000001", "--acquires-limit=many"],
            places: &["--commands-limit", "--acquires-limit"],
        },
    ];
    for case in cases {
        let arguments = Arguments::try_parse_from(with_changes(case.changes)).unwrap();
        let findings = arguments.validate().err().unwrap_or_default();
        let places: Vec<&str> = findings
            .items()
            .iter()
            .map(|item| item.place.as_str())
            .collect();
        expect_that!(places, eq(case.places), "{:?}", case.changes);
    }
}

#[gtest]
fn defaults_are_the_documented_ones() {
    let arguments = Arguments::try_parse_from(with_changes(&[])).unwrap();
    let settings = arguments.validate().unwrap();
    expect_that!(settings.quota, eq(QuotaMode::Owner));
    expect_that!(settings.retry_budget, eq(true));
    expect_that!(settings.drain_limit.as_millis(), eq(660_000));
}

/// Returns a command that runs the daemon with these arguments and an empty environment.
fn daemon(arguments: &[String]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosewalkd"));
    command.args(&arguments[1..]).env_clear();
    command
}

#[gtest]
fn check_reports_all_findings_and_uses_the_exit_code() {
    let good = daemon(&with_changes(&["--check"])).output().unwrap();
    expect_that!(good.status.code(), some(eq(0)));
    let bad = daemon(&with_changes(&["--check", "--vm=", "--log-level=loud"]))
        .env("PRIMROSEWALK_QUOTA", "most")
        .output()
        .unwrap();
    expect_that!(bad.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&bad.stderr);
    for flag in ["--vm: ", "--log-level: ", "--quota: "] {
        expect_that!(text, contains_substring(flag));
    }
}

#[gtest]
fn sigterm_ends_an_idle_daemon_with_success() {
    // The process id selects a loopback address, so the ports of parallel processes do not collide.
    let pid = std::process::id();
    let host = format!(
        "127.{}.{}.{}",
        1 + pid / 65_536 % 254,
        pid / 256 % 256,
        1 + pid % 254
    );
    let ports: Vec<String> = VALID[2..]
        .iter()
        .map(|flag| flag.replace("127.0.0.1", &host))
        .collect();
    let ports: Vec<&str> = ports.iter().map(String::as_str).collect();
    let mut child = daemon(&with_changes(&ports))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (sender, lines) = mpsc::channel();
    let reader = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || {
        for line in reader.lines().map_while(std::io::Result::ok) {
            let _ = sender.send(line);
        }
    });
    // The timeout is far longer than the daemon needs, so that only a daemon that hangs fails the
    // test.
    let timeout = Duration::from_secs(20);
    let wait_for_line = |text: &str| loop {
        match lines.recv_timeout(timeout) {
            Ok(line) if line.contains(text) => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    };
    let started = wait_for_line("daemon: vm-1 started");
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    let stopped = wait_for_line("daemon: stopped");
    if !stopped {
        child.kill().unwrap();
    }
    expect_that!(started, eq(true));
    expect_that!(stopped, eq(true));
    expect_that!(child.wait().unwrap().code(), some(eq(0)));
}
