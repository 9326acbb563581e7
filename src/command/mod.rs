//! Command line: one module for each family of subcommands.

mod gateway;
mod report;
mod resources;
mod run;
mod standin;
mod trial;

use std::process::ExitCode;

use argh::FromArgs;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

/// nickellead: a router for servers that own keys exclusively.
#[derive(FromArgs)]
pub struct TopCommand {
    #[argh(subcommand)]
    command: SubCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SubCommand {
    Run(run::RunCommand),
    Check(run::CheckCommand),
    Gateway(gateway::GatewayCommand),
    Get(resources::GetCommand),
    Apply(resources::ApplyCommand),
    Delete(resources::DeleteCommand),
    Watch(resources::WatchCommand),
    Standin(standin::StandinCommand),
    Try(trial::TryCommand),
    Explain(report::ExplainCommand),
    Report(report::ReportCommand),
}

/// Runs the selected subcommand and returns its exit code.
pub fn run(command: TopCommand) -> ExitCode {
    match command.command {
        SubCommand::Run(command) => command.run(),
        SubCommand::Check(command) => command.run(),
        SubCommand::Gateway(command) => command.run(),
        SubCommand::Get(command) => command.run(),
        SubCommand::Apply(command) => command.run(),
        SubCommand::Delete(command) => command.run(),
        SubCommand::Watch(command) => command.run(),
        SubCommand::Standin(command) => command.run(),
        SubCommand::Try(command) => command.run(),
        SubCommand::Explain(command) => command.run(),
        SubCommand::Report(command) => command.run(),
    }
}

/// Prints an error to standard error and returns `code` as the exit code.
fn fail(code: u8, message: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("nickellead: {message}");
    ExitCode::from(code)
}

/// Prints one line of a command's result; ignores write errors, such as a closed pipe.
fn print_line(line: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{line}");
}
