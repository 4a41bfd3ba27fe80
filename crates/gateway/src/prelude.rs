//! Imports that most modules of the gateway need.

pub(crate) use std::cell::{Cell, RefCell};
pub(crate) use std::rc::Rc;

pub(crate) use guavaspread_control::Clock;
pub(crate) use guavaspread_model::prelude::*;
