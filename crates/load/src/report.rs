//! Results of a load run.

use std::io::Write;
use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::stream::StreamOutcome;

/// Highest latency that the histograms distinguish; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency histograms and counters of the streams of a load run.
pub(crate) struct Report {
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
    complete: u64,
    refused: u64,
    broken: u64,
}

/// Summary of a load run, as printed.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Summary<'a> {
    name: &'a str,
    #[serde(rename = "whole")]
    complete: u64,
    refused: u64,
    broken: u64,
    first_token_p50_us: u64,
    first_token_p95_us: u64,
    first_token_p99_us: u64,
    between_tokens_p50_us: u64,
    between_tokens_p95_us: u64,
    between_tokens_p99_us: u64,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!("the bounds are valid"))
        };
        Report {
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            complete: 0,
            refused: 0,
            broken: 0,
        }
    }
}

impl Report {
    /// Records the outcome of a stream.
    pub(crate) fn add(&mut self, outcome: &StreamOutcome) {
        let us = |time: &Duration| time.as_micros() as u64;
        if let Some(time) = &outcome.first_token {
            self.first_token_us.saturating_record(us(time));
        }
        for time in &outcome.between_tokens {
            self.between_tokens_us.saturating_record(us(time));
        }
        match outcome {
            StreamOutcome { complete: true, .. } => self.complete += 1,
            StreamOutcome { refused: true, .. } => self.refused += 1,
            _ => self.broken += 1,
        }
    }

    /// Prints the results as a table or a line of JSON.
    pub(crate) fn print(&self, name: &str, json: bool) -> Result<()> {
        let (first, between) = (&self.first_token_us, &self.between_tokens_us);
        let summary = Summary {
            name,
            complete: self.complete,
            refused: self.refused,
            broken: self.broken,
            first_token_p50_us: first.value_at_quantile(0.50),
            first_token_p95_us: first.value_at_quantile(0.95),
            first_token_p99_us: first.value_at_quantile(0.99),
            between_tokens_p50_us: between.value_at_quantile(0.50),
            between_tokens_p95_us: between.value_at_quantile(0.95),
            between_tokens_p99_us: between.value_at_quantile(0.99),
        };
        let mut out = std::io::stdout().lock();
        if json {
            writeln!(out, "{}", serde_json::to_string(&summary)?)?;
            return Ok(());
        }
        let s = &summary;
        writeln!(out, "{name}: {} whole, {} refused, {} broken", s.complete, s.refused, s.broken)?;
        let mut table = comfy_table::Table::new();
        table.load_preset(comfy_table::presets::NOTHING);
        table.set_header(["microseconds", "p50", "p95", "p99"]);
        table.add_row([
            "to the first token".to_owned(),
            s.first_token_p50_us.to_string(),
            s.first_token_p95_us.to_string(),
            s.first_token_p99_us.to_string(),
        ]);
        table.add_row([
            "between tokens".to_owned(),
            s.between_tokens_p50_us.to_string(),
            s.between_tokens_p95_us.to_string(),
            s.between_tokens_p99_us.to_string(),
        ]);
        writeln!(out, "{}", table.trim_fmt())?;
        Ok(())
    }
}
