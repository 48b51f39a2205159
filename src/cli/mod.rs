//! Subcommands of the command-line tool `primrosewalk`.

mod check;
mod decisions;
mod generate;
mod operators;
mod send;
mod sse;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::load::{self, LoadOptions};

/// Sends requests to a primrosewalk fleet, shows its state and checks manifests.
#[derive(Debug, Parser)]
#[command(name = "primrosewalk", version, propagate_version = true)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Send one request and print its answer.
    Send(send::SendOptions),
    /// Show VMs, endpoints, organisations and the versions in force.
    Status(status::StatusOptions),
    /// Validate the parts of a manifest and report every finding.
    Check(check::CheckOptions),
    /// Show the decisions that VMs made about a request, and their reasons.
    Explain(decisions::ExplainOptions),
    /// Show the recent decisions of a VM and, with --follow, new ones.
    Decisions(decisions::DecisionsOptions),
    /// Send the requests of a scenario to running daemons and report what callers got.
    Load(LoadOptions),
    /// Write completions for a shell to standard output.
    Completions(generate::CompletionsOptions),
    /// Write the manual page to standard output.
    Man,
}

/// Runs the subcommand. The exit code is 0 on success and 1 if the request was refused or the
/// command failed; clap exits with 2 on wrong usage.
pub fn run(arguments: Arguments) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(arguments.command)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Send(options) => send::send(options).await,
        Command::Status(options) => status::status(options).await,
        Command::Check(options) => check::check(&options),
        Command::Explain(options) => decisions::explain(options).await,
        Command::Decisions(options) => decisions::decisions(options).await,
        Command::Load(options) => {
            print!("{}", load::run(options).await?);
            Ok(())
        }
        Command::Completions(options) => generate::completions(&options),
        Command::Man => generate::man(),
    }
}
