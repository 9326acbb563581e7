//! The `nickellead` command-line program.

mod command;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    let code = command::run(argh::from_env());
    log::logger().flush();
    code
}
