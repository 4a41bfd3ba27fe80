//! The configuration: organisations, adapters, request classes and services.
//!
//! A [`Config`] is the result of applying [`Change`]s in the order of their
//! revisions, so hosts at the same revision have equal configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, ErrorCode, Result};
use crate::{AdapterVersion, Name};

/// The class of a request that does not name one.
pub const DEFAULT_CLASS: &str = "interactive";

const DEADLINE_MS_MAX: u32 = 3_600_000;

/// The SHA-256 hash of a bearer key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &str) -> Self {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::new(ErrorCode::InvalidKeyHash, text);
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| invalid())?;
        }
        Ok(KeyHash(bytes))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

/// The precedence of a request when capacity is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A user waits for the response.
    Interactive,
    /// A user reads the response soon, but does not wait for it.
    Draft,
    /// The response is needed by the next morning.
    Overnight,
}

/// The settings of a request class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestClass {
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The value of a completed request, relative to other classes.
    pub worth: u32,
    /// The time limit for the complete response, in milliseconds.
    pub deadline_ms: u32,
    /// The priority in an engine's queue.
    pub priority: Priority,
}

/// An adapter of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Adapter {
    /// The base model from which the adapter was fine-tuned.
    pub base: Name,
    /// The class of the adapter's requests that do not name a class.
    pub class: Option<Name>,
    /// The registered versions.
    pub versions: BTreeSet<u32>,
    /// The version that stays loaded regardless of its demand, if any.
    pub pinned: Option<u32>,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Organisation {
    /// The hashes of the organisation's bearer keys.
    pub keys: BTreeSet<KeyHash>,
    /// The organisation's adapters by name.
    pub adapters: BTreeMap<Name, Adapter>,
}

/// The request class of one path prefix of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceRoute {
    /// The path prefix below `/services/NAME`.
    pub path: String,
    /// The class of requests with this prefix.
    pub class: Name,
}

/// A service without a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// The routes; the longest matching prefix determines the class.
    pub routes: Vec<ServiceRoute>,
}

impl Service {
    /// Returns the class of requests to `path`.
    pub fn class_of(&self, path: &str) -> Option<&Name> {
        let matching = self.routes.iter().filter(|route| path.starts_with(&route.path));
        matching.max_by_key(|route| route.path.len()).map(|route| &route.class)
    }
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates an organisation.
    CreateOrganisation {
        /// The organisation.
        organisation: Name,
    },
    /// Removes an organisation and its adapters.
    RemoveOrganisation {
        /// The organisation.
        organisation: Name,
    },
    /// Authorizes a key for an organisation.
    AddKey {
        /// The organisation.
        organisation: Name,
        /// The hash of the key.
        hash: KeyHash,
    },
    /// Revokes a key.
    RemoveKey {
        /// The organisation.
        organisation: Name,
        /// The hash of the key.
        hash: KeyHash,
    },
    /// Registers an adapter without versions.
    RegisterAdapter {
        /// The organisation.
        organisation: Name,
        /// The adapter.
        adapter: Name,
        /// The adapter's base model.
        base: Name,
        /// The class of the adapter's requests that do not name a class.
        class: Option<Name>,
    },
    /// Registers a version of an adapter.
    RegisterVersion {
        /// The adapter at that version.
        adapter: AdapterVersion,
    },
    /// Removes a version of an adapter.
    RemoveVersion {
        /// The adapter at that version.
        adapter: AdapterVersion,
    },
    /// Pins a version, so that it stays loaded.
    Pin {
        /// The adapter at that version.
        adapter: AdapterVersion,
    },
    /// Unpins an adapter, whichever version is pinned.
    Unpin {
        /// The adapter; its version is ignored.
        adapter: AdapterVersion,
    },
    /// Declares a request class or replaces its settings.
    DeclareClass {
        /// The class.
        class: Name,
        /// The settings of the class.
        policy: RequestClass,
    },
    /// Declares or replaces the class of a service's path prefix.
    DeclareRoute {
        /// The service.
        service: Name,
        /// The path prefix.
        path: String,
        /// The class.
        class: Name,
    },
    /// Stops sending new requests to a host.
    Drain {
        /// The host.
        host: Name,
    },
    /// Sends new requests to a drained host again.
    Undrain {
        /// The host.
        host: Name,
    },
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Config {
    /// The revision of the last applied change.
    pub revision: u64,
    /// Organisations by name; a change copies only the organisation that it modifies.
    pub organisations: BTreeMap<Name, Arc<Organisation>>,
    /// The organisation of each key.
    pub key_owners: Arc<BTreeMap<KeyHash, Name>>,
    /// Request classes by name.
    pub classes: BTreeMap<Name, RequestClass>,
    /// Services without a model, by name.
    pub services: BTreeMap<Name, Service>,
    /// Hosts that receive no new requests.
    pub drained: BTreeSet<Name>,
}

impl Config {
    /// Returns the organisation of a key.
    pub fn organisation_for_key(&self, key: &KeyHash) -> Option<&Name> {
        self.key_owners.get(key)
    }

    /// Returns an adapter if the version is registered.
    pub fn adapter(&self, adapter: &AdapterVersion) -> Option<&Adapter> {
        let org = self.organisations.get(adapter.organisation())?;
        org.adapters.get(adapter.adapter()).filter(|a| a.versions.contains(&adapter.version()))
    }

    /// Returns the settings of a class; [`DEFAULT_CLASS`] exists even if it is not declared.
    pub fn request_class(&self, class: &str) -> Option<RequestClass> {
        let declared = Name::new(class).ok().and_then(|name| self.classes.get(&name).cloned());
        declared.or_else(|| (class == DEFAULT_CLASS).then(default_class))
    }

    /// Applies all changes in order, or none of them.
    ///
    /// # Errors
    ///
    /// Fails on the first change that can't be applied; `self` is then unmodified.
    pub fn apply_all(&mut self, changes: &[Change], revision: u64) -> Result<()> {
        let mut next = self.clone();
        changes.iter().try_for_each(|change| next.apply(change))?;
        next.revision = revision;
        *self = next;
        Ok(())
    }

    /// Applies one change in place; the revision stays the same.
    ///
    /// # Errors
    ///
    /// Fails when the change refers to an object that does not exist, creates one that exists,
    /// or contains a value that is out of range.
    pub fn apply(&mut self, change: &Change) -> Result<()> {
        match change {
            Change::CreateOrganisation { organisation } => self.create_organisation(organisation),
            Change::RemoveOrganisation { organisation } => {
                let removed = self.organisations.remove(organisation);
                removed.ok_or_else(|| unknown_organisation(organisation))?;
                Arc::make_mut(&mut self.key_owners).retain(|_, owner| owner != organisation);
                Ok(())
            }
            Change::AddKey { organisation, hash } => self.add_key(organisation, *hash),
            Change::RemoveKey { organisation, hash } => {
                self.organisation_mut(organisation)?.keys.remove(hash);
                Arc::make_mut(&mut self.key_owners).remove(hash);
                Ok(())
            }
            Change::RegisterAdapter { organisation, adapter, base, class } => {
                self.register_adapter(organisation, adapter, base, class.as_ref())
            }
            Change::RegisterVersion { adapter } => {
                self.adapter_mut(adapter)?.versions.insert(adapter.version());
                Ok(())
            }
            Change::RemoveVersion { adapter } => self.remove_version(adapter),
            Change::Pin { adapter } => {
                let found = self.adapter_mut(adapter)?;
                if !found.versions.contains(&adapter.version()) {
                    return Err(Error::new(ErrorCode::UnknownAdapter, adapter));
                }
                found.pinned = Some(adapter.version());
                Ok(())
            }
            Change::Unpin { adapter } => {
                self.adapter_mut(adapter)?.pinned = None;
                Ok(())
            }
            Change::DeclareClass { class, policy } => self.declare_class(class, policy),
            Change::DeclareRoute { service, path, class } => {
                self.declare_route(service, path, class)
            }
            Change::Drain { host } => {
                self.drained.insert(host.clone());
                Ok(())
            }
            Change::Undrain { host } => {
                self.drained.remove(host);
                Ok(())
            }
        }
    }

    fn create_organisation(&mut self, organisation: &Name) -> Result<()> {
        if self.organisations.contains_key(organisation) {
            return Err(Error::new(ErrorCode::AlreadyExists, organisation));
        }
        self.organisations.insert(organisation.clone(), Arc::default());
        Ok(())
    }

    fn add_key(&mut self, organisation: &Name, hash: KeyHash) -> Result<()> {
        if self.key_owners.get(&hash).is_some_and(|owner| owner != organisation) {
            return Err(Error::new(ErrorCode::AlreadyExists, hash));
        }
        self.organisation_mut(organisation)?.keys.insert(hash);
        Arc::make_mut(&mut self.key_owners).insert(hash, organisation.clone());
        Ok(())
    }

    fn register_adapter(
        &mut self,
        organisation: &Name,
        adapter: &Name,
        base: &Name,
        class: Option<&Name>,
    ) -> Result<()> {
        if let Some(class) = class {
            self.request_class(class.as_str())
                .ok_or_else(|| Error::new(ErrorCode::UnknownClass, class))?;
        }
        let org = self.organisation_mut(organisation)?;
        if org.adapters.contains_key(adapter) {
            return Err(Error::new(
                ErrorCode::AlreadyExists,
                format_args!("{organisation}/{adapter}"),
            ));
        }
        let value = Adapter {
            base: base.clone(),
            class: class.cloned(),
            versions: BTreeSet::new(),
            pinned: None,
        };
        org.adapters.insert(adapter.clone(), value);
        Ok(())
    }

    fn remove_version(&mut self, adapter: &AdapterVersion) -> Result<()> {
        let found = self.adapter_mut(adapter)?;
        if !found.versions.remove(&adapter.version()) {
            return Err(Error::new(ErrorCode::UnknownAdapter, adapter));
        }
        if found.pinned == Some(adapter.version()) {
            found.pinned = None;
        }
        Ok(())
    }

    fn declare_class(&mut self, class: &Name, policy: &RequestClass) -> Result<()> {
        if policy.deadline_ms == 0 || policy.deadline_ms > DEADLINE_MS_MAX {
            let subject = format_args!("deadline {} ms", policy.deadline_ms);
            return Err(Error::new(ErrorCode::OutOfRange, subject));
        }
        self.classes.insert(class.clone(), policy.clone());
        Ok(())
    }

    fn declare_route(&mut self, service: &Name, path: &str, class: &Name) -> Result<()> {
        self.request_class(class.as_str())
            .ok_or_else(|| Error::new(ErrorCode::UnknownClass, class))?;
        let routes = &mut self.services.entry(service.clone()).or_default().routes;
        routes.retain(|route| route.path != path);
        routes.push(ServiceRoute { path: path.to_owned(), class: class.clone() });
        Ok(())
    }

    fn organisation_mut(&mut self, organisation: &Name) -> Result<&mut Organisation> {
        let found = self.organisations.get_mut(organisation).map(Arc::make_mut);
        found.ok_or_else(|| unknown_organisation(organisation))
    }

    fn adapter_mut(&mut self, adapter: &AdapterVersion) -> Result<&mut Adapter> {
        let org = self.organisation_mut(adapter.organisation())?;
        let found = org.adapters.get_mut(adapter.adapter());
        found.ok_or_else(|| Error::new(ErrorCode::UnknownAdapter, adapter))
    }
}

fn unknown_organisation(organisation: &Name) -> Error {
    Error::new(ErrorCode::UnknownOrganisation, organisation)
}

fn default_class() -> RequestClass {
    RequestClass {
        repeatable: true,
        worth: 10,
        deadline_ms: 30_000,
        priority: Priority::Interactive,
    }
}
