//! Discovery as one manager sees it: numbered events over an address of its own, counted from each start of the manager;
//! it goes down, mute or silent, breaks off, moves. For each change it is kept when that counts as told.

use super::seen::Shared;
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

/// A comment comes so often.
const COMMENTS: Duration = Duration::from_secs(1);
/// Connections that may wait to be accepted.
const QUEUE: u32 = 64;
/// What is told counts as told so long after a silence began, after a break, after SIGHUP, and after a call that failed or
/// was abandoned once discovery is reachable again.
const AFTER_SILENCE: Duration = Duration::from_secs(4);
const AFTER_BREAK: Duration = Duration::from_secs(2);
const AFTER_HANGUP: Duration = Duration::from_secs(4);
const AFTER_FAILURE: Duration = Duration::from_secs(6);
/// The old address closes open connections so long after a move.
const MOVED: Duration = Duration::from_millis(1500);

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serves {
    All,
    Refuses,
    /// Connections come up, and nothing is answered.
    Mute,
}

struct Reader {
    out: mpsc::UnboundedSender<Vec<u8>>,
    /// Since when it says nothing more.
    silent: Option<Duration>,
}

/// An event: its number, its text, and the changes that it tells of.
struct Event {
    number: u64,
    text: String,
    changes: Vec<usize>,
}

pub struct Discovery {
    manager: usize,
    harness: Shared,
    pub address: Cell<SocketAddr>,
    serves: watch::Sender<Serves>,
    events: RefCell<Vec<Event>>,
    readers: RefCell<Vec<Reader>>,
    /// The last break of an open watch, and the last move.
    broke: Cell<Option<Duration>>,
    moved: Cell<Option<Duration>>,
    /// Counts addresses that it had: an old one takes nothing new.
    turn: watch::Sender<u32>,
}

impl Discovery {
    /// # Errors
    /// No socket is to be had.
    pub async fn start(harness: &Shared, manager: usize) -> std::io::Result<Rc<Discovery>> {
        let listener = TcpListener::bind(own_address()).await?;
        let discovery = Rc::new(Discovery {
            manager,
            harness: harness.clone(),
            address: Cell::new(listener.local_addr()?),
            serves: watch::Sender::new(Serves::All),
            events: RefCell::default(),
            readers: RefCell::default(),
            broke: Cell::default(),
            moved: Cell::default(),
            turn: watch::Sender::new(0),
        });
        spawn_local(discovery.clone().listens(listener, 0));
        spawn_local(discovery.clone().comments());
        Ok(discovery)
    }

    async fn listens(self: Rc<Self>, mut listener: TcpListener, turn: u32) {
        let (mut serves, mut turned) = (self.serves.subscribe(), self.turn.subscribe());
        let address = self.address.get();
        loop {
            let how = *serves.borrow_and_update();
            if how == Serves::Refuses {
                drop(listener);
                if serves.changed().await.is_err() {
                    return;
                }
                listener = listen(address, QUEUE).await;
                continue;
            }
            tokio::select! {
                changed = serves.changed() => if changed.is_err() { return },
                _ = turned.wait_for(|now| *now != turn) => return,
                Ok((stream, _)) = listener.accept() => {
                    spawn_local(self.clone().serve(stream, turn));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, turn: u32) {
        let (mut head, mut piece) = (vec![], [0; 1024]);
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(read @ 1..) = stream.read(&mut piece).await else { return };
            head.extend(&piece[..read]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last =
            head.lines().find_map(|line| line.strip_prefix("last-event-id:")?.trim().parse::<u64>().ok());
        if *self.serves.borrow() == Serves::Mute {
            // Held until whoever called gives it up.
            while let Ok(1..) = stream.read(&mut piece).await {}
            return;
        }
        let mut text = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec();
        let (now, mut told) = (self.harness.now(), vec![]);
        for event in self.events.borrow().iter().filter(|event| event.number > last.unwrap_or_default()) {
            text.extend(event.text.as_bytes());
            told.extend(&event.changes);
        }
        told.iter().for_each(|change| self.counts_as_told(*change, now));
        let (out, mut written) = mpsc::unbounded_channel();
        out.send(text).ok();
        self.readers.borrow_mut().push(Reader { out, silent: None });
        let mut turned = self.turn.subscribe();
        let old = async {
            let ended = turned.wait_for(|now| *now != turn).await.is_err();
            if !ended {
                sleep(MOVED).await;
            }
        };
        let writes = async {
            while let Some(bytes) = written.recv().await {
                if bytes.is_empty() || stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! { () = old => {}, () = writes => {} }
    }

    async fn comments(self: Rc<Self>) {
        loop {
            sleep(COMMENTS).await;
            let readers = self.readers.borrow();
            let speak = readers.iter().filter(|reader| reader.silent.is_none());
            speak.for_each(|reader| drop(reader.out.send(b": here\n\n".to_vec())));
        }
    }

    fn counts_as_told(&self, change: usize, at: Duration) {
        let process = self.harness.process(self.manager);
        let mut seen = self.harness.seen.borrow_mut();
        let told = seen.changes[change].told.entry((self.manager, process)).or_insert(at);
        *told = (*told).min(at);
    }

    /// Events are counted from a start of the manager: what it was handed then has the number 1.
    pub fn begins(&self) {
        self.events.borrow_mut().clear();
        self.readers.borrow_mut().clear();
    }

    /// Holds an event from now on, and tells it to whoever watches.
    pub fn tell(&self, members: &[Value], changes: &[usize]) {
        self.tell_event(members, changes, false);
    }

    /// The same of the whole list: what it doesn't name is gone.
    pub fn tell_whole(&self, members: &[Value]) {
        self.tell_event(members, &[], true);
    }

    fn tell_event(&self, members: &[Value], changes: &[usize], complete: bool) {
        let now = self.harness.now();
        let number = self.events.borrow().last().map_or(2, |event| event.number + 1);
        let event = super::event(number, complete, members);
        let text = format!("id: {number}\ndata: {event}\n\n");
        self.events.borrow_mut().push(Event { number, text: text.clone(), changes: changes.to_vec() });
        let mut at = now + AFTER_FAILURE;
        let mut readers = self.readers.borrow_mut();
        readers.retain(|reader| !reader.out.is_closed());
        for reader in readers.iter() {
            let told = match reader.silent {
                Some(since) => now.max(since + AFTER_SILENCE),
                None if reader.out.send(text.clone().into_bytes()).is_ok() => now,
                None => continue,
            };
            at = at.min(told);
        }
        let after = |from: Option<Duration>, span| from.map(|from| now.max(from + span));
        let reachable = *self.serves.borrow() == Serves::All;
        if reachable {
            let moved = after(self.moved.get(), AFTER_HANGUP);
            at = after(self.broke.get(), AFTER_BREAK).into_iter().chain(moved).fold(at, Duration::min);
        }
        if reachable || at < now + AFTER_FAILURE {
            changes.iter().for_each(|change| self.counts_as_told(*change, at));
        }
    }

    /// Refuses or answers nothing; what stood breaks off.
    pub fn down(&self, mute: bool) {
        self.serves.send_replace(if mute { Serves::Mute } else { Serves::Refuses });
        self.ends_watches();
    }

    /// Reachable again: all that it holds counts as told some seconds later.
    pub fn up(&self) {
        self.serves.send_replace(Serves::All);
        self.broke.set(None);
        let all: Vec<_> = self.events.borrow().iter().flat_map(|event| event.changes.clone()).collect();
        let at = self.harness.now() + AFTER_FAILURE;
        all.into_iter().for_each(|change| self.counts_as_told(change, at));
    }

    fn ends_watches(&self) {
        self.readers.borrow_mut().drain(..).for_each(|reader| drop(reader.out.send(vec![])));
    }

    pub fn falls_silent(&self) {
        let now = self.harness.now();
        for reader in self.readers.borrow_mut().iter_mut() {
            reader.silent.get_or_insert(now);
        }
    }

    pub fn breaks_off(&self) {
        let half = b"id: 9\ndata: {\"offset\":9,".to_vec();
        self.readers.borrow().iter().for_each(|reader| drop(reader.out.send(half.clone())));
        if *self.serves.borrow() == Serves::All {
            self.broke.set(Some(self.harness.now()));
        }
        self.ends_watches();
    }

    /// Listens at another address; the old one tells nothing more. The new address.
    ///
    /// # Errors
    /// No socket is to be had.
    pub async fn moves(self: &Rc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(own_address()).await?;
        self.address.set(listener.local_addr()?);
        self.falls_silent();
        self.turn.send_modify(|turn| *turn += 1);
        spawn_local(self.clone().listens(listener, *self.turn.borrow()));
        Ok(self.address.get())
    }

    /// The manager was told of the move by now.
    pub fn move_told(&self) {
        self.moved.set(Some(self.harness.now()));
    }
}
