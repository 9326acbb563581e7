//! How a fleet's processes, links and platform are disturbed and mended.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rustix::process::Signal;

use super::SoakFleet;
use crate::{Fault, LinkFault, SoakError, SoakProcess};

/// How long a planned stop may take: the program's own limit is shorter.
const STOP_MOST: Duration = Duration::from_secs(20);
/// How long an answer of the platform's stand-in may take.
const ADMIN_MOST: Duration = Duration::from_secs(5);

impl SoakFleet {
    /// Begins a fault.
    ///
    /// # Errors
    /// The system's refusal of a file or process.
    pub fn begin(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::KillVm(vm) => self.vms[vm].process = None,
            Fault::PauseVm(vm) => signal(self.vms[vm].process.as_ref(), Signal::STOP),
            Fault::StopVm(vm) => {
                signal(self.vms[vm].process.as_ref(), Signal::TERM);
                self.vms[vm].stopping = true;
            }
            Fault::KillTarget(target) => self.targets[target].process = None,
            Fault::PauseTarget(target) => {
                signal(self.targets[target].process.as_ref(), Signal::STOP)
            }
            Fault::PlatformLink(vm, fault) => self.vms[vm].platform.set(fault),
            Fault::PeerLink(vm, fault) => self.vms[vm].peers.set(fault),
            Fault::TargetLink(target, fault) => self.targets[target].link.set(fault),
            Fault::PlatformDown => self.set_platform(r#"{"down": true}"#)?,
            Fault::PlatformSlow(millis) => {
                self.set_platform(&format!(r#"{{"slow_ms": {millis}}}"#))?;
            }
            Fault::PlatformLoses(part) => {
                self.set_platform(&format!(r#"{{"lost_answers": {part}}}"#))?;
            }
            Fault::DrainTarget(target) => {
                // While the platform is away nobody accepts it, and nothing is disturbed.
                self.declare_target(target, "draining")?;
            }
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// The system's refusal of a file or process, or a VM that did not stop as told.
    pub fn end(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::KillVm(vm) => self.return_vm(vm)?,
            Fault::PauseVm(vm) => signal(self.vms[vm].process.as_ref(), Signal::CONT),
            Fault::StopVm(vm) => {
                self.finish_stop(vm)?;
                self.return_vm(vm)?;
            }
            Fault::KillTarget(target) if self.targets[target].process.is_none() => {
                self.start_target(target)?;
            }
            // Started again by the end of another fault.
            Fault::KillTarget(_) => {}
            Fault::PauseTarget(target) => {
                signal(self.targets[target].process.as_ref(), Signal::CONT)
            }
            Fault::PlatformLink(vm, _) => self.vms[vm].platform.set(LinkFault::None),
            Fault::PeerLink(vm, _) => self.vms[vm].peers.set(LinkFault::None),
            Fault::TargetLink(target, _) => self.targets[target].link.set(LinkFault::None),
            Fault::PlatformDown | Fault::PlatformSlow(_) | Fault::PlatformLoses(_) => {
                self.set_platform("{}")?;
            }
            Fault::DrainTarget(target) => {
                self.declare_target(target, "active")?;
            }
        }
        Ok(())
    }

    /// Waits for a VM that was told to stop; one that stood still meanwhile is woken.
    fn finish_stop(&mut self, number: usize) -> Result<(), SoakError> {
        if !self.vms[number].stopping {
            // Killed meanwhile by another fault, and started again.
            return Ok(());
        }
        let Some(mut process) = self.vms[number].process.take() else { return Ok(()) };
        process.signal(Signal::CONT);
        match process.wait_exit(STOP_MOST) {
            Some(_) => Ok(()),
            None => Err(SoakError::NotReached(format!("vm-{number} stopped as told"))),
        }
    }

    /// Starts a VM again, unless the end of another fault did.
    fn return_vm(&mut self, number: usize) -> Result<(), SoakError> {
        match self.vms[number].process {
            Some(_) => Ok(()),
            None => self.start_vm(number),
        }
    }

    /// Changes how the platform misbehaves.
    fn set_platform(&self, faults: &str) -> Result<(), SoakError> {
        let request = format!(
            "POST /admin/faults HTTP/1.1\r\nhost: soak\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{faults}",
            faults.len()
        );
        let answer = exchange(self.platform_address, &request);
        answer.map(drop).map_err(SoakError::system("a call of the platform's stand-in"))
    }
}

/// Signals a process, if it is there.
fn signal(process: Option<&SoakProcess>, signal: Signal) {
    if let Some(process) = process {
        process.signal(signal);
    }
}

/// One request on a connection of its own.
fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ADMIN_MOST))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
