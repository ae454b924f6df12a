//! Stand-in for the discovery service, one for each manager.
//!
//! It serves numbered events at an address of its own; the numbers restart with each start of the manager. It
//! can refuse connections, stop answering, silence or break open watches, and move to another address. For
//! each phase change it records from when the manager counts as notified.

use super::observations::SharedContext;
use ivyward_standin::platform::{listen, own_address};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between comments on an open watch.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of connections that may wait to be accepted.
const ACCEPT_BACKLOG_COUNT: u32 = 64;
/// An event counts as received this long after its watch fell silent.
const SILENCE_NOTICE_DELAY: Duration = Duration::from_secs(4);
/// An event counts as received this long after a watch broke off.
const BREAK_NOTICE_DELAY: Duration = Duration::from_secs(2);
/// An event counts as received this long after the SIGHUP that announced a move.
const HANGUP_NOTICE_DELAY: Duration = Duration::from_secs(4);
/// An event counts as received this long after discovery is reachable again following a call that failed or
/// was abandoned.
const FAILURE_NOTICE_DELAY: Duration = Duration::from_secs(6);
/// The old address closes its open connections this long after a move.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// How discovery handles connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Connections are accepted and answered.
    Available,
    /// Connections are refused.
    Refusing,
    /// Connections are accepted and never answered.
    Unresponsive,
}

/// An open watch.
struct Watch {
    /// Bytes to write; an empty message closes the watch.
    output: mpsc::UnboundedSender<Vec<u8>>,
    /// From when nothing more is sent on it.
    silent_since: Option<Duration>,
}

/// A published event.
struct Event {
    /// Its number in the sequence of events.
    number: u64,
    /// The event as a server-sent event.
    text: String,
    /// Indexes of the phase changes that it carries.
    changes: Vec<usize>,
}

/// The discovery service of one manager.
pub struct Discovery {
    manager: usize,
    context: SharedContext,
    /// The current address.
    pub address: Cell<SocketAddr>,
    availability: watch::Sender<Availability>,
    /// All events since the manager's last start.
    events: RefCell<Vec<Event>>,
    watches: RefCell<Vec<Watch>>,
    /// When an open watch last broke off; `None` again after an outage.
    broken_at: Cell<Option<Duration>>,
    /// When the manager was last notified of a move.
    moved_at: Cell<Option<Duration>>,
    /// Counts moves; listeners of earlier addresses accept nothing new.
    address_generation: watch::Sender<u32>,
}

impl Discovery {
    /// Starts discovery for a manager at an address of its own.
    ///
    /// # Errors
    /// No socket is available.
    pub async fn start(context: &SharedContext, manager: usize) -> std::io::Result<Rc<Discovery>> {
        let listener = TcpListener::bind(own_address()).await?;
        let discovery = Rc::new(Discovery {
            manager,
            context: context.clone(),
            address: Cell::new(listener.local_addr()?),
            availability: watch::Sender::new(Availability::Available),
            events: RefCell::default(),
            watches: RefCell::default(),
            broken_at: Cell::default(),
            moved_at: Cell::default(),
            address_generation: watch::Sender::new(0),
        });
        spawn_local(discovery.clone().accept_connections(listener, 0));
        spawn_local(discovery.clone().send_comments());
        Ok(discovery)
    }

    /// Accepts connections at one address until discovery moves to another.
    async fn accept_connections(self: Rc<Self>, mut listener: TcpListener, address_generation: u32) {
        let (mut availability, mut generation_changes) =
            (self.availability.subscribe(), self.address_generation.subscribe());
        let address = self.address.get();
        loop {
            let state = *availability.borrow_and_update();
            if state == Availability::Refusing {
                drop(listener);
                if availability.changed().await.is_err() {
                    return;
                }
                listener = listen(address, ACCEPT_BACKLOG_COUNT).await;
                continue;
            }
            tokio::select! {
                changed = availability.changed() => if changed.is_err() { return },
                _ = generation_changes.wait_for(|now| *now != address_generation) => return,
                Ok((stream, _)) = listener.accept() => {
                    spawn_local(self.clone().serve_watch(stream, address_generation));
                }
            }
        }
    }

    /// Serves one watch, from the event after the one that the manager names as its last.
    async fn serve_watch(self: Rc<Self>, mut stream: TcpStream, address_generation: u32) {
        let (mut head, mut buffer) = (vec![], [0; 1024]);
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(read @ 1..) = stream.read(&mut buffer).await else { return };
            head.extend(&buffer[..read]);
        }
        let lowercase_head = String::from_utf8_lossy(&head).to_lowercase();
        let last_event_number = lowercase_head
            .lines()
            .find_map(|line| line.strip_prefix("last-event-id:")?.trim().parse::<u64>().ok());
        if *self.availability.borrow() == Availability::Unresponsive {
            // Holds the connection until the manager closes it.
            while let Ok(1..) = stream.read(&mut buffer).await {}
            return;
        }
        let mut text = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec();
        let (now, mut sent_changes) = (self.context.now(), vec![]);
        for event in
            self.events.borrow().iter().filter(|event| event.number > last_event_number.unwrap_or_default())
        {
            text.extend(event.text.as_bytes());
            sent_changes.extend(&event.changes);
        }
        sent_changes.iter().for_each(|change| self.record_notification(*change, now));
        let (output, mut to_write) = mpsc::unbounded_channel();
        output.send(text).ok();
        self.watches.borrow_mut().push(Watch { output, silent_since: None });
        let mut generation_changes = self.address_generation.subscribe();
        let close_after_move = async {
            let dropped = generation_changes.wait_for(|now| *now != address_generation).await.is_err();
            if !dropped {
                sleep(OLD_ADDRESS_CLOSE_DELAY).await;
            }
        };
        let write_output = async {
            while let Some(bytes) = to_write.recv().await {
                if bytes.is_empty() || stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! { () = close_after_move => {}, () = write_output => {} }
    }

    /// Sends comments on all open watches.
    async fn send_comments(self: Rc<Self>) {
        loop {
            sleep(COMMENT_INTERVAL).await;
            let watches = self.watches.borrow();
            let open_watches = watches.iter().filter(|open_watch| open_watch.silent_since.is_none());
            open_watches.for_each(|open_watch| drop(open_watch.output.send(b": here\n\n".to_vec())));
        }
    }

    /// Records that the manager counts as notified of a phase change from `at` on, or earlier if already
    /// recorded.
    fn record_notification(&self, change: usize, at: Duration) {
        let incarnation = self.context.current_incarnation(self.manager);
        let mut observations = self.context.observations.borrow_mut();
        let notified_at =
            observations.phase_changes[change].notified_at.entry((self.manager, incarnation)).or_insert(at);
        *notified_at = (*notified_at).min(at);
    }

    /// Drops all events as the manager starts: numbers restart, and the list in its configuration is event 1.
    /// What befell the watches of the process before doesn't concern this one.
    pub fn restart_events(&self) {
        self.events.borrow_mut().clear();
        self.watches.borrow_mut().clear();
        self.broken_at.set(None);
        self.moved_at.set(None);
    }

    /// Publishes changed members: stores the event and sends it on open watches.
    pub fn publish(&self, members: &[Value], changes: &[usize]) {
        self.publish_event(members, changes, false);
    }

    /// Publishes the whole server list; servers missing from it are gone.
    pub fn publish_full_list(&self, members: &[Value]) {
        self.publish_event(members, &[], true);
    }

    /// Stores an event, sends it on open watches, and records from when it counts as received.
    fn publish_event(&self, members: &[Value], changes: &[usize], complete: bool) {
        let now = self.context.now();
        let number = self.events.borrow().last().map_or(2, |event| event.number + 1);
        let event = super::discovery_event(number, complete, members);
        let text = format!("id: {number}\ndata: {event}\n\n");
        self.events.borrow_mut().push(Event { number, text: text.clone(), changes: changes.to_vec() });
        let mut at = now + FAILURE_NOTICE_DELAY;
        let mut watches = self.watches.borrow_mut();
        watches.retain(|open_watch| !open_watch.output.is_closed());
        for open_watch in watches.iter() {
            let received_at = match open_watch.silent_since {
                Some(since) => now.max(since + SILENCE_NOTICE_DELAY),
                None if open_watch.output.send(text.clone().into_bytes()).is_ok() => now,
                None => continue,
            };
            at = at.min(received_at);
        }
        let after = |event_at: Option<Duration>, delay| event_at.map(|event_at| now.max(event_at + delay));
        let reachable = *self.availability.borrow() == Availability::Available;
        if reachable {
            let after_move = after(self.moved_at.get(), HANGUP_NOTICE_DELAY);
            at = after(self.broken_at.get(), BREAK_NOTICE_DELAY)
                .into_iter()
                .chain(after_move)
                .fold(at, Duration::min);
        }
        if reachable || at < now + FAILURE_NOTICE_DELAY {
            changes.iter().for_each(|change| self.record_notification(*change, at));
        }
    }

    /// Begins an outage: refuses connections, or leaves them unanswered if `mute`, and closes open watches.
    pub fn take_down(&self, mute: bool) {
        self.availability.send_replace(if mute {
            Availability::Unresponsive
        } else {
            Availability::Refusing
        });
        self.close_watches();
    }

    /// Ends an outage: the manager counts as notified of all stored events after the failure timeout.
    pub fn bring_up(&self) {
        self.availability.send_replace(Availability::Available);
        self.broken_at.set(None);
        let all: Vec<_> = self.events.borrow().iter().flat_map(|event| event.changes.clone()).collect();
        let at = self.context.now() + FAILURE_NOTICE_DELAY;
        all.into_iter().for_each(|change| self.record_notification(change, at));
    }

    /// Closes all open watches.
    fn close_watches(&self) {
        self.watches.borrow_mut().drain(..).for_each(|open_watch| drop(open_watch.output.send(vec![])));
    }

    /// Stops sending on all open watches, which stay open.
    pub fn silence_watches(&self) {
        let now = self.context.now();
        for open_watch in self.watches.borrow_mut().iter_mut() {
            open_watch.silent_since.get_or_insert(now);
        }
    }

    /// Closes all open watches in the middle of an event.
    pub fn break_watches(&self) {
        let half_event = b"id: 9\ndata: {\"offset\":9,".to_vec();
        self.watches.borrow().iter().for_each(|open_watch| drop(open_watch.output.send(half_event.clone())));
        if *self.availability.borrow() == Availability::Available {
            self.broken_at.set(Some(self.context.now()));
        }
        self.close_watches();
    }

    /// Moves to another address and returns it; the old address sends nothing more.
    ///
    /// # Errors
    /// No socket is available.
    pub async fn move_address(self: &Rc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(own_address()).await?;
        self.address.set(listener.local_addr()?);
        self.silence_watches();
        self.address_generation.send_modify(|generation| *generation += 1);
        spawn_local(self.clone().accept_connections(listener, *self.address_generation.borrow()));
        Ok(self.address.get())
    }

    /// Records that the manager has been notified of the move.
    pub fn record_move_notice(&self) {
        self.moved_at.set(Some(self.context.now()));
    }
}
