//! The paths from some VMs to all targets, which can be cut for each of these VMs alone.
//!
//! All VMs know the targets by the same addresses, since they tell each other the list of targets. A
//! library that is loaded into the process of a VM sends its connections to links of its own instead.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::{FaultLink, LinkFault, LinkHost, SoakError};

/// Source of the library, which the C compiler builds that links Rust programs as well.
const LIBRARY_SOURCE: &str = include_str!("redirect.c");
/// Variable with the path of the file of ports that the library reads.
const PORTS_VARIABLE: &str = "NICKELLEAD_REDIRECTS";
/// Variable with the libraries that the loader adds to a program.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
/// Bytes of one port in the file, and of the whole file.
const PORT_BYTES: u64 = 2;
const FILE_BYTES: u64 = PORT_BYTES << u16::BITS;
/// Connections that fill the queue of a listener that accepts none.
const FILLERS: usize = 4;
const FILLER_TIMEOUT: Duration = Duration::from_millis(50);

/// How a VM is cut off from all targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCut {
    /// Connections are reset, and new ones are refused.
    Reset,
    /// New connections are refused, and all others go on.
    RefuseNew,
    /// Connections transmit nothing, and new ones hang.
    Silent,
    /// Nothing arrives at targets, and new connections hang.
    ToTargets,
    /// Nothing comes back from targets, and new connections hang.
    FromTargets,
    /// Each chunk is late by this many milliseconds.
    Late(u64),
}

impl TargetCut {
    /// What happens to connections that are open.
    const fn link_fault(self) -> LinkFault {
        match self {
            Self::Reset => LinkFault::Reset,
            Self::RefuseNew => LinkFault::None,
            Self::Silent => LinkFault::Silent,
            Self::ToTargets => LinkFault::CutToTarget,
            Self::FromTargets => LinkFault::CutFromTarget,
            Self::Late(millis) => LinkFault::Delay(millis),
        }
    }
}

/// Two ports at which no connection can be opened.
struct DeadPorts {
    refusing: Socket,
    silent: Socket,
    _fillers: Vec<TcpStream>,
}

impl DeadPorts {
    fn open() -> Result<Self, SoakError> {
        let (refusing, silent) = (bound_socket()?, bound_socket()?);
        silent.listen(0).map_err(SoakError::system("a port"))?;
        let address = address_of(&silent)?;
        let filler = |_| TcpStream::connect_timeout(&address, FILLER_TIMEOUT).ok();
        let fillers = (0..FILLERS).filter_map(filler).collect();
        Ok(Self { refusing, silent, _fillers: fillers })
    }

    /// Where new connections of a VM with this cut end; `None` if they reach targets.
    fn port(&self, cut: TargetCut) -> Result<Option<u16>, SoakError> {
        let socket = match cut {
            TargetCut::Reset | TargetCut::RefuseNew => &self.refusing,
            TargetCut::Silent | TargetCut::ToTargets | TargetCut::FromTargets => &self.silent,
            TargetCut::Late(_) => return Ok(None),
        };
        Ok(Some(address_of(socket)?.port()))
    }
}

fn bound_socket() -> Result<Socket, SoakError> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None);
    let socket = socket.map_err(SoakError::system("a socket"))?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).map_err(SoakError::system("a port"))?;
    Ok(socket)
}

fn address_of(socket: &Socket) -> Result<SocketAddr, SoakError> {
    let address = socket.local_addr().map_err(SoakError::system("a socket"))?;
    address.as_socket().ok_or_else(|| SoakError::NotReached("an address of a socket".to_owned()))
}

/// The paths of one VM.
struct VmPaths {
    ports_path: PathBuf,
    ports: File,
    /// A link to each target, by the target's port.
    links: BTreeMap<u16, FaultLink>,
}

impl VmPaths {
    fn open(
        ports_path: PathBuf,
        targets: &[SocketAddr],
        host: &LinkHost,
    ) -> Result<Self, SoakError> {
        let ports = File::create(&ports_path).map_err(SoakError::system("a file of ports"))?;
        ports.set_len(FILE_BYTES).map_err(SoakError::system("a file of ports"))?;
        let links = targets.iter().map(|target| Ok((target.port(), host.open(*target)?)));
        let links = links.collect::<Result<_, SoakError>>()?;
        let paths = Self { ports_path, ports, links };
        paths.redirect(None)?;
        Ok(paths)
    }

    /// Sends new connections to links, or all of them to `dead`.
    fn redirect(&self, dead: Option<u16>) -> Result<(), SoakError> {
        for (target, link) in &self.links {
            let port = dead.unwrap_or(link.address.port()).to_ne_bytes();
            let written = self.ports.write_all_at(&port, u64::from(*target) * PORT_BYTES);
            written.map_err(SoakError::system("a file of ports"))?;
        }
        Ok(())
    }
}

/// The paths of all VMs that can be cut off.
pub(super) struct TargetPaths {
    library: PathBuf,
    dead: DeadPorts,
    vms: BTreeMap<usize, VmPaths>,
}

impl TargetPaths {
    /// Opens paths from each of these VMs to each target.
    pub(super) fn open(
        folder: &Path,
        vms: impl Iterator<Item = usize>,
        targets: &[SocketAddr],
        host: &LinkHost,
    ) -> Result<Self, SoakError> {
        let open = |vm| {
            let path = folder.join(format!("vm-{vm}.ports"));
            Ok((vm, VmPaths::open(path, targets, host)?))
        };
        let vms = vms.map(open).collect::<Result<_, SoakError>>()?;
        Ok(Self { library: build_library(folder)?, dead: DeadPorts::open()?, vms })
    }

    /// Variables with which a VM is started.
    pub(super) fn variables(&self, vm: usize) -> Vec<(&'static str, PathBuf)> {
        let variables = |paths: &VmPaths| {
            let ports = (PORTS_VARIABLE, paths.ports_path.clone());
            vec![(PRELOAD_VARIABLE, self.library.clone()), ports]
        };
        self.vms.get(&vm).map(variables).unwrap_or_default()
    }

    /// Cuts a VM off from all targets, or ends it.
    pub(super) fn set_cut(&self, vm: usize, cut: Option<TargetCut>) -> Result<(), SoakError> {
        let Some(paths) = self.vms.get(&vm) else { return Ok(()) };
        let dead = match cut {
            Some(cut) => self.dead.port(cut)?,
            None => None,
        };
        paths.redirect(dead)?;
        let fault = cut.map_or(LinkFault::None, TargetCut::link_fault);
        paths.links.values().for_each(|link| link.set(fault));
        Ok(())
    }
}

/// Builds the library.
fn build_library(folder: &Path) -> Result<PathBuf, SoakError> {
    let (source, library) = (folder.join("redirect.c"), folder.join("redirect.so"));
    std::fs::write(&source, LIBRARY_SOURCE).map_err(SoakError::system("a source file"))?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source);
    let status = compiler.status().map_err(SoakError::system("the C compiler"))?;
    match status.success() {
        true => Ok(library),
        false => Err(SoakError::NotReached("the library of redirects is built".to_owned())),
    }
}
