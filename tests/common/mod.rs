//! Processes of the program under test, ended when dropped.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod fleet;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How long an event is waited for before a test fails instead of hanging.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Names the environment variable that makes tests print the events of all processes.
const SHOW_EVENTS: &str = "NICKELLEAD_SHOW_EVENTS";

/// Held while a port is probed and while a process is started.
///
/// A child that has been forked but not yet replaced by its program holds a copy
/// of every open socket. Without the lock it may hold the probe's listener a
/// moment longer than the probe, and the port that was found free is in use.
static SPAWN_OR_PROBE: Mutex<()> = Mutex::new(());

/// Starts a command while no port is being probed.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_OR_PROBE.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// One process, whose events are read from standard error.
pub struct Process {
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts the program with these arguments.
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
        command.args(arguments).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = spawn(&mut command);
        let errors = BufReader::new(child.stderr.take().unwrap());
        let (sender, lines) = channel();
        let shown = std::env::var_os(SHOW_EVENTS).is_some();
        let id = child.id();
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                if shown {
                    eprintln!("process={id} {line}");
                }
                // The test may have ended.
                let _ = sender.send(line);
            }
        });
        Self { child, lines }
    }

    /// Reads events until one holds all the words; panics when the process ends before.
    pub fn wait_for(&mut self, words: &[&str]) -> String {
        let mut seen = String::new();
        loop {
            let line = match self.lines.recv_timeout(EVENT_TIMEOUT) {
                Ok(line) => line,
                Err(error) => panic!("no {words:?} ({error}); it said:\n{seen}"),
            };
            if words.iter().all(|word| line.contains(word)) {
                return line;
            }
            seen.push_str(&line);
            seen.push('\n');
        }
    }

    /// Number of the process, for signals.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let mut command = Command::new("kill");
        command.args(["-s", name, &self.id().to_string()]);
        assert!(spawn(&mut command).wait().unwrap().success());
    }

    /// Waits for the end and returns the exit code.
    pub fn exit_code(mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a command of the program to its end: exit code, standard output, standard error.
pub fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let output = spawn(&mut command).wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// An address on the loopback that nobody listens on, given out once.
pub fn free_address() -> SocketAddr {
    let _guard = SPAWN_OR_PROBE.lock().unwrap_or_else(PoisonError::into_inner);
    nickellead_soak::free_address().unwrap()
}

/// Reads one answer with a length from a connection that stays open.
pub fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok()
            });
            if length.is_some_and(|length: usize| body.len() >= length) {
                return text;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return text,
            Ok(read) => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
        }
    }
}

/// A file in a folder of this test process's own.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Sends raw bytes and returns all that comes back until the other side closes.
pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// One request with no body, on a connection of its own.
pub fn request(address: SocketAddr, method: &str, path: &str) -> String {
    exchange(
        address,
        &format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n"),
    )
}
