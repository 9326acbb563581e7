//! What VMs ask each other and answer.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};

use crate::book::{BookMark, BookNews};
use crate::load_count::LoadCounts;

/// A question for news.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct NewsAsk {
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) mark: BookMark,
    /// Sources that failed this VM a moment ago.
    pub(super) avoid: Vec<SocketAddr>,
    /// What this VM's callers asked for since its last question.
    pub(super) load: LoadCounts,
}

/// The answer to a [`NewsAsk`].
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum NewsTell {
    /// What is new, perhaps nothing, and how long ago the store was last heard of at the root.
    News(Box<BookNews>, Duration),
    /// Another VM tells it.
    AskOther(SocketAddr),
    /// This VM is out of touch itself.
    OutOfTouch,
}
