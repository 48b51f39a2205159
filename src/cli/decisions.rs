//! `primrosewalk explain` and `primrosewalk decisions`: show what VMs decided and why.

use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::{Context as _, bail};
use clap::Args;

use crate::cli::operators::OperatorOptions;
use crate::explain::Decision;
use crate::http::{self, Call};
use crate::units::RequestId;

/// Timeout for the head of an answer, and again for its body.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two reads of the decisions with `--follow`.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Options of `primrosewalk explain`.
#[derive(Debug, Args)]
pub struct ExplainOptions {
    /// Id of the request, as given in its answer.
    request_id: RequestId,
    #[command(flatten)]
    operators: OperatorOptions,
}

/// Options of `primrosewalk decisions`.
#[derive(Debug, Args)]
pub struct DecisionsOptions {
    /// Operator address of the VM to ask.
    #[arg(long, env = "PRIMROSEWALK_OPERATOR_ADDRESS")]
    operator_address: SocketAddr,
    /// Keep running and print new decisions as they are made.
    #[arg(long)]
    follow: bool,
}

/// Prints the decisions about one request, from each of the given VMs that recorded any.
pub async fn explain(options: ExplainOptions) -> anyhow::Result<()> {
    let path = format!("/v1/explain/{}", options.request_id);
    let mut found = false;
    for address in &options.operators.operator_address {
        let (status, body) = http::fetch(&Call::get(*address, &path, TIMEOUT), TIMEOUT).await?;
        if !status.is_success() {
            continue;
        }
        let decisions: Vec<Decision> = parse_decisions(&body)?;
        found |= !decisions.is_empty();
        if options.operators.json && !decisions.is_empty() {
            println!("{}", serde_json::to_string(&decisions)?);
        } else {
            print_decisions(&decisions);
        }
    }
    if !found {
        bail!(
            "none of the VMs asked has a record of request {}; each VM keeps a limited number of \
             records and loses them when its daemon ends",
            options.request_id
        );
    }
    Ok(())
}

/// Prints the recent decisions of a VM and, with `--follow`, new ones until interrupted.
pub async fn decisions(options: DecisionsOptions) -> anyhow::Result<()> {
    let mut after = 0;
    loop {
        let path = format!("/v1/decisions?after={after}");
        let call = Call::get(options.operator_address, &path, TIMEOUT);
        let (status, body) = http::fetch(&call, TIMEOUT).await?;
        if !status.is_success() {
            bail!("{} answered {status}", options.operator_address);
        }
        let decisions = parse_decisions(&body)?;
        print_decisions(&decisions);
        after = decisions.last().map_or(after, |decision| decision.sequence);
        if !options.follow {
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

fn parse_decisions(body: &[u8]) -> anyhow::Result<Vec<Decision>> {
    serde_json::from_slice(body).context("the answer is not a list of decisions")
}

/// Prints each decision on a line: time, message, and values as `key=value`.
fn print_decisions(decisions: &[Decision]) {
    for decision in decisions {
        let at = UNIX_EPOCH + Duration::from_millis(decision.at_unix_ms);
        let values = decision.values.iter().filter(|(key, _)| key != "decision");
        let values: Vec<String> = values
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let at = humantime::format_rfc3339_millis(at);
        println!("{at} {} {}", decision.message, values.join(" "));
    }
}
