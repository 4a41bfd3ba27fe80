//! Questions to other entry hosts, and theirs to this one.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use guavaspread_fleet::HostLease;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::channel::{connect, set_options};
use crate::message::{
    Answer, Ask, CrashNews, CrashReply, FromOwner, RenewAsk, Renewal, Reply, ToOwner,
};
use crate::orders::Use;
use crate::prelude::*;
use crate::relays;
use crate::state::Entry;

/// The largest frame: a configuration of many routes.
const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Questions waiting to be written to one peer; beyond that the peer is stuck.
const QUEUE_MAX: usize = 256;
/// How long a peer may take to say anything; one that waits for a load says so.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer that waits for a load may be silent: two and a half of its signs of life.
const WAIT_SILENCE_MAX: Duration = Duration::from_millis(400);
/// Answers to a question that may wait to be read: a load's signs of life, and the last one.
const ANSWERS_MAX: usize = 32;
/// How long the last answer may take beyond the wait that the question allows.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// How long a delegate may take to renew a lease: it waits for other hosts' renewals, and the
/// store for its table's other writes.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a peer may take to take word of contents over.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a peer that said nothing is not asked again.
const SILENT_FOR: Duration = Duration::from_millis(1_500);

/// Takes the answers to a question, and its number.
type Asker = mpsc::Sender<(Answer, u32)>;

enum Outgoing {
    Ask(Ask, Asker),
    Read(u32),
    Done(u32),
    Renew(HostLease, oneshot::Sender<Option<Renewal>>),
    Crashes(CrashNews, oneshot::Sender<CrashReply>),
}

/// Keeps a connection to each peer that was asked.
#[derive(Default)]
pub(crate) struct Peers {
    links: RefCell<HashMap<SocketAddr, mpsc::Sender<Outgoing>>>,
    silent_until: RefCell<HashMap<SocketAddr, Duration>>,
}

/// Tells the owner of an engine's orders, when dropped, that a request has ended.
pub(crate) struct Granted {
    link: mpsc::Sender<Outgoing>,
    number: u32,
}

impl Granted {
    /// Tells the owner that the request's first token has come.
    pub(crate) fn on_read(&self) {
        if self.link.try_send(Outgoing::Read(self.number)).is_err() {
            log::debug!("an owner was not told of a first token; its connection is gone");
        }
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        if self.link.try_send(Outgoing::Done(self.number)).is_err() {
            log::debug!("an owner was not told of a request's end; its connection is gone");
        }
    }
}

impl Peers {
    /// Asks the host at `address`; `None` if it does not answer in time.
    pub(crate) async fn ask(
        self: &Rc<Self>,
        address: SocketAddr,
        ask: Ask,
        clock: Clock,
    ) -> Option<(Answer, Option<Granted>)> {
        let silent_until = self.silent_until.borrow().get(&address).copied();
        if silent_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let limit = Duration::from_millis(ask.wait_ms.into()) + ANSWER_MARGIN;
        let until = clock.now() + limit;
        let (asker, mut answers) = mpsc::channel(ANSWERS_MAX);
        let link = self.link(address);
        link.try_send(Outgoing::Ask(ask, asker)).ok()?;
        let mut timeout = FIRST_ANSWER_TIMEOUT;
        loop {
            match tokio::time::timeout(timeout, answers.recv()).await {
                Ok(Some((Answer::Loading, _))) => {
                    timeout = until.saturating_sub(clock.now()).min(WAIT_SILENCE_MAX);
                }
                Ok(Some((answer, number))) => {
                    let granted = matches!(answer, Answer::Granted { .. });
                    return Some((answer, granted.then(|| Granted { link, number })));
                }
                Ok(None) => {
                    self.on_silent(address, clock);
                    return None;
                }
                Err(_) => {
                    log::warn!("entry host {address} said nothing in {} ms", timeout.as_millis());
                    self.on_silent(address, clock);
                    return None;
                }
            }
        }
    }

    /// Asks the host at `address` to renew a lease; `None` if it does not.
    pub(crate) async fn renew(
        self: &Rc<Self>,
        address: SocketAddr,
        lease: HostLease,
        clock: Clock,
    ) -> Option<Renewal> {
        let silent_until = self.silent_until.borrow().get(&address).copied();
        if silent_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (asker, answer) = oneshot::channel();
        self.link(address).try_send(Outgoing::Renew(lease, asker)).ok()?;
        match tokio::time::timeout(RENEW_TIMEOUT, answer).await {
            Ok(Ok(renewal)) => renewal,
            Ok(Err(_)) => None,
            Err(_) => {
                // It may wait for the store: that is no reason to leave it alone.
                log::warn!("entry host {address} did not renew a lease in time");
                None
            }
        }
    }

    /// Tells the host at `address` of contents under which servers ended; `None` if it does not
    /// answer.
    pub(crate) async fn tell(
        self: &Rc<Self>,
        address: SocketAddr,
        news: CrashNews,
        clock: Clock,
    ) -> Option<CrashReply> {
        let silent_until = self.silent_until.borrow().get(&address).copied();
        if silent_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (asker, answer) = oneshot::channel();
        self.link(address).try_send(Outgoing::Crashes(news, asker)).ok()?;
        match tokio::time::timeout(TELL_TIMEOUT, answer).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Rests from a peer; the next question opens another connection.
    fn on_silent(&self, address: SocketAddr, clock: Clock) {
        self.links.borrow_mut().remove(&address);
        self.silent_until.borrow_mut().insert(address, clock.now() + SILENT_FOR);
    }

    fn link(self: &Rc<Self>, address: SocketAddr) -> mpsc::Sender<Outgoing> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&address).filter(|link| !link.is_closed()) {
            return link.clone();
        }
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        links.insert(address, tx.clone());
        tokio::task::spawn_local(run_link(address, rx));
        tx
    }
}

/// Holds the questions that are open on one connection.
#[derive(Default)]
struct Questions {
    asked: HashMap<u32, Asker>,
    renewals: HashMap<u32, oneshot::Sender<Option<Renewal>>>,
    told: HashMap<u32, oneshot::Sender<CrashReply>>,
    last: u32,
}

/// Tells what follows a peer's message.
enum Next {
    Listen,
    Send(ToOwner),
    /// It is none of what was asked for.
    Close,
}

impl Questions {
    /// Turns what this host has to say into a message; a question gets its number.
    fn open(&mut self, outgoing: Outgoing) -> ToOwner {
        match outgoing {
            Outgoing::Ask(mut ask, asker) => {
                ask.number = self.number();
                self.asked.insert(ask.number, asker);
                ToOwner::Ask(ask)
            }
            Outgoing::Renew(lease, asker) => {
                let number = self.number();
                self.renewals.retain(|_, asker| !asker.is_closed());
                self.renewals.insert(number, asker);
                ToOwner::Renew(RenewAsk { number, lease })
            }
            Outgoing::Crashes(mut news, asker) => {
                news.number = self.number();
                self.told.retain(|_, asker| !asker.is_closed());
                self.told.insert(news.number, asker);
                ToOwner::Crashes(news)
            }
            Outgoing::Read(number) => ToOwner::Read(number),
            Outgoing::Done(number) => ToOwner::Done(number),
        }
    }

    fn number(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.last
    }

    fn on_message(&mut self, message: FromOwner) -> Next {
        match message {
            FromOwner::Reply(reply) => self.on_reply(reply),
            FromOwner::Renewed { number, renewal } => {
                if let Some(asker) = self.renewals.remove(&number) {
                    // Who asked may have given it up.
                    let _ = asker.send(renewal);
                }
                Next::Listen
            }
            FromOwner::Crashes(reply) => {
                if let Some(asker) = self.told.remove(&reply.number) {
                    // Who told may have given it up.
                    let _ = asker.send(reply);
                }
                Next::Listen
            }
            FromOwner::News(_) => Next::Close,
        }
    }

    /// Passes an answer on; what was granted to one who has left is given back.
    fn on_reply(&mut self, Reply { number, answer }: Reply) -> Next {
        let unwanted = match self.asked.get(&number) {
            Some(asker) => asker.try_send((answer, number)).is_err(),
            None => true,
        };
        if answer != Answer::Loading {
            self.asked.remove(&number);
        }
        match answer {
            Answer::Granted { .. } if unwanted => Next::Send(ToOwner::Done(number)),
            _ => Next::Listen,
        }
    }
}

/// Drives one connection until it breaks or its last user is gone.
async fn run_link(address: SocketAddr, mut outgoing: mpsc::Receiver<Outgoing>) {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("entry host {address} can't be reached: {e}");
            return;
        }
    };
    let mut framed = Framed::new(stream, codec());
    let mut questions = Questions::default();
    loop {
        let next = tokio::select! {
            outgoing = outgoing.recv() => match outgoing {
                Some(outgoing) => Next::Send(questions.open(outgoing)),
                None => return,
            },
            frame = framed.next() => match frame {
                Some(Ok(frame)) => match postcard::from_bytes(&frame) {
                    Ok(message) => questions.on_message(message),
                    Err(_) => Next::Close,
                },
                Some(Err(_)) | None => return,
            },
        };
        match next {
            Next::Listen => {}
            Next::Send(message) => {
                if framed.send(frame(&message)).await.is_err() {
                    return;
                }
            }
            Next::Close => {
                log::warn!("entry host {address} sent what was not asked for");
                return;
            }
        }
    }
}

/// Answers the questions of peers until the process ends.
pub(crate) async fn serve(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_peer(entry.clone(), stream));
            }
            Err(e) => {
                log::warn!("a peer's connection was not accepted: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_peer(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(e) = set_options(&stream) {
        log::debug!("a peer's connection takes no options: {e}");
    }
    let (mut sink, mut frames) = Framed::new(stream, codec()).split();
    let (tx, mut rx) = mpsc::channel::<Bytes>(QUEUE_MAX);
    let writer = tokio::task::spawn_local(async move {
        while let Some(frame) = rx.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    });
    let peer = Peer { entry, tx, uses: Rc::default() };
    while let Some(Ok(received)) = frames.next().await {
        match postcard::from_bytes::<ToOwner>(&received) {
            Ok(message) => peer.on_message(message),
            Err(e) => {
                log::warn!("a peer sent what can't be read: {e}");
                break;
            }
        }
    }
    peer.uses.borrow_mut().clear();
    drop(peer);
    // The writer ends with its connection.
    let _ = writer.await;
}

/// Holds what a peer that has connected is answered with.
#[derive(Clone)]
struct Peer {
    entry: Rc<Entry>,
    tx: mpsc::Sender<Bytes>,
    /// What its requests use; all of it ends with the connection.
    uses: Rc<RefCell<HashMap<u32, Use>>>,
}

impl Peer {
    fn on_message(&self, message: ToOwner) {
        match message {
            ToOwner::Ask(ask) => {
                tokio::task::spawn_local(self.clone().answer(ask));
            }
            ToOwner::Read(number) => {
                if let Some(used) = self.uses.borrow().get(&number) {
                    used.on_read(self.entry.clock.now());
                }
            }
            ToOwner::Done(number) => {
                self.uses.borrow_mut().remove(&number);
            }
            ToOwner::Renew(ask) => {
                tokio::task::spawn_local(self.clone().renew(ask));
            }
            ToOwner::Crashes(news) => {
                let reply = FromOwner::Crashes(self.entry.on_crash_news(news));
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!("a peer that told of contents gets no answer");
                }
            }
            ToOwner::Watch => {
                tokio::task::spawn_local(relays::pass_on(self.entry.clone(), self.tx.clone()));
            }
        }
    }

    async fn answer(self, ask: Ask) {
        let number = ask.number;
        let on_wait = || {
            let loading = Reply { number, answer: Answer::Loading };
            if self.tx.try_send(frame(&FromOwner::Reply(loading))).is_err() {
                log::debug!("a peer was not told that a load takes time");
            }
        };
        let (answer, granted) = self.entry.orders.answer(&self.entry, &ask, on_wait).await;
        if let Some(granted) = granted {
            self.uses.borrow_mut().insert(number, granted);
        }
        let reply = FromOwner::Reply(Reply { number, answer });
        if self.tx.send(frame(&reply)).await.is_err() {
            self.uses.borrow_mut().remove(&number);
        }
    }

    async fn renew(self, RenewAsk { number, lease }: RenewAsk) {
        let renewal = self.entry.renewals.join(&self.entry, lease).await;
        let renewed = FromOwner::Renewed { number, renewal };
        if self.tx.send(frame(&renewed)).await.is_err() {
            log::debug!("a peer that asked for a renewal has left");
        }
    }
}

/// Encodes a message.
pub(crate) fn frame(message: &impl Serialize) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(frame) => frame.into(),
        Err(e) => {
            // An empty frame is read as nothing that was asked for.
            log::error!("a message to a peer can't be written: {e}");
            Bytes::new()
        }
    }
}

/// Frames messages by their length.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
