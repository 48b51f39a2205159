//! Options shared by the commands that ask several VMs.

use std::net::SocketAddr;

use clap::Args;

/// Which VMs to ask and how to print their answers.
#[derive(Debug, Args)]
pub struct OperatorOptions {
    /// Operator addresses of the VMs to ask, separated by commas.
    #[arg(
        long,
        required = true,
        env = "PRIMROSEWALK_OPERATOR_ADDRESS",
        value_delimiter = ','
    )]
    pub operator_address: Vec<SocketAddr>,
    /// Print the answers as JSON.
    #[arg(long)]
    pub json: bool,
}
