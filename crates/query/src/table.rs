//! Tables, and the execution of queries on them.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::statement::{Comparison, Condition, Query};

/// One value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Cell::Text(text.to_owned())
    }
}

impl From<String> for Cell {
    fn from(text: String) -> Self {
        Cell::Text(text)
    }
}

impl From<u32> for Cell {
    fn from(number: u32) -> Self {
        Cell::Number(number.into())
    }
}

impl From<f64> for Cell {
    fn from(number: f64) -> Self {
        Cell::Number(number)
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cell::Number(number) if number.fract() == 0.0 => write!(f, "{number:.0}"),
            Cell::Number(number) => write!(f, "{number:.3}"),
            Cell::Text(text) => f.write_str(text),
        }
    }
}

impl Cell {
    fn compare(&self, other: &Cell) -> Ordering {
        match (self, other) {
            (Cell::Number(a), Cell::Number(b)) => a.total_cmp(b),
            (Cell::Text(a), Cell::Text(b)) => a.cmp(b),
            (Cell::Number(_), Cell::Text(_)) => Ordering::Less,
            (Cell::Text(_), Cell::Number(_)) => Ordering::Greater,
        }
    }

    fn satisfies(&self, comparison: Comparison, value: &Cell) -> bool {
        let ordering = self.compare(value);
        match comparison {
            Comparison::Equal => ordering == Ordering::Equal,
            Comparison::NotEqual => ordering != Ordering::Equal,
            Comparison::Less => ordering == Ordering::Less,
            Comparison::LessOrEqual => ordering != Ordering::Greater,
            Comparison::Greater => ordering == Ordering::Greater,
            Comparison::GreaterOrEqual => ordering != Ordering::Less,
            Comparison::Like => self.to_string().contains(&value.to_string()),
        }
    }
}

/// A table of rows with the same columns.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Table {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows; each has one cell per column.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&str]) -> Self {
        Table { columns: columns.iter().map(|c| (*c).to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row; its cells must be in the order of the columns.
    pub fn push(&mut self, row: Vec<Cell>) {
        self.rows.push(row);
    }

    fn column(&self, name: &str, offset: usize) -> Result<usize> {
        let found = self.columns.iter().position(|column| column == name);
        found.ok_or_else(|| {
            let known = self.columns.join(", ");
            Error::new(offset, format!("unknown column `{name}`; the columns are {known}"))
        })
    }
}

impl Query {
    /// Returns the rows that satisfy the conditions, sorted and limited as the query specifies.
    ///
    /// # Errors
    ///
    /// Fails when the query names a column that the table does not have.
    pub fn select(&self, mut table: Table) -> Result<Table> {
        for condition in &self.conditions {
            filter_rows(&mut table, condition)?;
        }
        if let Some(order) = &self.order {
            let index = table.column(&order.column, order.offset)?;
            table.rows.sort_by(|a, b| a[index].compare(&b[index]));
            if order.descending {
                table.rows.reverse();
            }
        }
        if let Some(limit) = self.limit {
            table.rows.truncate(limit);
        }
        Ok(table)
    }
}

fn filter_rows(table: &mut Table, condition: &Condition) -> Result<()> {
    let index = table.column(&condition.column, condition.offset)?;
    table.rows.retain(|row| row[index].satisfies(condition.comparison, &condition.value));
    Ok(())
}
