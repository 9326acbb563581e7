//! Token requests that are sent and answered together.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_gateway::{TokenQueue, TokenRequest};
use nickellead_limit::{TokenDemand, TokenGrant};
use tokio::sync::oneshot;

fn request(workspace: &str, count: u32) -> (TokenRequest, oneshot::Receiver<TokenGrant>) {
    let (reply, answer) = oneshot::channel();
    let demand = TokenDemand { wanted: count, unused: 1 };
    (TokenRequest { workspace: workspace.to_owned(), demand, reply }, answer)
}

#[test]
fn grants_are_divided_in_order_and_never_exceeded() {
    let (requests, answers): (Vec<TokenRequest>, Vec<_>) =
        [request("a", 2), request("b", 1), request("a", 3), request("a", 1), request("c", 1)]
            .into_iter()
            .unzip();
    let queue = TokenQueue::default();
    requests.into_iter().for_each(|request| queue.add(request));
    let requests = actix_rt::Runtime::new().unwrap().block_on(queue.take());
    let totals = requests.totals();
    let total = |(name, wanted, unused): (&str, u32, u32)| {
        (name.to_owned(), TokenDemand { wanted, unused })
    };
    assert_eq!(totals, [("a", 6, 3), ("b", 1, 1), ("c", 1, 1)].map(total).into());
    let later = Duration::from_millis(70);
    let grant = |granted| TokenGrant { granted, retry_after: later };
    requests.distribute([("a".to_owned(), grant(4)), ("b".to_owned(), grant(1))].into());
    let received: Vec<Option<(u32, Duration)>> = answers
        .into_iter()
        .map(|mut answer| answer.try_recv().ok().map(|one| (one.granted, one.retry_after)))
        .collect();
    let all = Duration::ZERO;
    let expected = [Some((2, all)), Some((1, all)), Some((2, later)), Some((0, later)), None];
    assert_eq!(received, expected);
}
