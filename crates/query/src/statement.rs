//! What a statement says.

use guavaspread_model::Change;

use crate::table::Cell;

/// Says what operators want.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Show rows.
    Show(Query),
    /// Make changes, all or none.
    Change(Vec<Change>),
    /// Say what a change would do, without making it.
    DryRun(Vec<Change>),
}

/// Names what rows are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Organisations.
    Organisations,
    /// Adapters with their versions.
    Adapters,
    /// Request classes.
    Classes,
    /// Routes of plain services.
    Services,
    /// Hosts that the platform lists.
    Hosts,
    /// Availability zones.
    Zones,
    /// Backend servers with their queues.
    Backends,
    /// Who owns which engine.
    Owners,
    /// Adapters that engines hold.
    Loaded,
    /// Requests that wait, by engine.
    Waiting,
    /// Refusals since the start, by entry host and code.
    Refused,
    /// The configuration's revision on each entry host.
    Revisions,
}

impl Source {
    /// Lists the sources with the words that name them.
    pub const ALL: &'static [(&'static str, Source)] = &[
        ("organisations", Source::Organisations),
        ("adapters", Source::Adapters),
        ("classes", Source::Classes),
        ("services", Source::Services),
        ("hosts", Source::Hosts),
        ("zones", Source::Zones),
        ("backends", Source::Backends),
        ("owners", Source::Owners),
        ("loaded", Source::Loaded),
        ("waiting", Source::Waiting),
        ("refused", Source::Refused),
        ("revisions", Source::Revisions),
    ];
}

/// Compares a column with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    More,
    /// `>=`
    AtLeast,
    /// `like`: the text contains the value.
    Like,
}

/// Keeps the rows whose column compares so.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// Where the column stands in the statement, in bytes.
    pub offset: usize,
    /// How to compare.
    pub comparison: Comparison,
    /// With what.
    pub value: Cell,
}

/// Orders rows by a column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The column.
    pub column: String,
    /// Where the column stands in the statement, in bytes.
    pub offset: usize,
    /// Whether the largest comes first.
    pub descending: bool,
}

/// Asks for rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// What the rows are about.
    pub source: Source,
    /// What all rows must meet.
    pub conditions: Vec<Condition>,
    /// The order, if one was asked for.
    pub order: Option<Order>,
    /// The most rows wanted.
    pub limit: Option<usize>,
}
