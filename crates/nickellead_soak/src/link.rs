//! A loopback proxy whose connections can be delayed, reset, cut one way or silenced.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use crate::SoakError;

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Links that may be asked for before the host takes them up.
const REQUESTS: usize = 256;

/// How a link misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// It does not.
    #[default]
    None,
    /// Every chunk takes this much longer, in milliseconds.
    Delay(u64),
    /// Connections are reset, and new ones at once.
    Reset,
    /// What the opener sends does not arrive until the fault is over.
    CutForth,
    /// What the opener should receive does not arrive until the fault is over.
    CutBack,
    /// Nothing arrives either way, and new connections are taken and left alone.
    Silent,
}

impl LinkFault {
    /// Whether bytes in this direction are held back.
    const fn holds(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (Self::Silent, _)
                | (Self::CutForth, Direction::Forth)
                | (Self::CutBack, Direction::Back)
        )
    }
}

#[derive(Clone, Copy)]
enum Direction {
    Forth,
    Back,
}

/// One link, from the address it listens on to the one it leads to.
#[derive(Debug)]
pub struct FaultLink {
    /// Where it listens.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl FaultLink {
    /// Makes the link misbehave, or heal.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

struct LinkRequest {
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<LinkFault>,
}

/// The thread that all links of a fleet run on.
#[derive(Debug)]
pub struct LinkHost {
    requests: mpsc::Sender<LinkRequest>,
}

impl LinkHost {
    /// Starts the thread; it ends when the host is dropped.
    ///
    /// # Errors
    /// The system's refusal of a thread.
    pub fn start() -> Result<Self, SoakError> {
        let (requests, mut asked) = mpsc::channel::<LinkRequest>(REQUESTS);
        let host = move || {
            let Ok(runtime) = actix_rt::Runtime::new() else { return };
            runtime.block_on(async move {
                while let Some(request) = asked.recv().await {
                    actix_rt::spawn(run_link(request));
                }
            });
        };
        let thread = std::thread::Builder::new().name("links".to_owned()).spawn(host);
        thread.map_err(SoakError::system("a thread"))?;
        Ok(Self { requests })
    }

    /// Opens a link to `target`.
    ///
    /// # Errors
    /// The system's refusal of a port.
    pub fn open(&self, target: SocketAddr) -> Result<FaultLink, SoakError> {
        let address = crate::free_address()?;
        let listener = TcpListener::bind(address).map_err(SoakError::system("a port"))?;
        listener.set_nonblocking(true).map_err(SoakError::system("a socket"))?;
        let (fault, seen) = watch::channel(LinkFault::None);
        let request = LinkRequest { listener, target, fault: seen };
        let refused = |_| SoakError::NotReached("the thread of links takes no more".to_owned());
        self.requests.blocking_send(request).map_err(refused)?;
        Ok(FaultLink { address, fault })
    }
}

async fn run_link(request: LinkRequest) {
    let Ok(listener) = tokio::net::TcpListener::from_std(request.listener) else { return };
    let mut fault = request.fault;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((opener, _)) = accepted {
                    actix_rt::spawn(carry(opener, request.target, fault.clone()));
                }
            }
            // The fleet is gone.
            gone = until_gone(&mut fault) => return gone,
        }
    }
}

async fn until_gone(fault: &mut watch::Receiver<LinkFault>) {
    while fault.changed().await.is_ok() {}
}

/// Carries one connection until either side ends it or the link resets it.
async fn carry(opener: TcpStream, target: SocketAddr, mut fault: watch::Receiver<LinkFault>) {
    if fault.wait_for(|now| *now != LinkFault::Silent).await.is_err() {
        return;
    }
    let Ok(other) = TcpStream::connect(target).await else {
        return reset(&opener);
    };
    // Both options only shorten waits.
    let _ = (opener.set_nodelay(true), other.set_nodelay(true));
    // A dropped stream is then reset, and so are both ends of a link that breaks.
    reset(&opener);
    reset(&other);
    // Halves of this kind end nothing when they are dropped: only the reset is seen.
    let (opener_read, opener_write) = split(opener);
    let (other_read, other_write) = split(other);
    let mut resets = fault.clone();
    tokio::select! {
        _ = resets.wait_for(|now| *now == LinkFault::Reset) => {}
        () = async {
            tokio::join!(
                pump(opener_read, other_write, Direction::Forth, fault.clone()),
                pump(other_read, opener_write, Direction::Back, fault.clone()),
            );
        } => {}
    }
}

/// Has the stream end with a reset when it is dropped before its end was sent.
fn reset(stream: &TcpStream) {
    // Without it the stream ends in the usual way, which is a gentler fault.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes bytes on in one direction until their end, as the fault allows.
async fn pump(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    direction: Direction,
    mut fault: watch::Receiver<LinkFault>,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let delay = match *fault.borrow() {
            LinkFault::Delay(millis) => Duration::from_millis(millis),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if fault.wait_for(|now| !now.holds(direction)).await.is_err() {
            return;
        }
        if read == 0 {
            // The other side may have ended first; then there is nobody to tell.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
