//! A loopback link that carries what one VM sends no faster than a given rate.
//!
//! The rate holds for all connections to that VM together, as on the one link that a VM has. What
//! others send to it is not paced.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};

use super::free_address;

/// Bytes of one connection that are carried before the next connection has its turn.
const CHUNK: usize = 4 * 1024;
/// What a link that stood still may catch up with: timers are late by a few milliseconds.
const BURST: Duration = Duration::from_millis(10);
/// Bytes that the system may take from the VM before they are paced, for each connection.
const UNPACED: u32 = 64 * 1024;

/// What a link has carried.
#[derive(Default)]
struct LinkCounts {
    bytes: AtomicU64,
    connections: AtomicU64,
    /// Whether all connections are ended and none is made.
    cut: AtomicBool,
}

/// One link, from the address it listens on to a VM.
pub struct PacedLink {
    /// Where it listens.
    pub address: SocketAddr,
    counts: Arc<LinkCounts>,
}

impl PacedLink {
    /// Opens a link to `vm` that carries `rate` bytes a second from it.
    pub fn open(vm: SocketAddr, rate: f64) -> Self {
        let listener = TcpListener::bind(free_address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let counts = Arc::<LinkCounts>::default();
        let link = Self { address, counts: Arc::clone(&counts) };
        std::thread::spawn(move || {
            let runtime = actix_rt::Runtime::new().unwrap();
            runtime.block_on(accept_all(listener, vm, rate, counts));
        });
        link
    }

    /// Bytes that the VM has sent over the link.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Ends all connections and makes none, or makes them again.
    pub fn set_cut(&self, cut: bool) {
        self.counts.cut.store(cut, Ordering::Relaxed);
    }

    /// Connections made over the link.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }
}

/// When the link is free; whoever asks first has the first turn.
struct LinkPace {
    rate: f64,
    free_from: Cell<Instant>,
}

impl LinkPace {
    /// Waits until the link has carried this many bytes more.
    async fn carry(&self, bytes: usize) {
        let now = Instant::now();
        let begin = self.free_from.get().max(now.checked_sub(BURST).unwrap_or(now));
        let end = begin + Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_from.set(end);
        tokio::time::sleep_until(end.into()).await;
    }
}

async fn accept_all(listener: TcpListener, vm: SocketAddr, rate: f64, counts: Arc<LinkCounts>) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let pace = Rc::new(LinkPace { rate, free_from: Cell::new(Instant::now()) });
    while let Ok((reader, _)) = listener.accept().await {
        if counts.cut.load(Ordering::Relaxed) {
            continue;
        }
        counts.connections.fetch_add(1, Ordering::Relaxed);
        actix_rt::spawn(carry_connection(reader, vm, Rc::clone(&pace), Arc::clone(&counts)));
    }
}

/// Carries one connection until either side ends it; what is still on its way is then dropped.
async fn carry_connection(
    reader: TcpStream,
    vm: SocketAddr,
    pace: Rc<LinkPace>,
    counts: Arc<LinkCounts>,
) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(UNPACED).unwrap();
    let Ok(teller) = socket.connect(vm).await else { return };
    for stream in [&reader, &teller] {
        stream.set_nodelay(true).unwrap();
        SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let (mut reader_read, reader_write) = reader.into_split();
    let (teller_read, mut teller_write) = teller.into_split();
    tokio::select! {
        _ = tokio::io::copy(&mut reader_read, &mut teller_write) => {}
        () = carry_back(teller_read, reader_write, &pace, &counts) => {}
    }
}

/// Passes on what the VM sends, and reads no faster than that.
async fn carry_back(
    mut teller: OwnedReadHalf,
    mut reader: OwnedWriteHalf,
    pace: &LinkPace,
    counts: &LinkCounts,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(read @ 1..) = teller.read(&mut chunk).await {
        pace.carry(read).await;
        counts.bytes.fetch_add(read as u64, Ordering::Relaxed);
        let cut = counts.cut.load(Ordering::Relaxed);
        if cut || reader.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
