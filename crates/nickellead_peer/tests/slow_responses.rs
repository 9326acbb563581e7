//! Large responses over slow links.
//!
//! Guards against a timeout on the whole response, which restarts large transfers over a congested
//! link and keeps it congested.
#![allow(clippy::unwrap_used)]

use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_peer::{PeerClient, PeerError, PeerHandler, serve_peers};
use nickellead_soak::{FaultLink, LinkFault, LinkHost};

/// Maximum time until a response begins.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Size of a large response, about forty chunks.
const LARGE_RESPONSE_BYTES: u32 = 600_000;
/// Delay of each chunk on a slow link, in milliseconds.
const DELAY_MS: u64 = 50;
/// Maximum time until the client detects a stalled response.
const MAX_STALL_DETECTION: Duration = Duration::from_millis(1_500);

const PATH: &str = "/size/1";

type SizeClient = PeerClient<u32, Vec<u8>>;

/// Runs a test against a server behind a link; it responds with the requested number of bytes.
fn with_server<F: Future<Output = ()>>(test: impl FnOnce(FaultLink) -> F) {
    let host = LinkHost::start().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let link = host.open(listener.local_addr().unwrap()).unwrap();
    actix_rt::Runtime::new().unwrap().block_on(async move {
        let handler: PeerHandler<u32, Vec<u8>> =
            Rc::new(|size, _| Box::pin(async move { vec![7; size as usize] }));
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        actix_rt::spawn(serve_peers(listener, PATH, handler));
        test(link).await;
    });
}

#[test]
fn a_response_that_keeps_arriving_has_no_total_timeout() {
    with_server(|link| async move {
        link.set(LinkFault::Delay(DELAY_MS));
        let mut client = SizeClient::new(link.address, PATH);
        let started = Instant::now();
        let response = client.call(&LARGE_RESPONSE_BYTES, RESPONSE_TIMEOUT).await.unwrap();
        assert_eq!(response.len(), LARGE_RESPONSE_BYTES as usize);
        assert!(
            started.elapsed() > 2 * RESPONSE_TIMEOUT,
            "the link is not slow: {:?}",
            started.elapsed()
        );
    });
}

#[test]
fn a_stalled_response_times_out() {
    with_server(|link| async move {
        link.set(LinkFault::Delay(DELAY_MS));
        let mut client = SizeClient::new(link.address, PATH);
        let calling = client.call(&LARGE_RESPONSE_BYTES, RESPONSE_TIMEOUT);
        let cutting = async {
            tokio::time::sleep(2 * RESPONSE_TIMEOUT).await;
            link.set(LinkFault::Silent);
            Instant::now()
        };
        let (response, cut) = tokio::join!(calling, cutting);
        assert!(matches!(response, Err(PeerError::Timeout)), "{response:?}");
        assert!(cut.elapsed() < MAX_STALL_DETECTION, "timed out {:?} after the cut", cut.elapsed());
        let progress = client.progress();
        assert!(
            progress.bytes > 0 && progress.bytes < LARGE_RESPONSE_BYTES as usize,
            "{progress:?}"
        );
    });
}

#[test]
fn receivers_that_stall_do_not_block_others() {
    with_server(|link| async move {
        // More receivers than there are slots for large responses, and none of them reads.
        let stuck = (0..8).map(|_| async {
            let mut client = SizeClient::new(link.address, PATH);
            client.call(&LARGE_RESPONSE_BYTES, RESPONSE_TIMEOUT * 10).await
        });
        let stuck = futures_util::future::join_all(stuck);
        let requesting = async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            link.set(LinkFault::CutFromTarget);
            tokio::time::sleep(Duration::from_millis(5_500)).await;
            link.set(LinkFault::None);
            let mut client = SizeClient::new(link.address, PATH);
            let started = Instant::now();
            (
                client
                    .call(&LARGE_RESPONSE_BYTES, RESPONSE_TIMEOUT)
                    .await
                    .map(|response| response.len()),
                started.elapsed(),
            )
        };
        let (_, (response, took)) = tokio::join!(stuck, requesting);
        assert_eq!(response.unwrap(), LARGE_RESPONSE_BYTES as usize, "after {took:?}");
    });
}

/// Guards against receivers behind slow links that occupy all slots for large responses for longer
/// than other VMs wait.
#[test]
fn slow_receivers_do_not_block_others() {
    /// Time that a VM waits for a slot to receive declarations.
    const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(1_200);
    let host = LinkHost::start().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let link = host.open(address).unwrap();
    actix_rt::Runtime::new().unwrap().block_on(async move {
        let handler: PeerHandler<u32, Vec<u8>> =
            Rc::new(|size, _| Box::pin(async move { vec![7; size as usize] }));
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        actix_rt::spawn(serve_peers(listener, PATH, handler));
        link.set(LinkFault::Delay(100));
        for _ in 0..4 {
            actix_rt::spawn(async move {
                let mut client = SizeClient::new(link.address, PATH);
                // The call is still in progress when the test ends.
                let _ = client.call(&(10 * LARGE_RESPONSE_BYTES), RESPONSE_TIMEOUT * 10).await;
            });
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let mut client = SizeClient::new(address, PATH);
        let started = Instant::now();
        let response = client
            .call(&LARGE_RESPONSE_BYTES, SLOT_WAIT_TIMEOUT)
            .await
            .map(|response| response.len());
        assert_eq!(
            response.unwrap(),
            LARGE_RESPONSE_BYTES as usize,
            "after {:?}",
            started.elapsed()
        );
    });
}
