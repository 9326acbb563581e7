//! Injects faults into the processes, links and platform of a fleet, and ends them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rustix::process::Signal;

use super::SoakFleet;
use crate::{Fault, LinkFault, SoakError, SoakProcess};

/// Timeout of a planned stop, longer than the stop limit of the VM itself.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Read timeout of the admin interface of the platform's stand-in.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

impl SoakFleet {
    /// Starts a fault.
    ///
    /// # Errors
    /// A [`SoakError`] if a file, a command or a call to the platform's stand-in fails.
    pub fn start_fault(&mut self, fault: Fault) -> Result<(), SoakError> {
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
            Fault::PlatformDown => self.set_platform_faults(r#"{"down": true}"#)?,
            Fault::PlatformSlow(millis) => {
                self.set_platform_faults(&format!(r#"{{"slow_ms": {millis}}}"#))?;
            }
            Fault::PlatformLoses(per_mille) => {
                self.set_platform_faults(&format!(r#"{{"lost_answers": {per_mille}}}"#))?;
            }
            Fault::DrainTarget(target) => {
                // While the platform is unavailable no VM accepts this, and the fault has no effect.
                self.declare_target(target, "draining")?;
            }
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// A [`SoakError`] if a file, a process or a call to the platform's stand-in fails, or if a VM
    /// does not stop in time.
    pub fn end_fault(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::KillVm(vm) => self.restart_vm(vm)?,
            Fault::PauseVm(vm) => signal(self.vms[vm].process.as_ref(), Signal::CONT),
            Fault::StopVm(vm) => {
                self.finish_stop(vm)?;
                self.restart_vm(vm)?;
            }
            Fault::KillTarget(target) if self.targets[target].process.is_none() => {
                self.start_target(target)?;
            }
            // The end of another fault has restarted it.
            Fault::KillTarget(_) => {}
            Fault::PauseTarget(target) => {
                signal(self.targets[target].process.as_ref(), Signal::CONT)
            }
            Fault::PlatformLink(vm, _) => self.vms[vm].platform.set(LinkFault::None),
            Fault::PeerLink(vm, _) => self.vms[vm].peers.set(LinkFault::None),
            Fault::TargetLink(target, _) => self.targets[target].link.set(LinkFault::None),
            Fault::PlatformDown | Fault::PlatformSlow(_) | Fault::PlatformLoses(_) => {
                self.set_platform_faults("{}")?;
            }
            Fault::DrainTarget(target) => {
                self.declare_target(target, "active")?;
            }
        }
        Ok(())
    }

    /// Waits for the exit of a stopping VM, and resumes it first if another fault has paused it.
    fn finish_stop(&mut self, number: usize) -> Result<(), SoakError> {
        if !self.vms[number].stopping {
            // Another fault has killed and restarted it.
            return Ok(());
        }
        let Some(mut process) = self.vms[number].process.take() else { return Ok(()) };
        process.signal(Signal::CONT);
        match process.wait_exit(STOP_TIMEOUT) {
            Some(_) => Ok(()),
            None => Err(SoakError::NotReached(format!("vm-{number} stopped in time"))),
        }
    }

    /// Restarts a VM unless the end of another fault has done so.
    fn restart_vm(&mut self, number: usize) -> Result<(), SoakError> {
        match self.vms[number].process {
            Some(_) => Ok(()),
            None => self.start_vm(number),
        }
    }

    /// Replaces the faults of the platform's stand-in.
    fn set_platform_faults(&self, faults: &str) -> Result<(), SoakError> {
        let request = format!(
            "POST /admin/faults HTTP/1.1\r\nhost: soak\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{faults}",
            faults.len()
        );
        let response = exchange(self.platform_address, &request);
        response.map(drop).map_err(SoakError::system("a call to the platform's stand-in"))
    }
}

/// Sends a signal to a process if it runs.
fn signal(process: Option<&SoakProcess>, signal: Signal) {
    if let Some(process) = process {
        process.signal(signal);
    }
}

/// Sends one request on a new connection and returns the response.
fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
