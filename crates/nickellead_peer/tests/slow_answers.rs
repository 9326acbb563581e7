//! Large answers over slow links: they are waited for while they arrive, and given up when they stop.
//!
//! A whole copy on its way over a full link was given up after a fixed time and begun anew elsewhere,
//! which kept the link full. Seen as the answer's bytes that had come when its time was over.
#![allow(clippy::unwrap_used)]

use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_peer::{PeerClient, PeerError, PeerHandler, serve_peers};
use nickellead_soak::{FaultLink, LinkFault, LinkHost};

/// Until an answer begins.
const LIMIT: Duration = Duration::from_millis(400);
/// A large answer, in bytes: some forty parts.
const LARGE: u32 = 600_000;
/// How much longer each part takes on a slow link, in milliseconds.
const DELAY_MS: u64 = 50;
/// Longest time that a silent answer may go unnoticed.
const SILENCE: Duration = Duration::from_millis(1_500);

const PATH: &str = "/size/1";

type SizeClient = PeerClient<u32, Vec<u8>>;

/// Runs a test against a server that answers with as many bytes as it is asked for, behind a link.
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
fn an_answer_is_waited_for_as_long_as_it_arrives() {
    with_server(|link| async move {
        link.set(LinkFault::Delay(DELAY_MS));
        let mut client = SizeClient::new(link.address, PATH);
        let asked = Instant::now();
        let answer = client.call(&LARGE, LIMIT).await.unwrap();
        assert_eq!(answer.len(), LARGE as usize);
        assert!(asked.elapsed() > 2 * LIMIT, "the link is not slow: {:?}", asked.elapsed());
    });
}

#[test]
fn an_answer_that_stops_arriving_is_given_up_soon() {
    with_server(|link| async move {
        link.set(LinkFault::Delay(DELAY_MS));
        let mut client = SizeClient::new(link.address, PATH);
        let calling = client.call(&LARGE, LIMIT);
        let cutting = async {
            tokio::time::sleep(2 * LIMIT).await;
            link.set(LinkFault::Silent);
            Instant::now()
        };
        let (answer, cut) = tokio::join!(calling, cutting);
        assert!(matches!(answer, Err(PeerError::Timeout)), "{answer:?}");
        assert!(cut.elapsed() < SILENCE, "given up {:?} after the cut", cut.elapsed());
        let progress = client.progress();
        assert!(progress.bytes > 0 && progress.bytes < LARGE as usize, "{progress:?}");
    });
}

#[test]
fn a_reader_that_takes_nothing_holds_back_nobody_for_long() {
    with_server(|link| async move {
        // More than may be on their way side by side, and none of them takes anything in.
        let stuck = (0..8).map(|_| async {
            let mut client = SizeClient::new(link.address, PATH);
            client.call(&LARGE, LIMIT * 10).await
        });
        let stuck = futures_util::future::join_all(stuck);
        let asking = async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            link.set(LinkFault::CutFromTarget);
            tokio::time::sleep(Duration::from_millis(5_500)).await;
            link.set(LinkFault::None);
            let mut client = SizeClient::new(link.address, PATH);
            let asked = Instant::now();
            (client.call(&LARGE, LIMIT).await.map(|answer| answer.len()), asked.elapsed())
        };
        let (_, (answer, took)) = tokio::join!(stuck, asking);
        assert_eq!(answer.unwrap(), LARGE as usize, "after {took:?}");
    });
}

/// Readers that take a part now and then keep their turns for as long as their answers last: four of
/// them hold back every large answer of that VM to all others, for longer than these wait.
#[test]
fn readers_that_take_little_hold_back_nobody_for_long() {
    /// How long a VM waits for its turn to be told declarations.
    const TURN_WAIT: Duration = Duration::from_millis(1_200);
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
                // It is still on its way when the test ends.
                let _ = client.call(&(10 * LARGE), LIMIT * 10).await;
            });
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let mut client = SizeClient::new(address, PATH);
        let asked = Instant::now();
        let answer = client.call(&LARGE, TURN_WAIT).await.map(|answer| answer.len());
        assert_eq!(answer.unwrap(), LARGE as usize, "after {:?}", asked.elapsed());
    });
}
