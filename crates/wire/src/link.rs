//! QUIC endpoints under mutual TLS.
//!
//! Every process holds a certificate from one private authority, and accepts and
//! connects only to holders of such certificates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::error::{Error, ErrorCode, Result};

/// The name that every process's certificate carries.
pub const SERVER_NAME: &str = "guavaspread.internal";

const ALPN: &[u8] = b"guavaspread/1";
const IDLE_TIMEOUT_MS: u32 = 3_000;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const STREAMS_PER_CONNECTION_MAX: u32 = 4_096;

/// Holds a process's certificate chain, key and the authority it trusts.
#[derive(Clone)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: Arc<PrivateKeyDer<'static>>,
    roots: Arc<rustls::RootCertStore>,
}

impl Identity {
    /// Reads an identity from PEM texts.
    ///
    /// # Errors
    ///
    /// Fails when one of the texts holds no certificate or key.
    pub fn from_pem(authority: &[u8], chain: &[u8], key: &[u8]) -> Result<Self> {
        let bad = |e: &dyn std::fmt::Display| Error::new(ErrorCode::BadIdentity, e);
        let chain = certificates(chain)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(|e| bad(&e))?;
        let mut roots = rustls::RootCertStore::empty();
        for authority in certificates(authority)? {
            roots.add(authority).map_err(|e| bad(&e))?;
        }
        Ok(Identity { chain, key: Arc::new(key), roots: Arc::new(roots) })
    }
}

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let found: std::result::Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let found = found.map_err(|e| Error::new(ErrorCode::BadIdentity, e))?;
    if found.is_empty() {
        return Err(Error::new(ErrorCode::BadIdentity, "no certificate in the PEM text"));
    }
    Ok(found)
}

fn transport() -> Arc<TransportConfig> {
    let mut cfg = TransportConfig::default();
    cfg.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    cfg.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    cfg.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_PER_CONNECTION_MAX));
    Arc::new(cfg)
}

/// Opens an endpoint that accepts and makes connections.
///
/// # Errors
///
/// Fails when the identity is unusable or the address is taken.
pub fn server_endpoint(identity: &Identity, address: SocketAddr) -> Result<Endpoint> {
    let bad = |e: &dyn std::fmt::Display| Error::new(ErrorCode::BadIdentity, e);
    let verifier = WebPkiClientVerifier::builder_with_provider(identity.roots.clone(), provider())
        .build()
        .map_err(|e| bad(&e))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|e| bad(&e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| bad(&e))?;
    let mut cfg = ServerConfig::with_crypto(Arc::new(crypto));
    cfg.transport_config(transport());
    let mut endpoint =
        Endpoint::server(cfg, address).map_err(|e| Error::new(ErrorCode::Bind, e))?;
    endpoint.set_default_client_config(client_config(identity)?);
    Ok(endpoint)
}

/// Opens an endpoint that only makes connections.
///
/// # Errors
///
/// Fails when the identity is unusable or no socket can be had.
pub fn client_endpoint(identity: &Identity, address: SocketAddr) -> Result<Endpoint> {
    let mut endpoint = Endpoint::client(address).map_err(|e| Error::new(ErrorCode::Bind, e))?;
    endpoint.set_default_client_config(client_config(identity)?);
    Ok(endpoint)
}

fn client_config(identity: &Identity) -> Result<ClientConfig> {
    let bad = |e: &dyn std::fmt::Display| Error::new(ErrorCode::BadIdentity, e);
    let mut tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_root_certificates(identity.roots.clone())
        .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|e| bad(&e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|e| bad(&e))?;
    let mut cfg = ClientConfig::new(Arc::new(crypto));
    cfg.transport_config(transport());
    Ok(cfg)
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
