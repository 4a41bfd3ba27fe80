//! What operators declared: organisations, adapters, request classes and services.
//!
//! A [`Config`] is the result of applying [`Change`]s in the order of their
//! revisions, so two hosts at the same revision hold the same value.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, ErrorCode, Result};
use crate::{AdapterVersion, Name};

/// The class of a request that names none.
pub const DEFAULT_CLASS: &str = "interactive";

const DEADLINE_MS_MAX: u32 = 3_600_000;

/// Holds the SHA-256 of a bearer key; the key itself is never kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as presented by a caller.
    pub fn of(key: &str) -> Self {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::new(ErrorCode::BadKeyHash, text);
        if text.len() != 64 || !text.is_ascii() {
            return Err(bad());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| bad())?;
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

/// Orders kinds of work when there is not enough room for all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody is waiting at the other end.
    Interactive,
    /// Somebody will look at it soon.
    Draft,
    /// It is due by morning.
    Overnight,
}

/// Describes how requests of one class are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestClass {
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// What one answered request is worth, against the others.
    pub worth: u32,
    /// How long the whole answer may take, in milliseconds.
    pub deadline_ms: u32,
    /// Which work goes first.
    pub priority: Priority,
}

/// Describes one adapter of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Adapter {
    /// The base model that it was fine-tuned from.
    pub base: Name,
    /// The class of its requests that name none.
    pub class: Option<Name>,
    /// The versions that may be named.
    pub versions: BTreeSet<u32>,
    /// The version kept loaded whatever its demand.
    pub pinned: Option<u32>,
}

/// Describes one organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Organisation {
    /// The hashes of its bearer keys.
    pub keys: BTreeSet<KeyHash>,
    /// Its adapters by name.
    pub adapters: BTreeMap<Name, Adapter>,
}

/// Gives the class of the requests under one path of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceRoute {
    /// The start of the path below `/services/NAME`.
    pub path: String,
    /// The class of the requests there.
    pub class: Name,
}

/// Describes a plain service beside the engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Its routes; the longest matching path decides.
    pub routes: Vec<ServiceRoute>,
}

impl Service {
    /// Finds the class of the requests at `path`.
    pub fn class_of(&self, path: &str) -> Option<&Name> {
        let matching = self.routes.iter().filter(|route| path.starts_with(&route.path));
        matching.max_by_key(|route| route.path.len()).map(|route| &route.class)
    }
}

/// Changes the configuration in one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates an organisation.
    CreateOrganisation {
        /// Its name.
        organisation: Name,
    },
    /// Removes an organisation and its adapters.
    RemoveOrganisation {
        /// Its name.
        organisation: Name,
    },
    /// Lets a key act for an organisation.
    AddKey {
        /// The organisation.
        organisation: Name,
        /// The hash of the key.
        hash: KeyHash,
    },
    /// Takes a key's rights away.
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
        /// Its base model.
        base: Name,
        /// The class of its requests.
        class: Option<Name>,
    },
    /// Registers a version.
    RegisterVersion {
        /// The adapter at that version.
        adapter: AdapterVersion,
    },
    /// Removes a version.
    RemoveVersion {
        /// The adapter at that version.
        adapter: AdapterVersion,
    },
    /// Keeps a version loaded.
    Pin {
        /// The adapter at that version.
        adapter: AdapterVersion,
    },
    /// Stops keeping any version of an adapter loaded.
    Unpin {
        /// The adapter at the pinned version.
        adapter: AdapterVersion,
    },
    /// Declares or redeclares a request class.
    DeclareClass {
        /// The class.
        class: Name,
        /// How its requests are treated.
        policy: RequestClass,
    },
    /// Declares or redeclares the class of a service's path.
    DeclareRoute {
        /// The service.
        service: Name,
        /// The start of the path.
        path: String,
        /// The class.
        class: Name,
    },
    /// Gives a host no new work.
    Drain {
        /// The host.
        host: Name,
    },
    /// Gives a host work again.
    Undrain {
        /// The host.
        host: Name,
    },
}

/// Holds everything that operators declared, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Config {
    /// The revision of the last change applied.
    pub revision: u64,
    /// Organisations by name; a change copies only the one that it touches.
    pub organisations: BTreeMap<Name, Arc<Organisation>>,
    /// Which organisation each key acts for.
    pub key_owners: Arc<BTreeMap<KeyHash, Name>>,
    /// Request classes by name.
    pub classes: BTreeMap<Name, RequestClass>,
    /// Plain services by name.
    pub services: BTreeMap<Name, Service>,
    /// Hosts that get no new work.
    pub drained: BTreeSet<Name>,
}

impl Config {
    /// Finds the organisation that a key belongs to.
    pub fn organisation_of(&self, key: &KeyHash) -> Option<&Name> {
        self.key_owners.get(key)
    }

    /// Finds an adapter if the version is registered.
    pub fn adapter(&self, adapter: &AdapterVersion) -> Option<&Adapter> {
        let org = self.organisations.get(adapter.organisation())?;
        org.adapters.get(adapter.adapter()).filter(|a| a.versions.contains(&adapter.version()))
    }

    /// Returns the policy of a class; the built-in default for the default class.
    pub fn class(&self, class: &str) -> Option<RequestClass> {
        let declared = Name::new(class).ok().and_then(|name| self.classes.get(&name).cloned());
        declared.or_else(|| (class == DEFAULT_CLASS).then(default_class))
    }

    /// Applies changes in order, all or none.
    ///
    /// # Errors
    ///
    /// Fails on the first change that does not fit, and leaves `self` as it was.
    pub fn apply_all(&mut self, changes: &[Change], revision: u64) -> Result<()> {
        let mut next = self.clone();
        changes.iter().try_for_each(|change| next.apply(change))?;
        next.revision = revision;
        *self = next;
        Ok(())
    }

    /// Applies one change in place, without touching the revision.
    ///
    /// # Errors
    ///
    /// Fails when the change refers to something missing or clashes with what is there.
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
            self.class(class.as_str()).ok_or_else(|| Error::new(ErrorCode::UnknownClass, class))?;
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
        self.class(class.as_str()).ok_or_else(|| Error::new(ErrorCode::UnknownClass, class))?;
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
