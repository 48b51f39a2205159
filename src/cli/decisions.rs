//! `primrosewalk explain` and `primrosewalk decisions`: what a VM decided and why.

use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::{Context as _, bail};
use clap::Args;

use crate::cli::operators::OperatorOptions;
use crate::explain::Decision;
use crate::http::{self, Call};
use crate::units::RequestId;

const TIMEOUT: Duration = Duration::from_secs(3);
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Options of `primrosewalk explain`.
#[derive(Debug, Args)]
pub struct ExplainOptions {
    /// The request's id, as given in its answer.
    request_id: RequestId,
    #[command(flatten)]
    operators: OperatorOptions,
}

/// Options of `primrosewalk decisions`.
#[derive(Debug, Args)]
pub struct DecisionsOptions {
    /// Operator address of the VM.
    #[arg(long, env = "PRIMROSEWALK_OPERATOR_ADDRESS")]
    operator_address: SocketAddr,
    /// Go on printing new decisions.
    #[arg(long)]
    follow: bool,
}

/// Prints the decisions about one request, from every VM that has some.
pub async fn explain(options: ExplainOptions) -> anyhow::Result<()> {
    let path = format!("/v1/explain/{}", options.request_id);
    let mut found = false;
    for address in &options.operators.operator_address {
        let (status, body) = http::fetch(&Call::get(*address, &path, TIMEOUT), TIMEOUT).await?;
        if !status.is_success() {
            continue;
        }
        let decisions: Vec<Decision> = parse(&body)?;
        found |= !decisions.is_empty();
        if options.operators.json && !decisions.is_empty() {
            println!("{}", serde_json::to_string(&decisions)?);
        } else {
            print_lines(&decisions);
        }
    }
    if !found {
        bail!(
            "no VM asked has a record of {}; records are bounded and are lost with their VM",
            options.request_id
        );
    }
    Ok(())
}

/// Prints recent decisions.
pub async fn decisions(options: DecisionsOptions) -> anyhow::Result<()> {
    let mut after = 0;
    loop {
        let path = format!("/v1/decisions?after={after}");
        let call = Call::get(options.operator_address, &path, TIMEOUT);
        let (status, body) = http::fetch(&call, TIMEOUT).await?;
        if !status.is_success() {
            bail!("{} answered {status}", options.operator_address);
        }
        let decisions = parse(&body)?;
        print_lines(&decisions);
        after = decisions.last().map_or(after, |line| line.sequence);
        if !options.follow {
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

fn parse(body: &[u8]) -> anyhow::Result<Vec<Decision>> {
    serde_json::from_slice(body).context("the answer is not a list of decisions")
}

fn print_lines(decisions: &[Decision]) {
    for line in decisions {
        let at = UNIX_EPOCH + Duration::from_millis(line.at_unix_ms);
        let values = line.values.iter().filter(|(key, _)| key != "decision");
        let values: Vec<String> = values
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let at = humantime::format_rfc3339_millis(at);
        println!("{at} {} {}", line.message, values.join(" "));
    }
}
