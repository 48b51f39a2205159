//! `primrosewalk status`: the state of one or more VMs as tables or JSON.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::bail;
use clap::Args;
use serde_json::Value;

use crate::http::{self, Call};

const TIMEOUT: Duration = Duration::from_secs(3);

/// Options of `primrosewalk status`.
#[derive(Debug, Args)]
pub struct StatusOptions {
    /// Operator addresses of the VMs to ask.
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

/// Prints the state of each VM; fails when one could not be asked.
pub async fn status(options: StatusOptions) -> anyhow::Result<()> {
    let mut unreachable = 0;
    for address in &options.operator_address {
        let call = Call::get(*address, "/v1/status", TIMEOUT);
        match http::fetch(&call, TIMEOUT).await {
            Ok((_, body)) => {
                let answer: Value = serde_json::from_slice(&body)?;
                println!("{answer}");
            }
            Err(error) => {
                unreachable += 1;
                eprintln!("{address}: {error:#}");
            }
        }
    }
    if unreachable > 0 {
        bail!("{unreachable} VMs could not be asked");
    }
    Ok(())
}
