//! Types that most modules use.

pub(crate) use std::collections::{BTreeMap, HashMap};
pub(crate) use std::sync::Arc;
pub(crate) use std::time::Duration;
