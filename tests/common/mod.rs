//! Helpers for tests that run the program as processes, which are killed when dropped.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod crowd;
pub mod fleet;
pub mod http2_caller;
pub mod process_limits;
pub mod raw_http2;
pub mod small_vm;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum time to wait for an event, so that a test fails instead of hanging.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Environment variable that makes tests print the events of all processes.
const SHOW_EVENTS_VARIABLE: &str = "NICKELLEAD_SHOW_EVENTS";

/// Held while a port is probed and while a process is started.
///
/// Between fork and exec, a child holds a copy of every open socket. Without the lock
/// it may keep the listener of a probe open, so that the probed port is still in use.
static SPAWN_OR_PROBE: Mutex<()> = Mutex::new(());

/// Starts a command while no port is being probed.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_OR_PROBE.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// Process of the program; its events are read from standard error.
pub struct Process {
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts the program and a thread that reads its events.
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
        command.args(arguments).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = spawn(&mut command);
        let errors = BufReader::new(child.stderr.take().unwrap());
        let (sender, lines) = channel();
        let is_shown = std::env::var_os(SHOW_EVENTS_VARIABLE).is_some();
        let id = child.id();
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                if is_shown {
                    eprintln!("process={id} {line}");
                }
                // Fails if the test has ended.
                let _ = sender.send(line);
            }
        });
        Self { child, lines }
    }

    /// Reads events until one contains all words; panics if the process ends first or on timeout.
    pub fn wait_for(&mut self, words: &[&str]) -> String {
        let mut seen = String::new();
        loop {
            let line = match self.lines.recv_timeout(EVENT_TIMEOUT) {
                Ok(line) => line,
                Err(error) => panic!("no event with {words:?} ({error}); events so far:\n{seen}"),
            };
            if words.iter().all(|word| line.contains(word)) {
                return line;
            }
            seen.push_str(&line);
            seen.push('\n');
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal given by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let mut command = Command::new("kill");
        command.args(["-s", name, &self.id().to_string()]);
        assert!(spawn(&mut command).wait().unwrap().success());
    }

    /// Waits for the exit; returns `None` if a signal ended the process.
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

/// Runs a command of the program; returns its exit code, standard output and standard error.
pub fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let output = spawn(&mut command).wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Returns an unused loopback address, each at most once.
pub fn free_address() -> SocketAddr {
    let _guard = SPAWN_OR_PROBE.lock().unwrap_or_else(PoisonError::into_inner);
    nickellead_soak::free_address().unwrap()
}

/// Reads one response with a content length from a keep-alive connection.
pub fn read_response(stream: &mut TcpStream) -> String {
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

/// Writes a file to the folder of this test process and returns its path.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Sends a raw request and returns everything received until the peer closes the connection.
pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// Sends one request without a body on a new connection and returns the response.
pub fn request(address: SocketAddr, method: &str, path: &str) -> String {
    exchange(
        address,
        &format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n"),
    )
}
