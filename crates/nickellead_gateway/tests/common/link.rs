//! A loopback proxy in front of a VM that limits the rate of what the VM sends.
//!
//! All connections to the VM share the rate, as they share its network link. Traffic to the VM is
//! not limited. What the VM sends and what it receives can also be delayed.

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
use tokio::sync::mpsc;

use super::free_address;

/// Bytes that one connection transmits before another connection may transmit.
const CHUNK_BYTES: usize = 4 * 1024;
/// Transmission time that an idle link may catch up with, to compensate for late timers.
const MAX_BURST: Duration = Duration::from_millis(10);
/// Receive buffer of each connection to the VM; bounds the bytes that leave the VM without pacing.
const VM_RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// State that a link shares with its proxy thread.
#[derive(Default)]
struct LinkState {
    bytes: AtomicU64,
    connections: AtomicU64,
    /// Whether connections are closed and new ones refused.
    cut: AtomicBool,
    /// Time in milliseconds by which bytes from the VM arrive later.
    delay_ms: AtomicU64,
    /// Time in milliseconds by which bytes to the VM arrive later.
    delay_to_vm_ms: AtomicU64,
}

/// A proxy from a listening address to a VM.
pub struct PacedLink {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

impl PacedLink {
    /// Opens a link that transmits at most `rate` bytes a second from `vm`.
    pub fn open(vm: SocketAddr, rate: f64) -> Self {
        let listener = TcpListener::bind(free_address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::<LinkState>::default();
        let link = Self { address, state: Arc::clone(&state) };
        std::thread::spawn(move || {
            let runtime = actix_rt::Runtime::new().unwrap();
            runtime.block_on(accept_all(listener, vm, rate, state));
        });
        link
    }

    /// Bytes that the VM has sent over the link.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Cuts the link: closes connections when they transmit next and refuses new ones. `false`
    /// restores it.
    pub fn set_cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::Relaxed);
    }

    /// Delays what the VM sends from now on by this time.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Delays what the VM receives from now on by this time.
    pub fn set_delay_to_vm(&self, delay: Duration) {
        self.state.delay_to_vm_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }
}

/// Schedules transmissions in the order of their calls.
struct LinkPacer {
    rate: f64,
    free_from: Cell<Instant>,
}

impl LinkPacer {
    /// Waits until the link has transmitted this many more bytes.
    async fn transmit(&self, bytes: usize) {
        let now = Instant::now();
        let start = self.free_from.get().max(now.checked_sub(MAX_BURST).unwrap_or(now));
        let end = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_from.set(end);
        tokio::time::sleep_until(end.into()).await;
    }
}

async fn accept_all(listener: TcpListener, vm: SocketAddr, rate: f64, state: Arc<LinkState>) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let pacer = Rc::new(LinkPacer { rate, free_from: Cell::new(Instant::now()) });
    while let Ok((peer_stream, _)) = listener.accept().await {
        if state.cut.load(Ordering::Relaxed) {
            continue;
        }
        state.connections.fetch_add(1, Ordering::Relaxed);
        actix_rt::spawn(proxy_connection(peer_stream, vm, Rc::clone(&pacer), Arc::clone(&state)));
    }
}

/// Forwards one connection until either side ends it; bytes in flight are then dropped.
async fn proxy_connection(
    peer_stream: TcpStream,
    vm: SocketAddr,
    pacer: Rc<LinkPacer>,
    state: Arc<LinkState>,
) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(VM_RECEIVE_BUFFER_BYTES).unwrap();
    let Ok(vm_stream) = socket.connect(vm).await else { return };
    for stream in [&peer_stream, &vm_stream] {
        stream.set_nodelay(true).unwrap();
        SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let (peer_read, peer_write) = peer_stream.into_split();
    let (vm_read, vm_write) = vm_stream.into_split();
    tokio::select! {
        () = forward_to_vm(peer_read, vm_write, &state) => {}
        () = forward_from_vm(vm_read, peer_write, &pacer, &state) => {}
    }
}

/// Forwards, delayed, what the VM receives.
async fn forward_to_vm(
    mut peer_stream: OwnedReadHalf,
    mut vm_stream: OwnedWriteHalf,
    state: &LinkState,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read @ 1..) = peer_stream.read(&mut chunk).await {
        let delay = Duration::from_millis(state.delay_to_vm_ms.load(Ordering::Relaxed));
        tokio::time::sleep(delay).await;
        if vm_stream.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

/// Forwards at the link's rate, and delayed, what the VM sends.
async fn forward_from_vm(
    mut vm_stream: OwnedReadHalf,
    mut peer_stream: OwnedWriteHalf,
    pacer: &LinkPacer,
    state: &LinkState,
) {
    let (sender, mut delayed) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    let transmit = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(read @ 1..) = vm_stream.read(&mut chunk).await {
            pacer.transmit(read).await;
            let delay = Duration::from_millis(state.delay_ms.load(Ordering::Relaxed));
            if sender.send((Instant::now() + delay, chunk[..read].to_vec())).is_err() {
                return;
            }
        }
    };
    let deliver = async {
        while let Some((due, bytes)) = delayed.recv().await {
            tokio::time::sleep_until(due.into()).await;
            state.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            let cut = state.cut.load(Ordering::Relaxed);
            if cut || peer_stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    // The end of `transmit` closes the channel, and `deliver` ends after the rest.
    let transmit = async {
        transmit.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = transmit => {}
        () = deliver => {}
    }
}
