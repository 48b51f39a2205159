//! `primrosewalk explain` and `primrosewalk decisions`: what a VM decided and why.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, bail};
use clap::Args;
use serde_json::Value;

use crate::http::{self, Call};
use crate::units::RequestId;

const TIMEOUT: Duration = Duration::from_secs(3);
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Options of `primrosewalk explain`.
#[derive(Debug, Args)]
pub struct ExplainOptions {
    /// The request's id, as given in its answer.
    request_id: RequestId,
    /// Operator addresses of the VMs to ask; the record is kept by each VM that took part.
    #[arg(
        long,
        required = true,
        env = "PRIMROSEWALK_OPERATOR_ADDRESS",
        value_delimiter = ','
    )]
    operator_address: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
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
    for address in &options.operator_address {
        let (status, body) = http::fetch(&Call::get(*address, &path, TIMEOUT), TIMEOUT).await?;
        if !status.is_success() {
            continue;
        }
        found = true;
        let answer: Value = serde_json::from_slice(&body)?;
        if options.json {
            println!("{answer}");
        } else {
            print_lines(&answer);
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
        let answer: Value = serde_json::from_slice(&body).context("the answer is not JSON")?;
        after = print_lines(&answer).unwrap_or(after);
        if !options.follow {
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

/// Prints the lines and returns the sequence of the last one.
fn print_lines(answer: &Value) -> Option<u64> {
    let lines = answer["decisions"].as_array()?;
    for line in lines {
        println!(
            "{:>12} {}",
            line["at_micros"],
            line["text"].as_str().unwrap_or_default()
        );
    }
    lines.last()?["sequence"].as_u64()
}
