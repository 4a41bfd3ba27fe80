//! Types that most modules of this crate import.

pub(crate) use std::cell::{Cell, RefCell};
pub(crate) use std::collections::HashMap;
pub(crate) use std::rc::Rc;
pub(crate) use std::sync::Arc;
pub(crate) use std::time::Duration;

pub(crate) use bytes::Bytes;

pub(crate) use crate::clock::Clock;
