//! Questions to other entry hosts, and theirs to this one.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::channel::{connect, set_options};
use crate::message::{Answer, Ask, Reply};
use crate::prelude::*;
use crate::state::Entry;

/// A question is a few hundred bytes at most.
const FRAME_BYTES_MAX: usize = 4_096;
/// Questions waiting to be written to one peer; beyond that the peer is stuck.
const QUEUE_MAX: usize = 256;
/// How long an answer may take beyond the wait that the question allows.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

type Question = (Ask, oneshot::Sender<Answer>);

/// Keeps a connection to each peer that was asked.
#[derive(Default)]
pub(crate) struct Peers {
    links: RefCell<HashMap<SocketAddr, mpsc::Sender<Question>>>,
}

impl Peers {
    /// Asks the host at `address`; `None` if it does not answer in time.
    pub(crate) async fn ask(self: &Rc<Self>, address: SocketAddr, ask: Ask) -> Option<Answer> {
        let limit = Duration::from_millis(ask.wait_ms.into()) + ANSWER_MARGIN;
        let (reply, answer) = oneshot::channel();
        self.link(address).try_send((ask, reply)).ok()?;
        match tokio::time::timeout(limit, answer).await {
            Ok(answer) => answer.ok(),
            Err(_) => {
                // The connection may have gone silent; the next question opens another.
                log::warn!("entry host {address} did not answer in {} ms", limit.as_millis());
                self.links.borrow_mut().remove(&address);
                None
            }
        }
    }

    fn link(self: &Rc<Self>, address: SocketAddr) -> mpsc::Sender<Question> {
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

/// Drives one connection until it breaks or its last user is gone.
async fn run_link(address: SocketAddr, mut questions: mpsc::Receiver<Question>) {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("entry host {address} can't be reached: {e}");
            return;
        }
    };
    let mut framed = Framed::new(stream, codec());
    let mut open: HashMap<u32, oneshot::Sender<Answer>> = HashMap::new();
    let mut number: u32 = 0;
    loop {
        tokio::select! {
            question = questions.recv() => {
                let Some((mut ask, reply)) = question else { return };
                number = number.wrapping_add(1);
                ask.number = number;
                open.insert(number, reply);
                let Ok(frame) = postcard::to_stdvec(&ask) else { continue };
                if framed.send(Bytes::from(frame)).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                match postcard::from_bytes::<Reply>(&frame) {
                    Ok(reply) => {
                        if let Some(asker) = open.remove(&reply.number) {
                            // An asker that has given up needs no answer.
                            let _ = asker.send(reply.answer);
                        }
                    }
                    Err(e) => {
                        log::warn!("entry host {address} sent what can't be read: {e}");
                        return;
                    }
                }
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
    let (tx, mut rx) = mpsc::channel::<Reply>(QUEUE_MAX);
    let writer = tokio::task::spawn_local(async move {
        while let Some(reply) = rx.recv().await {
            let Ok(frame) = postcard::to_stdvec(&reply) else { continue };
            if sink.send(Bytes::from(frame)).await.is_err() {
                return;
            }
        }
    });
    while let Some(Ok(frame)) = frames.next().await {
        let Ok(ask) = postcard::from_bytes::<Ask>(&frame) else {
            log::warn!("a peer sent what can't be read");
            break;
        };
        let (entry, tx) = (entry.clone(), tx.clone());
        tokio::task::spawn_local(async move {
            let number = ask.number;
            let answer = entry.orders.answer(&entry, &ask).await;
            // A peer that has gone needs no answer.
            let _ = tx.send(Reply { number, answer }).await;
        });
    }
    drop(tx);
    // The writer ends with its connection.
    let _ = writer.await;
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
