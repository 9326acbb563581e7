//! Processes that run side by side get different addresses.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::process::Command;

use nickellead_ports::free_address;

/// Set in the processes that the test starts: how many addresses they print.
const COUNT: &str = "NICKELLEAD_PORTS_TO_PRINT";
const PROCESSES: usize = 4;
/// More than the ports of one block.
const ADDRESSES: usize = 120;

/// Prints addresses and keeps them until the end of its input.
#[test]
fn print_addresses() {
    let Ok(count) = std::env::var(COUNT) else { return };
    for _ in 0..count.parse().unwrap() {
        eprintln!("address {}", free_address().unwrap());
    }
    eprintln!("all");
    let _ = std::io::read_to_string(std::io::stdin());
}

/// Guards tests side by side against a VM that can't listen because another test has its port.
#[test]
fn processes_side_by_side_get_different_addresses() {
    use std::io::{BufRead, BufReader};
    let start = |_| {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", "print_addresses", "--nocapture"]);
        command.env(COUNT, ADDRESSES.to_string());
        command.stdin(std::process::Stdio::piped()).stderr(std::process::Stdio::piped());
        command.stdout(std::process::Stdio::null()).spawn().unwrap()
    };
    let mut children: Vec<_> = (0..PROCESSES).map(start).collect();
    let mut addresses = BTreeSet::new();
    for child in &mut children {
        let lines = BufReader::new(child.stderr.take().unwrap()).lines().map(Result::unwrap);
        let lines = lines.take_while(|line| line != "all");
        addresses.extend(lines.filter(|line| line.starts_with("address ")));
    }
    for mut child in children {
        drop(child.stdin.take());
        child.wait().unwrap();
    }
    assert_eq!(addresses.len(), PROCESSES * ADDRESSES);
}
