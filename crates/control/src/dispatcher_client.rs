//! A client of the dispatchers, over QUIC connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use guavaspread_store::{HttpPlatformClient, PlatformClient};
use guavaspread_wire::{
    DispatcherRequest, FrameReceiver, FrameSender, Identity, SERVER_NAME, client_endpoint,
};
use quinn::{Connection, Endpoint};
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Creates the platform client and the dispatcher client of a control thread.
///
/// # Errors
///
/// Returns an error if a client can't be created or the identity is invalid.
pub async fn open_clients(
    platform: SocketAddr,
    identity: &Identity,
    source: IpAddr,
) -> Result<(Rc<dyn PlatformClient>, Rc<DispatcherClient>), String> {
    let platform = HttpPlatformClient::new(platform).await.map_err(|e| e.to_string())?;
    let dispatcher_client = DispatcherClient::new(identity, source).map_err(|e| e.to_string())?;
    Ok((Rc::new(platform), Rc::new(dispatcher_client)))
}

/// The reason why no stream could be opened or the request could not be sent on it.
#[derive(Debug)]
pub enum OpenError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been sent, and the peer may have acted on it.
    MaybeSent(String),
}

/// A client of the dispatchers for one thread; must be created inside that thread's runtime.
pub struct DispatcherClient {
    endpoint: Endpoint,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::NotSent(detail) | OpenError::MaybeSent(detail) => f.write_str(detail),
        }
    }
}

impl DispatcherClient {
    /// Creates an endpoint that connects from the address `source`.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity is invalid or the socket can't be bound.
    pub fn new(identity: &Identity, source: IpAddr) -> guavaspread_wire::Result<Self> {
        let endpoint = client_endpoint(identity, SocketAddr::from((source, 0)))?;
        Ok(DispatcherClient { endpoint, connections: RefCell::default() })
    }

    /// Opens a stream to a dispatcher and sends `request` on it.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection or stream can be opened or sending fails. The error says
    /// whether `request` may have been sent.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        request: &DispatcherRequest,
    ) -> Result<FrameReceiver, OpenError> {
        let connection = self.connection(address).await.map_err(OpenError::NotSent)?;
        let opened = ntex::time::timeout(CONNECT_TIMEOUT, connection.open_bi()).await;
        let Ok(Ok((tx, rx))) = opened else {
            self.drop_connection(address);
            return Err(OpenError::NotSent(format!("could not open a stream to {address}")));
        };
        let mut tx = FrameSender::new(tx);
        tx.send(request).await.map_err(|e| OpenError::MaybeSent(e.to_string()))?;
        tx.finish();
        Ok(FrameReceiver::new(rx))
    }

    /// Sends `request` to a dispatcher and returns its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is unreachable or does not respond in time.
    pub async fn request<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &DispatcherRequest,
    ) -> Result<T, String> {
        let response = async {
            let mut rx = self.open_stream(address, request).await.map_err(|e| e.to_string())?;
            let response = rx.recv::<T>().await.map_err(|e| e.to_string())?;
            response.ok_or_else(|| "the peer closed the stream without a response".to_owned())
        };
        match ntex::time::timeout(REQUEST_TIMEOUT, response).await {
            Ok(response) => response,
            Err(()) => {
                self.drop_connection(address);
                Err(format!("{address} did not respond in time"))
            }
        }
    }

    /// Drops the cached connection to `address`, so that the next stream opens a new one.
    pub fn drop_connection(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, String> {
        let cached = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = cached.filter(|c| c.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, SERVER_NAME).map_err(|e| e.to_string())?;
        match ntex::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => {
                self.connections.borrow_mut().insert(address, connection.clone());
                Ok(connection)
            }
            Ok(Err(e)) => Err(format!("could not connect to {address}: {e}")),
            Err(()) => Err(format!("{address} did not accept a connection in time")),
        }
    }
}
