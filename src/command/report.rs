//! `explain` and `report burn`: reports from logs.

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use nickellead_report::{BurnSettings, LogLine, explain_request, read_lines, report_burn};

use super::{EXIT_USAGE, fail, print_line};

/// Default windows: five minutes, one hour and six hours, as usual for multi-window burn-rate alerts.
const WINDOWS_S: [f64; 3] = [300.0, 3_600.0, 21_600.0];
/// Default fraction of requests that must succeed.
const OBJECTIVE: f64 = 0.99;

/// show the events of one request and the cause of its outcome, from the logs of all VMs
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct ExplainCommand {
    /// id of the request
    #[argh(positional)]
    id: String,
    /// log files, with the VM's name at the start of each line if several VMs wrote them; default is
    /// standard input
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl ExplainCommand {
    pub(super) fn run(self) -> ExitCode {
        let lines = match read_logs(&self.logs) {
            Ok(lines) => lines,
            Err(message) => return fail(EXIT_USAGE, &message),
        };
        let explanation = explain_request(&self.id, &lines);
        print_line(explanation.to_string().trim_end());
        if explanation.cause.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
    }
}

/// create a report from logs
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(super) struct ReportCommand {
    #[argh(subcommand)]
    kind: ReportKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ReportKind {
    Burn(BurnCommand),
}

/// show for each route how fast it consumes its error budget
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
struct BurnCommand {
    /// fraction of requests that must succeed (default 0.99)
    #[argh(option, default = "OBJECTIVE")]
    objective: f64,
    /// duration of a window in seconds; repeatable (default 300, 3600, 21600)
    #[argh(option, long = "window-s")]
    windows_s: Vec<f64>,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// log files; default is standard input
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl ReportCommand {
    pub(super) fn run(self) -> ExitCode {
        match self.kind {
            ReportKind::Burn(command) => command.run(),
        }
    }
}

impl BurnCommand {
    fn run(self) -> ExitCode {
        if !(self.objective > 0.0 && self.objective < 1.0) {
            return fail(EXIT_USAGE, &"--objective must be above 0 and below 1");
        }
        if self.windows_s.iter().any(|window| !window.is_finite() || *window <= 0.0) {
            return fail(EXIT_USAGE, &"--window-s must be above 0");
        }
        let lines = match read_logs(&self.logs) {
            Ok(lines) => lines,
            Err(message) => return fail(EXIT_USAGE, &message),
        };
        let windows_s = match self.windows_s.is_empty() {
            true => WINDOWS_S.to_vec(),
            false => self.windows_s,
        };
        let report = report_burn(&lines, &BurnSettings { objective: self.objective, windows_s });
        let text = match self.json {
            true => serde_json::to_string_pretty(&report).map_err(|error| error.to_string()),
            false => Ok(report.to_string()),
        };
        match text {
            Ok(text) => print_line(text.trim_end()),
            Err(message) => return fail(1, &message),
        }
        ExitCode::SUCCESS
    }
}

/// Reads the files, or standard input if none is given.
fn read_logs(paths: &[PathBuf]) -> Result<Vec<LogLine>, String> {
    let mut texts = Vec::new();
    for path in paths {
        let bytes = std::fs::read(path);
        let bytes = bytes.map_err(|error| format!("failed to read {}: {error}", path.display()))?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|error| format!("failed to read standard input: {error}"))?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    Ok(read_lines(texts.iter().map(String::as_str)))
}
