//! The parser of statements.

use guavaspread_model::{AdapterVersion, Change, KeyHash, Name, Priority, RequestClass};
use winnow::LocatingSlice;
use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, cut_err, delimited, fail, opt, preceded, repeat, separated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::{literal, take_till, take_while};

use crate::error::{Error, Result};
use crate::statement::{Comparison, Condition, Order, Query, Source, Statement};
use crate::table::Cell;

type Input<'a> = LocatingSlice<&'a str>;

const CHANGE_KEYWORDS: &str =
    "show, create, register, declare, add, remove, pin, unpin, drain, undrain or dry run";

/// Parses one query, or one or more changes separated by `;`.
///
/// # Errors
///
/// Fails at the first invalid word; the error states what was expected instead.
pub fn parse(text: &str) -> Result<Statement> {
    let parsed = (multispace0, statement, opt(symbol(";")), end).parse(LocatingSlice::new(text));
    match parsed {
        Ok((_, statement, _, _)) => Ok(statement),
        Err(e) => Err(Error::new(e.offset(), error_message(text, e.offset(), e.inner()))),
    }
}

fn error_message(text: &str, offset: usize, error: &ContextError) -> String {
    let found = text[offset..].split_whitespace().next().unwrap_or("end of statement");
    let expected: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    match expected.as_slice() {
        [] => format!("unexpected `{found}`"),
        expected => format!("unexpected `{found}`; expected {}", expected.join(" or ")),
    }
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

/// Parses the keyword `text` and the white space after it.
fn keyword<'a>(text: &'static str) -> impl ModalParser<Input<'a>, (), ContextError> {
    let whole_word = take_while(1.., is_unquoted_char).verify(move |found: &str| found == text);
    (whole_word, multispace0)
        .void()
        .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

/// Parses the symbol `text` and the white space after it.
fn symbol<'a>(text: &'static str) -> impl ModalParser<Input<'a>, (), ContextError> {
    let symbol = (literal(text), multispace0).void();
    symbol.context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

fn is_unquoted_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._-/@".contains(c)
}

fn end(input: &mut Input<'_>) -> ModalResult<()> {
    winnow::combinator::eof.void().context(expected("the end of the statement")).parse_next(input)
}

/// Parses an unquoted word and the white space after it.
fn unquoted<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let unquoted = take_while(1.., is_unquoted_char);
    (unquoted, multispace0).map(|(text, _)| text).parse_next(input)
}

fn quoted<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let text = delimited('\'', take_till(0.., '\''), '\'');
    (text, multispace0).map(|(text, _)| text).parse_next(input)
}

fn name(input: &mut Input<'_>) -> ModalResult<Name> {
    unquoted.verify_map(|text| Name::new(text).ok()).context(expected("a name")).parse_next(input)
}

fn adapter(input: &mut Input<'_>) -> ModalResult<AdapterVersion> {
    unquoted
        .verify_map(|text| text.parse().ok())
        .context(expected("organisation/adapter@version"))
        .parse_next(input)
}

fn number(input: &mut Input<'_>) -> ModalResult<u32> {
    (digit1.parse_to(), multispace0)
        .map(|(number, _)| number)
        .context(expected("a whole number"))
        .parse_next(input)
}

fn statement(input: &mut Input<'_>) -> ModalResult<Statement> {
    alt((
        preceded(keyword("show"), cut_err(query)).map(Statement::Show),
        preceded((keyword("dry"), cut_err(keyword("run"))), cut_err(changes))
            .map(Statement::DryRun),
        changes.map(Statement::Change),
    ))
    .parse_next(input)
}

fn query(input: &mut Input<'_>) -> ModalResult<Query> {
    let source = source.parse_next(input)?;
    let conditions = opt(preceded(keyword("where"), cut_err(conditions))).parse_next(input)?;
    let mut order = opt(preceded((keyword("order"), cut_err(keyword("by"))), cut_err(order)));
    let order = order.parse_next(input)?;
    let limit = opt(preceded(keyword("limit"), cut_err(number))).parse_next(input)?;
    let limit = limit.map(|limit| limit as usize);
    Ok(Query { source, conditions: conditions.unwrap_or_default(), order, limit })
}

fn source(input: &mut Input<'_>) -> ModalResult<Source> {
    let known = |text: &str| Source::ALL.iter().find(|(name, _)| *name == text).map(|(_, s)| *s);
    unquoted
        .verify_map(known)
        .context(expected(
            "organisations, adapters, classes, services, hosts, zones, backends, owners, loaded, \
             waiting, refused or revisions",
        ))
        .parse_next(input)
}

fn conditions(input: &mut Input<'_>) -> ModalResult<Vec<Condition>> {
    separated(1.., condition, keyword("and")).parse_next(input)
}

fn condition(input: &mut Input<'_>) -> ModalResult<Condition> {
    let offset = input.current_token_start();
    let column = unquoted.context(expected("a column")).parse_next(input)?.to_owned();
    let comparison = cut_err(comparison).parse_next(input)?;
    let value = cut_err(value).parse_next(input)?;
    Ok(Condition { column, offset, comparison, value })
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Comparison> {
    let symbol = take_while(1.., |c: char| "!=<>".contains(c));
    (alt((symbol, "like")), multispace0)
        .verify_map(|(text, _)| match text {
            "=" => Some(Comparison::Equal),
            "!=" => Some(Comparison::NotEqual),
            "<" => Some(Comparison::Less),
            "<=" => Some(Comparison::LessOrEqual),
            ">" => Some(Comparison::Greater),
            ">=" => Some(Comparison::GreaterOrEqual),
            "like" => Some(Comparison::Like),
            _ => None,
        })
        .context(expected("`=`, `!=`, `<`, `<=`, `>`, `>=` or `like`"))
        .parse_next(input)
}

fn value(input: &mut Input<'_>) -> ModalResult<Cell> {
    let plain = unquoted.map(|text| match text.parse() {
        Ok(number) => Cell::Number(number),
        Err(_) => Cell::from(text),
    });
    alt((quoted.map(Cell::from), plain)).context(expected("a value")).parse_next(input)
}

fn order(input: &mut Input<'_>) -> ModalResult<Order> {
    let offset = input.current_token_start();
    let column = unquoted.context(expected("a column")).parse_next(input)?.to_owned();
    let mut descending = opt(alt((keyword("desc").value(true), keyword("asc").value(false))));
    let descending = descending.parse_next(input)?.unwrap_or(false);
    Ok(Order { column, offset, descending })
}

fn changes(input: &mut Input<'_>) -> ModalResult<Vec<Change>> {
    let first = change.parse_next(input)?;
    let more = preceded(symbol(";"), change);
    let more: Vec<Change> = repeat(0.., more).parse_next(input)?;
    Ok([vec![first], more].concat())
}

fn change(input: &mut Input<'_>) -> ModalResult<Change> {
    let declaration = alt((
        preceded(keyword("create"), cut_err(create)),
        preceded(keyword("register"), cut_err(register)),
        preceded(keyword("declare"), cut_err(declare)),
        preceded(keyword("add"), cut_err(add_key)),
        preceded(keyword("remove"), cut_err(remove)),
    ));
    let command = alt((
        preceded(keyword("pin"), cut_err(adapter)).map(|adapter| Change::Pin { adapter }),
        preceded(keyword("unpin"), cut_err(adapter)).map(|adapter| Change::Unpin { adapter }),
        preceded(keyword("drain"), cut_err(name)).map(|host| Change::Drain { host }),
        preceded(keyword("undrain"), cut_err(name)).map(|host| Change::Undrain { host }),
    ));
    alt((declaration, command, fail.context(expected(CHANGE_KEYWORDS)))).parse_next(input)
}

fn create(input: &mut Input<'_>) -> ModalResult<Change> {
    let organisation = preceded(keyword("organisation"), cut_err(name)).parse_next(input)?;
    Ok(Change::CreateOrganisation { organisation })
}

fn register(input: &mut Input<'_>) -> ModalResult<Change> {
    let version = preceded(keyword("version"), cut_err(adapter));
    let version = version.map(|adapter| Change::RegisterVersion { adapter });
    let unversioned = preceded(keyword("adapter"), cut_err(register_adapter));
    alt((unversioned, version)).parse_next(input)
}

fn register_adapter(input: &mut Input<'_>) -> ModalResult<Change> {
    let path = unquoted.verify_map(|text| {
        let (organisation, adapter) = text.split_once('/')?;
        Some((Name::new(organisation).ok()?, Name::new(adapter).ok()?))
    });
    let (organisation, adapter) =
        path.context(expected("organisation/adapter")).parse_next(input)?;
    let base = preceded(keyword("on"), name).parse_next(input)?;
    let class = opt(preceded(keyword("class"), cut_err(name))).parse_next(input)?;
    Ok(Change::RegisterAdapter { organisation, adapter, base, class })
}

fn declare(input: &mut Input<'_>) -> ModalResult<Change> {
    let class = preceded(keyword("class"), cut_err(declare_class));
    let route = preceded(keyword("route"), cut_err(declare_route));
    alt((class, route)).parse_next(input)
}

fn declare_class(input: &mut Input<'_>) -> ModalResult<Change> {
    let class = name.parse_next(input)?;
    let not = opt(keyword("not")).parse_next(input)?;
    keyword("repeatable").parse_next(input)?;
    let worth = preceded(keyword("worth"), number).parse_next(input)?;
    let deadline_ms = preceded(keyword("deadline"), duration_ms).parse_next(input)?;
    let priority = preceded(keyword("priority"), priority).parse_next(input)?;
    let policy = RequestClass { repeatable: not.is_none(), worth, deadline_ms, priority };
    Ok(Change::DeclareClass { class, policy })
}

fn duration_ms(input: &mut Input<'_>) -> ModalResult<u32> {
    unquoted
        .verify_map(parse_duration_ms)
        .context(expected("a duration as in 500ms, 10s or 5min"))
        .parse_next(input)
}

fn parse_duration_ms(text: &str) -> Option<u32> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(unit_at);
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        _ => return None,
    };
    count.parse::<u32>().ok()?.checked_mul(unit_ms)
}

fn priority(input: &mut Input<'_>) -> ModalResult<Priority> {
    unquoted
        .verify_map(|text| match text {
            "interactive" => Some(Priority::Interactive),
            "draft" => Some(Priority::Draft),
            "overnight" => Some(Priority::Overnight),
            _ => None,
        })
        .context(expected("`interactive`, `draft` or `overnight`"))
        .parse_next(input)
}

fn declare_route(input: &mut Input<'_>) -> ModalResult<Change> {
    let service = name.parse_next(input)?;
    let path = unquoted.verify(|path: &str| path.starts_with('/'));
    let path = path.context(expected("a path that starts with /")).parse_next(input)?.to_owned();
    let class = preceded(keyword("class"), name).parse_next(input)?;
    Ok(Change::DeclareRoute { service, path, class })
}

/// Parses a quoted bearer key or the hash of a key; only the hash is kept.
fn key_hash(input: &mut Input<'_>) -> ModalResult<KeyHash> {
    let hash = preceded(keyword("hash"), cut_err(unquoted.verify_map(|text| text.parse().ok())));
    let key = quoted.map(KeyHash::of);
    alt((hash, key)).context(expected("a key in single quotes, or hash HASH")).parse_next(input)
}

fn add_key(input: &mut Input<'_>) -> ModalResult<Change> {
    let hash = preceded(keyword("key"), cut_err(key_hash)).parse_next(input)?;
    let organisation = preceded(keyword("to"), name).parse_next(input)?;
    Ok(Change::AddKey { organisation, hash })
}

fn remove(input: &mut Input<'_>) -> ModalResult<Change> {
    let organisation = preceded(keyword("organisation"), cut_err(name));
    let organisation = organisation.map(|organisation| Change::RemoveOrganisation { organisation });
    let version = preceded(keyword("version"), cut_err(adapter));
    let version = version.map(|adapter| Change::RemoveVersion { adapter });
    let key =
        (preceded(keyword("key"), cut_err(key_hash)), cut_err(preceded(keyword("from"), name)));
    let key = key.map(|(hash, organisation)| Change::RemoveKey { organisation, hash });
    alt((organisation, version, key)).parse_next(input)
}
