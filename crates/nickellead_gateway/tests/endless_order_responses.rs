//! Targets that respond to orders with bytes without end.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::endless_target::{EndlessPart, EndlessTarget};
use common::wait_until;
use http::HeaderMap;
use nickellead_gateway::{CallFailure, ConnectionUse, OrderClient};

const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// What is no response is given up well before the order times out.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Bytes that the VM and the system on both sides may take.
const MAX_BYTES: usize = 4 * 1024 * 1024 + 256 * 1024;

/// Guards against reading a response to an order without end until the order times out. An order whose
/// response has no end may have taken effect.
#[test]
fn responses_to_orders_are_bounded() {
    for part in [
        EndlessPart::Head,
        EndlessPart::InformationalHeads,
        EndlessPart::Body,
        EndlessPart::Chunks,
        EndlessPart::SmallChunks,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailers,
        EndlessPart::RefusalBody,
    ] {
        for connection_use in [ConnectionUse::Own, ConnectionUse::Shared] {
            let target = EndlessTarget::start("t1");
            target.set_part(Some(part));
            let since = Instant::now();
            let result = post_order(&target, connection_use);
            let duration = since.elapsed();
            wait_until("the connection is closed", || !target.responses().is_empty());
            let sent = target.responses()[0];
            println!("{part:?}, {connection_use:?}: {result:?} after {duration:?}, {sent:?}");
            assert_eq!(result, Err(CallFailure::Broken), "{part:?}");
            assert!(duration < MAX_RESPONSE_TIME, "{part:?}: {duration:?}");
            assert!(sent.duration < MAX_RESPONSE_TIME, "{part:?}: {sent:?}");
            assert!(sent.bytes < MAX_BYTES, "{part:?}: {sent:?}");
        }
    }
}

/// Sends an order on a runtime that goes on running until the connection is closed.
fn post_order(target: &EndlessTarget, connection_use: ConnectionUse) -> Result<u16, CallFailure> {
    let address = target.address;
    let (sender, result) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let client = OrderClient::default();
            let headers = HeaderMap::new();
            let posting =
                client.post(address, "/order", headers, Vec::new(), ORDER_TIMEOUT, connection_use);
            let response = posting.await.map(|(status, _)| status.as_u16());
            sender.send(response).unwrap();
            tokio::time::sleep(ORDER_TIMEOUT).await;
        });
    });
    result.recv_timeout(2 * ORDER_TIMEOUT).unwrap()
}
