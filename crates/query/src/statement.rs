//! Parsed statements.

use guavaspread_model::Change;

use crate::table::Cell;

/// A statement of the query language.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Shows rows.
    Show(Query),
    /// Applies all changes or none of them.
    Change(Vec<Change>),
    /// Validates changes without applying them.
    DryRun(Vec<Change>),
}

/// The source of a query's rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Organisations.
    Organisations,
    /// Adapters with their versions.
    Adapters,
    /// Request classes.
    Classes,
    /// Routes of services without a model.
    Services,
    /// Hosts in the platform's host list.
    Hosts,
    /// Availability zones.
    Zones,
    /// Backend servers with their queues.
    Backends,
    /// The owners of engines.
    Owners,
    /// Adapters that engines have loaded.
    Loaded,
    /// Queued requests, by engine.
    Waiting,
    /// Refusals since an entry host's dispatcher started, by entry host and error code.
    Refused,
    /// The configuration's revision on each entry host.
    Revisions,
}

impl Source {
    /// All sources with their keywords.
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

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `like`: the text contains the value.
    Like,
}

/// A condition on one column of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// The position of the column's name in the statement, in bytes.
    pub offset: usize,
    /// The comparison operator.
    pub comparison: Comparison,
    /// The value with which the column is compared.
    pub value: Cell,
}

/// The column and direction by which rows are sorted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The column.
    pub column: String,
    /// The position of the column's name in the statement, in bytes.
    pub offset: usize,
    /// Whether the largest value is first.
    pub descending: bool,
}

/// A query for rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The source of the rows.
    pub source: Source,
    /// The conditions; a row must satisfy all of them.
    pub conditions: Vec<Condition>,
    /// The sort order, if any.
    pub order: Option<Order>,
    /// The maximum number of rows to return, if limited.
    pub limit: Option<usize>,
}
