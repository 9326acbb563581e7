//! A loopback proxy in front of a target, through which the path of some VMs can be cut.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

use super::free_address;

const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Connections that may wait to be accepted while the link is not cut.
const BACKLOG: i32 = 128;
/// Connection attempts that fill the queue of a listener that accepts none.
const FILLERS: usize = 4;
const FILLER_TIMEOUT: Duration = Duration::from_millis(50);

/// What happens to connections while a link is cut. New ones always fail, for all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutManner {
    /// New ones hang, and those opened before [`TargetLink::mark`] transmit nothing.
    Silent,
    /// New ones are refused, and those opened before [`TargetLink::mark`] are reset.
    Reset,
    /// New ones are refused, and all others go on.
    RefuseNew,
}

/// One connection through the link.
struct LinkConnection {
    stream: TcpStream,
    frozen: Arc<AtomicBool>,
}

#[derive(Default)]
struct LinkState {
    cut: Mutex<Option<CutManner>>,
    /// Connections in the order in which they were opened.
    connections: Mutex<Vec<LinkConnection>>,
    /// Number of connections that a cut may concern.
    marked: AtomicUsize,
}

/// A proxy from a listening address to a target.
pub struct TargetLink {
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

impl TargetLink {
    pub fn open(target: SocketAddr) -> Self {
        let address = free_address();
        let state = Arc::<LinkState>::default();
        let (listener, shared) = (listen(address), Arc::clone(&state));
        std::thread::spawn(move || run(listener, address, target, &shared));
        Self { address, state }
    }

    /// Connections opened so far are those of the VM that a cut concerns.
    pub fn mark(&self) {
        self.state.marked.store(self.opened(), Ordering::Relaxed);
    }

    /// Number of connections opened so far.
    pub fn opened(&self) -> usize {
        self.state.connections.lock().unwrap().len()
    }

    pub fn cut(&self, manner: CutManner) {
        *self.state.cut.lock().unwrap() = Some(manner);
        let connections = self.state.connections.lock().unwrap();
        for connection in connections.iter().take(self.state.marked.load(Ordering::Relaxed)) {
            match manner {
                CutManner::Silent => connection.frozen.store(true, Ordering::Relaxed),
                CutManner::Reset => {
                    SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO)).unwrap();
                    let _ = connection.stream.shutdown(Shutdown::Both);
                }
                CutManner::RefuseNew => {}
            }
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        *self.state.cut.lock().unwrap() = None;
        for connection in self.state.connections.lock().unwrap().iter() {
            connection.frozen.store(false, Ordering::Relaxed);
        }
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(BACKLOG).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.into()
}

/// Accepts connections, except while the link is cut.
fn run(listener: TcpListener, address: SocketAddr, target: SocketAddr, state: &LinkState) {
    let mut listener = Some(listener);
    let mut fillers = Vec::new();
    loop {
        let cut = *state.cut.lock().unwrap();
        match (cut, &listener) {
            (Some(CutManner::Silent), Some(open)) => {
                if fillers.is_empty() {
                    SockRef::from(open).listen(0).unwrap();
                    let filler = |_| TcpStream::connect_timeout(&address, FILLER_TIMEOUT).ok();
                    fillers.extend((0..FILLERS).filter_map(filler));
                }
            }
            (Some(CutManner::Reset | CutManner::RefuseNew), Some(_)) => listener = None,
            (Some(_), None) => {}
            (None, None) => listener = Some(listen(address)),
            (None, Some(open)) => {
                if !fillers.is_empty() {
                    SockRef::from(open).listen(BACKLOG).unwrap();
                    fillers.clear();
                }
                accept(open, target, state);
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Accepts all connections that wait.
fn accept(listener: &TcpListener, target: SocketAddr, state: &LinkState) {
    while let Ok((stream, _)) = listener.accept() {
        let Ok(to_target) = TcpStream::connect(target) else { continue };
        stream.set_nonblocking(false).unwrap();
        let frozen = Arc::new(AtomicBool::new(false));
        for (from, to) in [(&stream, &to_target), (&to_target, &stream)] {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let frozen = Arc::clone(&frozen);
            std::thread::spawn(move || copy(from, to, &frozen));
        }
        state.connections.lock().unwrap().push(LinkConnection { stream, frozen });
    }
}

/// Forwards what arrives until a side ends the connection; holds it back while the path is frozen.
fn copy(mut from: TcpStream, mut to: TcpStream, frozen: &AtomicBool) {
    from.set_nodelay(true).unwrap();
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => break,
        };
        while frozen.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
