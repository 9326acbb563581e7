//! Orders thread: sends orders to targets and returns their replies to the coordination.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_api::DeclaredConfig;
use nickellead_core::TargetKey;
use nickellead_lease::{TargetOrder, TargetReply, ZoneEvent};

use crate::channel::{ChannelReceiver, ChannelSender, try_send};
use crate::coordination::CoordinationMessage;

/// Path at which targets accept orders.
const ORDER_PATH: &str = "/nickellead/order";
/// Maximum size of a target's reply to an order.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Message to the orders thread.
#[derive(Debug)]
pub(crate) enum OrderMessage {
    /// Declarations, which hold the addresses of targets.
    Config(Arc<DeclaredConfig>),
    /// Order to send to its target.
    Send(Box<TargetOrder>),
}

/// Starts the orders thread.
///
/// # Errors
/// Returns the error of the operating system if the thread can't be started.
pub(crate) fn build(
    receiver: ChannelReceiver<OrderMessage>,
    coordination: ChannelSender<CoordinationMessage>,
    timeout: Duration,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("orders".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(run(receiver, coordination, timeout));
        }
    })
}

async fn run(
    mut receiver: ChannelReceiver<OrderMessage>,
    coordination: ChannelSender<CoordinationMessage>,
    timeout: Duration,
) {
    let client = Rc::new(awc::Client::builder().timeout(timeout).finish());
    let mut addresses: HashMap<TargetKey, SocketAddr> = HashMap::new();
    while let Some(message) = receiver.recv().await {
        match message {
            OrderMessage::Config(config) => {
                let to_entry = |target: &nickellead_api::DeclaredTarget| {
                    (TargetKey::from(&target.name), target.spec.address)
                };
                addresses.extend(config.targets.iter().map(to_entry));
            }
            OrderMessage::Send(order) => {
                let Some(address) = addresses.get(&order.target).copied() else {
                    continue;
                };
                let (client, coordination) = (Rc::clone(&client), coordination.clone());
                actix_rt::spawn(async move {
                    let event = match send(&client, address, &order).await {
                        Some(reply) => ZoneEvent::TargetReplied(reply),
                        None => ZoneEvent::TargetFailed(order.target, order.sequence),
                    };
                    try_send(&coordination, CoordinationMessage::Event(event));
                });
            }
        }
    }
}

/// Sends an order; `None` without a readable reply of the target that the order names.
async fn send(
    client: &awc::Client,
    address: SocketAddr,
    order: &TargetOrder,
) -> Option<TargetReply> {
    let request = client.post(format!("http://{address}{ORDER_PATH}"));
    let mut response = request.send_json(order).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let reply: TargetReply = response.json().limit(MAX_REPLY_BYTES).await.ok()?;
    (reply.target == order.target).then_some(reply)
}
