//! Loopback TCP proxy that can delay, reset, hold back or silence connections.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use crate::SoakError;

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Capacity of the queue of links to open.
const LINK_QUEUE_CAPACITY: usize = 256;

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// The link works.
    #[default]
    None,
    /// Each chunk is delayed by this many milliseconds.
    Delay(u64),
    /// Open and new connections are reset.
    Reset,
    /// Bytes sent by the connecting side are held back until the fault ends.
    CutToTarget,
    /// Bytes sent to the connecting side are held back until the fault ends.
    CutFromTarget,
    /// Both directions are held back; new connections are accepted but not served.
    Silent,
}

impl LinkFault {
    /// Whether bytes in this direction are held back.
    const fn holds_back(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (Self::Silent, _)
                | (Self::CutToTarget, Direction::ToTarget)
                | (Self::CutFromTarget, Direction::FromTarget)
        )
    }
}

#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// Proxy from its own listening address to one target address.
#[derive(Debug)]
pub struct FaultLink {
    /// Listening address.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl FaultLink {
    /// Sets the current fault; [`LinkFault::None`] ends it.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

struct LinkRequest {
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<LinkFault>,
}

/// Thread that runs all links of a fleet.
#[derive(Debug)]
pub struct LinkHost {
    requests: mpsc::Sender<LinkRequest>,
}

impl LinkHost {
    /// Starts the thread, which ends when the host is dropped.
    ///
    /// # Errors
    /// [`SoakError::System`] if the thread can't be started.
    pub fn start() -> Result<Self, SoakError> {
        let (requests, mut received) = mpsc::channel::<LinkRequest>(LINK_QUEUE_CAPACITY);
        let host = move || {
            let Ok(runtime) = actix_rt::Runtime::new() else { return };
            runtime.block_on(async move {
                while let Some(request) = received.recv().await {
                    actix_rt::spawn(run_link(request));
                }
            });
        };
        let thread = std::thread::Builder::new().name("links".to_owned()).spawn(host);
        thread.map_err(SoakError::system("a thread"))?;
        Ok(Self { requests })
    }

    /// Opens a link that forwards connections to `target`.
    ///
    /// # Errors
    /// [`SoakError::System`] if no port can be bound.
    pub fn open(&self, target: SocketAddr) -> Result<FaultLink, SoakError> {
        let address = crate::free_address()?;
        let listener = TcpListener::bind(address).map_err(SoakError::system("a port"))?;
        listener.set_nonblocking(true).map_err(SoakError::system("a socket"))?;
        let (fault, fault_receiver) = watch::channel(LinkFault::None);
        let request = LinkRequest { listener, target, fault: fault_receiver };
        let closed = |_| SoakError::NotReached("the link thread accepts a new link".to_owned());
        self.requests.blocking_send(request).map_err(closed)?;
        Ok(FaultLink { address, fault })
    }
}

async fn run_link(request: LinkRequest) {
    let Ok(listener) = tokio::net::TcpListener::from_std(request.listener) else { return };
    let mut fault = request.fault;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    actix_rt::spawn(forward_connection(client, request.target, fault.clone()));
                }
            }
            // The handle of the link was dropped.
            dropped = wait_until_dropped(&mut fault) => return dropped,
        }
    }
}

async fn wait_until_dropped(fault: &mut watch::Receiver<LinkFault>) {
    while fault.changed().await.is_ok() {}
}

/// Forwards one connection until either side ends it or the link resets it.
async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mut fault: watch::Receiver<LinkFault>,
) {
    if fault.wait_for(|current| *current != LinkFault::Silent).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return reset_on_drop(&client);
    };
    // Without the option, small writes are only delayed.
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    // From here on, dropping a stream resets the connection.
    reset_on_drop(&client);
    reset_on_drop(&upstream);
    // Dropping these halves does not shut the connection down, so peers see only the reset.
    let (client_read, client_write) = split(client);
    let (upstream_read, upstream_write) = split(upstream);
    let mut resets = fault.clone();
    tokio::select! {
        _ = resets.wait_for(|current| *current == LinkFault::Reset) => {}
        () = async {
            tokio::join!(
                forward_bytes(client_read, upstream_write, Direction::ToTarget, fault.clone()),
                forward_bytes(upstream_read, client_write, Direction::FromTarget, fault.clone()),
            );
        } => {}
    }
}

/// Makes dropping the stream send a reset unless it was shut down before.
fn reset_on_drop(stream: &TcpStream) {
    // If this fails, the stream ends with a regular FIN, which is a milder fault.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards bytes in one direction until the end of the stream, subject to the current fault.
async fn forward_bytes(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    direction: Direction,
    mut fault: watch::Receiver<LinkFault>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let delay = match *fault.borrow() {
            LinkFault::Delay(millis) => Duration::from_millis(millis),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if fault.wait_for(|current| !current.holds_back(direction)).await.is_err() {
            return;
        }
        if read == 0 {
            // Fails if the other side has closed already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
