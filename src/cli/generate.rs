//! Generates shell completions and the manual page from the declarations that `--help` uses.

use std::io::stdout;

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::cli::Arguments;

/// Options of `primrosewalk completions`.
#[derive(Debug, Args)]
pub struct CompletionsOptions {
    /// Shell to generate completions for.
    shell: Shell,
}

/// Writes completions for a shell to standard output.
pub fn completions(options: &CompletionsOptions) -> anyhow::Result<()> {
    let mut command = Arguments::command();
    clap_complete::generate(options.shell, &mut command, "primrosewalk", &mut stdout());
    Ok(())
}

/// Writes the manual page to standard output.
pub fn man() -> anyhow::Result<()> {
    clap_mangen::Man::new(Arguments::command()).render(&mut stdout())?;
    Ok(())
}
