//! Arguments of commands.

use std::error::Error;
use std::str::FromStr;
use std::time::Duration;

use goldenscript::{Argument, Command};
use serde_json::{Map, Value};

/// Result of a command.
pub(super) type Result<T, E = Box<dyn Error>> = std::result::Result<T, E>;

/// Positional argument number `index`, from 0.
pub(super) fn position(command: &Command, index: usize) -> Result<&str> {
    let mut values = command.args.iter().filter_map(|arg| match arg {
        Argument::Positional(value) => Some(value.as_str()),
        _ => None,
    });
    let missing = || format!("{} needs argument {}", command.name, index + 1);
    values.nth(index).ok_or_else(|| missing().into())
}

/// Value of the argument `name=`, if it is given.
pub(super) fn value<'a>(command: &'a Command, name: &str) -> Option<&'a str> {
    command.args.iter().find_map(|arg| match arg {
        Argument::KeyValue(key, value) if key == name => Some(value.as_str()),
        _ => None,
    })
}

/// Parsed value of the argument `name=`, or `default`.
pub(super) fn parsed<T: FromStr>(command: &Command, name: &str, default: T) -> Result<T> {
    let Some(text) = value(command, name) else {
        return Ok(default);
    };
    let wrong = || format!("{name}: found {text}");
    text.parse().ok().ok_or_else(|| wrong().into())
}

/// Whether `name=yes` is given.
pub(super) fn flag(command: &Command, name: &str) -> bool {
    value(command, name) == Some("yes")
}

/// A range `A..B` or a single number.
pub(super) fn range<T: FromStr + Copy>(
    command: &Command,
    name: &str,
    default: T,
) -> Result<(T, T)> {
    let Some(text) = value(command, name) else {
        return Ok((default, default));
    };
    let wrong = || -> Box<dyn Error> { format!("{name}: found {text}").into() };
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    Ok((
        from.parse().ok().ok_or_else(wrong)?,
        to.parse().ok().ok_or_else(wrong)?,
    ))
}

/// A time such as `500ms`.
pub(super) fn time(text: &str) -> Result<Duration> {
    Ok(humantime::parse_duration(text)?)
}

/// All `name=value` arguments as JSON; values that are no JSON are texts.
pub(super) fn fields(command: &Command) -> Value {
    let mut fields = Map::new();
    for arg in &command.args {
        if let Argument::KeyValue(key, value) = arg {
            let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value.as_str()));
            fields.insert(key.clone(), value);
        }
    }
    Value::Object(fields)
}
