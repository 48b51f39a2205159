//! Shell completions and the manual page, from the same declarations as `--help`.

use std::io::stdout;

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::cli::Arguments;

/// Options of `primrosewalk completions`.
#[derive(Debug, Args)]
pub struct CompletionsOptions {
    /// The shell to write for.
    shell: Shell,
}

/// Writes completions.
pub fn completions(options: &CompletionsOptions) -> anyhow::Result<()> {
    let mut command = Arguments::command();
    clap_complete::generate(options.shell, &mut command, "primrosewalk", &mut stdout());
    Ok(())
}

/// Writes the manual page.
pub fn man() -> anyhow::Result<()> {
    clap_mangen::Man::new(Arguments::command()).render(&mut stdout())?;
    Ok(())
}
