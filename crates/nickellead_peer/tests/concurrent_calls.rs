//! Many calls at once on one connection, some of them slow, large, cancelled or lost.
#![allow(clippy::unwrap_used)]

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use futures_util::FutureExt;
use nickellead_peer::{CallArrival, CallHandler, PeerChannel, PeerError, serve_calls};
use tokio::sync::oneshot;

const PATH: &str = "/job/1";
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(5);
/// Size of a response that needs several flow-control windows.
const LARGE_RESPONSE_BYTES: usize = 90_000;

#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
enum Job {
    /// Respond after this time, in milliseconds.
    Wait(u64),
    /// Keep the server's thread busy for this time, in milliseconds.
    Block(u64),
    /// Respond with this number of bytes.
    Bytes(usize),
}

#[derive(Encode, Decode)]
struct JobResult {
    /// The caller's port, which identifies the connection.
    port: u16,
    /// For how much longer than usual the call was under way, in milliseconds.
    delay_ms: u64,
    bytes: Vec<u8>,
}

type JobChannel = PeerChannel<Job, JobResult>;
type JobLog = Arc<Mutex<Vec<(Job, &'static str)>>>;

/// Logs a job that ends before it is done.
struct JobGuard(Job, JobLog, bool);

impl Drop for JobGuard {
    fn drop(&mut self) {
        if !self.2 {
            self.1.lock().unwrap().push((self.0, "cancelled"));
        }
    }
}

async fn run(job: Job, arrival: CallArrival, log: JobLog) -> JobResult {
    log.lock().unwrap().push((job, "begun"));
    let mut guard = JobGuard(job, log, false);
    let size = match job {
        Job::Wait(time) => {
            tokio::time::sleep(Duration::from_millis(time)).await;
            0
        }
        Job::Block(time) => {
            std::thread::sleep(Duration::from_millis(time));
            0
        }
        Job::Bytes(size) => size,
    };
    guard.2 = true;
    let delay_ms = u64::try_from(arrival.delay.as_millis()).unwrap();
    JobResult { port: arrival.from.port(), delay_ms, bytes: vec![7; size] }
}

/// A server on a thread of its own.
struct TestServer {
    address: SocketAddr,
    log: JobLog,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl TestServer {
    fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel();
        let log = JobLog::default();
        let handler_log = Arc::clone(&log);
        let serve = || async move {
            let handler: CallHandler<Job, JobResult> =
                Rc::new(move |job, arrival| Box::pin(run(job, arrival, Arc::clone(&handler_log))));
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            tokio::select! {
                () = serve_calls(listener, PATH, handler) => {}
                _ = stopped => {}
            }
        };
        let thread = std::thread::spawn(|| actix_rt::Runtime::new().unwrap().block_on(serve()));
        Self { address, log, stop, thread }
    }

    fn stop(self) {
        self.stop.send(()).unwrap();
        self.thread.join().unwrap();
    }

    fn has_logged(&self, entry: (Job, &'static str)) -> bool {
        self.log.lock().unwrap().contains(&entry)
    }
}

async fn call(channel: &JobChannel, job: Job) -> Result<JobResult, PeerError> {
    channel.call(&job, ACK_TIMEOUT, LIMIT).await
}

async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < LIMIT);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Begins a call and drops it once `is_due` holds.
async fn call_until(channel: &JobChannel, job: Job, is_due: impl Fn() -> bool) {
    tokio::select! {
        _ = call(channel, job) => unreachable!("the call ended"),
        () = wait_until(is_due) => {}
    }
}

#[actix_rt::test]
async fn calls_share_a_connection_and_end_in_any_order() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    // Longer than the acknowledgement may take.
    let slow = call(&channel, Job::Wait(600));
    let quick = async {
        let small = call(&channel, Job::Wait(0)).await.unwrap();
        let large = call(&channel, Job::Bytes(LARGE_RESPONSE_BYTES));
        let beside = call(&channel, Job::Wait(1));
        let (large, beside) = tokio::join!(large, beside);
        let (large, beside) = (large.unwrap(), beside.unwrap());
        assert_eq!(large.bytes.len(), LARGE_RESPONSE_BYTES);
        assert_eq!((large.port, beside.port), (small.port, small.port));
        (Instant::now(), small.port)
    };
    let slow = async { (slow.await, Instant::now()) };
    let ((slow, slow_at), (quick_at, port)) = tokio::join!(slow, quick);
    assert!(quick_at < slow_at, "the quick calls waited for the slow one");
    assert_eq!(slow.unwrap().port, port);
    server.stop();
}

#[actix_rt::test]
async fn an_unread_large_response_does_not_hold_up_small_ones() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    call(&channel, Job::Wait(0)).await.unwrap();
    let mut unread = Box::pin(call(&channel, Job::Bytes(LARGE_RESPONSE_BYTES)));
    // Sends the request on the open connection.
    assert!((&mut unread).now_or_never().is_none());
    wait_until(|| server.has_logged((Job::Bytes(LARGE_RESPONSE_BYTES), "begun"))).await;
    for _ in 0..20 {
        call(&channel, Job::Bytes(1_000)).await.unwrap();
    }
    assert_eq!(unread.await.unwrap().bytes.len(), LARGE_RESPONSE_BYTES);
    server.stop();
}

#[actix_rt::test]
async fn a_dropped_or_late_call_cancels_its_handler_only() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    let dropped = Job::Wait(60_000);
    call_until(&channel, dropped, || server.has_logged((dropped, "begun"))).await;
    wait_until(|| server.has_logged((dropped, "cancelled"))).await;
    let late = Job::Wait(60_001);
    let other = call(&channel, Job::Wait(100));
    let late_call = channel.call(&late, ACK_TIMEOUT, Duration::from_millis(50));
    let (late_end, other) = tokio::join!(late_call, other);
    assert!(matches!(late_end, Err(PeerError::Timeout)));
    wait_until(|| server.has_logged((late, "cancelled"))).await;
    let port = other.unwrap().port;
    assert_eq!(call(&channel, Job::Wait(0)).await.unwrap().port, port);
    server.stop();
}

/// A call that was cancelled while the server stood still is not handled.
#[actix_rt::test]
async fn a_call_that_was_cancelled_before_it_was_read_is_not_handled() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    call(&channel, Job::Wait(0)).await.unwrap();
    let blocking = call(&channel, Job::Block(300));
    let cancelled = async {
        wait_until(|| server.has_logged((Job::Block(300), "begun"))).await;
        let started = Instant::now();
        call_until(&channel, Job::Bytes(1), || started.elapsed() > Duration::from_millis(50)).await;
    };
    let (blocking, ()) = tokio::join!(blocking, cancelled);
    blocking.unwrap();
    call(&channel, Job::Bytes(2)).await.unwrap();
    assert!(!server.has_logged((Job::Bytes(1), "begun")));
    server.stop();
}

/// Calls were read before the server stood still, and their cancellation arrived meanwhile.
#[actix_rt::test]
async fn a_call_that_was_cancelled_before_it_began_is_not_handled() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    call(&channel, Job::Wait(0)).await.unwrap();
    let is_blocked = || server.has_logged((Job::Block(300), "begun"));
    // The requests arrive at once, and the first or the last one waits for the blocking one.
    let ((), blocking, ()) = tokio::join!(
        call_until(&channel, Job::Wait(60_000), is_blocked),
        call(&channel, Job::Block(300)),
        call_until(&channel, Job::Wait(60_001), is_blocked),
    );
    blocking.unwrap();
    call(&channel, Job::Bytes(2)).await.unwrap();
    let log = server.log.lock().unwrap().clone();
    let after_block = log.iter().skip_while(|(job, _)| *job != Job::Block(300)).skip(1);
    let begun: Vec<_> = after_block.filter(|(_, event)| *event == "begun").collect();
    assert_eq!(begun, [&(Job::Bytes(2), "begun")], "{log:?}");
    server.stop();
}

#[actix_rt::test]
async fn a_silent_server_is_noticed_and_later_calls_open_a_new_connection() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let channel = JobChannel::new(listener.local_addr().unwrap(), PATH);
    for _ in 0..2 {
        let started = Instant::now();
        let (result, accepted) = tokio::join!(call(&channel, Job::Wait(0)), listener.accept());
        assert!(matches!(result, Err(PeerError::NotAcknowledged)));
        assert!(started.elapsed() < 2 * ACK_TIMEOUT, "{:?}", started.elapsed());
        drop(accepted);
    }
}

#[actix_rt::test]
async fn a_channel_reconnects_after_the_end_of_its_server() {
    let server = TestServer::start("127.0.0.1:0");
    let address = server.address;
    let channel = JobChannel::new(address, PATH);
    call(&channel, Job::Wait(0)).await.unwrap();
    server.stop();
    let refused = call(&channel, Job::Wait(0)).await;
    assert!(matches!(refused, Err(PeerError::NotAcknowledged)));
    let server = TestServer::start(&address.to_string());
    let calls = (0..3).map(|_| call(&channel, Job::Wait(20)));
    let results = futures_util::future::join_all(calls).await;
    let ports: Vec<u16> = results.into_iter().map(|result| result.unwrap().port).collect();
    assert!(ports.iter().all(|port| *port == ports[0]), "opened several connections: {ports:?}");
    server.stop();
}

/// Guards against calls that count as lost because the caller's thread stood still while the
/// acknowledgement arrived.
#[actix_rt::test]
async fn an_acknowledgement_that_arrives_while_the_caller_stands_still_counts() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    call(&channel, Job::Wait(0)).await.unwrap();
    let blocking = call(&channel, Job::Block(150));
    let acknowledged = async {
        wait_until(|| server.has_logged((Job::Block(150), "begun"))).await;
        let stand_still = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            std::thread::sleep(ACK_TIMEOUT + Duration::from_millis(200));
        };
        tokio::join!(call(&channel, Job::Wait(1)), stand_still).0
    };
    let (blocking, acknowledged) = tokio::join!(blocking, acknowledged);
    assert!(acknowledged.is_ok(), "{:?}", acknowledged.err());
    blocking.unwrap();
    server.stop();
}

/// Guards against a call that the server refused without handling it, but that counts as handled.
#[actix_rt::test]
async fn a_call_of_another_protocol_is_refused() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, "/job/2");
    let refused = call(&channel, Job::Wait(0)).await;
    assert!(matches!(refused, Err(PeerError::Refused(404))));
    assert!(!server.has_logged((Job::Wait(0), "begun")));
    server.stop();
}

/// Guards requests against time that is counted twice, because a message lay unread at a VM that stood
/// still.
#[actix_rt::test]
async fn the_handler_is_told_how_late_a_call_is() {
    let server = TestServer::start("127.0.0.1:0");
    let channel = JobChannel::new(server.address, PATH);
    for _ in 0..3 {
        let quick = call(&channel, Job::Wait(0)).await.unwrap();
        assert!(quick.delay_ms < 100, "{}", quick.delay_ms);
    }
    let blocking = call(&channel, Job::Block(350));
    let late = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        call(&channel, Job::Wait(0)).await
    };
    let (_, late) = tokio::join!(blocking, late);
    let delay_ms = late.unwrap().delay_ms;
    assert!((200..400).contains(&delay_ms), "{delay_ms}");
    server.stop();
}
