//! The discovery service's event stream: numbered server-sent events, read from the last known number on.
//!
//! Events that arrive twice are skipped, and truncated ones are ignored. While a connection is silent,
//! another one is opened beside it. An event that can't be read is requested again, with pauses.

mod stream;

use crate::host::NodeHost;
use eventsource_stream::Event;
use ivyward_edge::{DiscoveryAction, DiscoveryConnectionId, DiscoveryConnections};
use ivyward_event_loop::EventSender;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use stream::{AbortOnDrop, EndReason, ProgressSender, read_stream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// After this many failed attempts, an unreadable event is skipped, because the events after it arrive
/// regardless.
const MAX_READ_ATTEMPTS: u32 = 3;
/// The number of updates that may wait for the follower. More input stays in the sockets.
const UPDATE_QUEUE_LENGTH: usize = 4;

/// What happened on a connection to the discovery service.
enum Progress {
    /// The response began, or a complete line arrived.
    Line,
    /// A complete event arrived.
    Event(Event),
    /// The connection has ended.
    Ended(EndReason),
}

/// The progress of one connection.
struct Update {
    id: DiscoveryConnectionId,
    progress: Progress,
}

/// What became of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventResult {
    /// It is new, and was applied or skipped for good.
    Consumed,
    /// It is known already or carries nothing.
    Ignored,
    /// It can't be read and is to be requested again.
    Unreadable,
}

/// The position in the event stream.
struct StreamPosition {
    /// The number of the last event that was applied or skipped.
    last_number: u64,
    /// The number of an unreadable event, and how often it was read.
    unreadable: (u64, u32),
}

/// Reads the event stream on one or more connections.
struct Follower {
    sender: EventSender<NodeHost>,
    position: StreamPosition,
    connections: DiscoveryConnections,
    /// The open connections, with the times at which they were opened.
    tasks: BTreeMap<DiscoveryConnectionId, (AbortOnDrop, Instant)>,
    updates: mpsc::Sender<Update>,
    started_at: Instant,
}

/// Follows the event stream at the latest address, from the event after `last_number` on.
pub async fn follow(
    sender: EventSender<NodeHost>, mut addresses: watch::Receiver<SocketAddr>, last_number: u64, seed: u64,
) {
    let (updates, mut update_receiver) = mpsc::channel(UPDATE_QUEUE_LENGTH);
    let mut follower = Follower {
        sender,
        position: StreamPosition { last_number, unreadable: (0, 0) },
        connections: DiscoveryConnections::new(seed),
        tasks: BTreeMap::new(),
        updates,
        started_at: Instant::now(),
    };
    loop {
        let address = *addresses.borrow_and_update();
        let wake_at = follower.maintain_connections(address);
        tokio::select! {
            () = sleep_until(wake_at) => {}
            Some(update) = update_receiver.recv() => follower.on_update(update).await,
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("discovery service has a new address");
                follower.tasks.clear();
                follower.connections.reset();
            }
        }
    }
}

impl Follower {
    /// The time since the start.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Opens and closes connections as needed. Returns when that has to be checked again.
    fn maintain_connections(&mut self, address: SocketAddr) -> Instant {
        loop {
            match self.connections.next_action(self.now()) {
                DiscoveryAction::Open(id) => self.open(id, address),
                DiscoveryAction::Close(id) => self.close(id, "no longer needed, or silent for too long"),
                DiscoveryAction::WaitUntil(at) => return self.started_at + at,
            }
        }
    }

    /// Opens a connection.
    fn open(&mut self, id: DiscoveryConnectionId, address: SocketAddr) {
        let last = self.position.last_number;
        tracing::debug!(
            connection = id,
            at = %address,
            last,
            silent = self.tasks.len(),
            "connecting to the discovery service"
        );
        let progress = ProgressSender { id, updates: self.updates.clone() };
        let task = AbortOnDrop(spawn_local(read_stream(address, last, progress)));
        self.tasks.insert(id, (task, Instant::now()));
    }

    /// Closes a connection and logs the reason.
    fn close(&mut self, id: DiscoveryConnectionId, reason: &str) {
        let Some((_, opened_at)) = self.tasks.remove(&id) else { return };
        tracing::debug!(
            connection = id,
            last = self.position.last_number,
            why = reason,
            after = ?opened_at.elapsed(),
            "connection to the discovery service ended"
        );
    }

    /// Handles what happened on a connection. A connection that was closed meanwhile is ignored.
    async fn on_update(&mut self, Update { id, progress }: Update) {
        if !self.tasks.contains_key(&id) {
            return;
        }
        match progress {
            Progress::Line => self.connections.record_line(self.now(), id),
            Progress::Event(event) => match self.consume_event(&event).await {
                EventResult::Consumed => self.connections.record_event(id),
                EventResult::Ignored => {}
                EventResult::Unreadable => self.on_end(id, "unreadable event"),
            },
            Progress::Ended(reason) => self.on_end(id, &format!("{reason:?}")),
        }
    }

    /// A connection failed.
    fn on_end(&mut self, id: DiscoveryConnectionId, reason: &str) {
        self.close(id, reason);
        self.connections.record_end(self.now(), id);
    }

    /// Applies an event if it is new.
    async fn consume_event(&mut self, event: &Event) -> EventResult {
        let parsed = serde_json::from_str::<Value>(&event.data);
        let offset = parsed.as_ref().ok().and_then(|parsed| parsed["offset"].as_u64());
        let number = match (event.id.parse().ok().or(offset), &parsed) {
            (Some(number), _) => number,
            (None, Ok(_)) => return EventResult::Ignored,
            (None, Err(_)) => return EventResult::Unreadable,
        };
        let position = &mut self.position;
        if number <= position.last_number {
            return EventResult::Ignored;
        }
        if !apply_event(&self.sender, parsed.unwrap_or_default()).await {
            let failed_reads = if position.unreadable.0 == number { position.unreadable.1 } else { 0 };
            position.unreadable = (number, failed_reads + 1);
            if failed_reads + 1 < MAX_READ_ATTEMPTS {
                return EventResult::Unreadable;
            }
            // Without this, an event that stays unreadable would hide all drains and ends after it.
            tracing::error!(number, "unreadable discovery event is skipped");
        }
        position.last_number = number;
        EventResult::Consumed
    }
}

/// Passes an event to the server list. Returns whether the event was readable.
async fn apply_event(sender: &EventSender<NodeHost>, event: Value) -> bool {
    let (reply, applied) = oneshot::channel();
    sender.send(move |core, host, now| {
        reply.send(host.apply_event(core, now, &event)).ok();
    });
    applied.await.unwrap_or_default()
}
