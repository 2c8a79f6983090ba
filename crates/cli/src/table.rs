//! Aligned text for people.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Aligns the columns of `rows` below `head`.
pub(crate) fn columns(head: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() {
        return "(none)\n".to_owned();
    }
    let mut widths: Vec<usize> = head.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut out = line(head.iter().copied(), &widths);
    for row in rows {
        out += &line(row.iter().map(String::as_str), &widths);
    }
    out
}

/// Shows any JSON value: single values as `name  value`, lists of objects as columns.
pub(crate) fn value(value: &Value) -> String {
    match value {
        Value::Object(map) => object(map),
        Value::Array(list) => array(list),
        other => format!("{}\n", cell(other)),
    }
}

/// Text of one cell.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

fn line<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let padded = cells.zip(widths).map(|(c, w)| format!("{c:w$}", w = *w));
    let text = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", text.trim_end())
}

fn object(map: &Map<String, Value>) -> String {
    let nested = |v: &Value| matches!(v, Value::Object(m) if !m.is_empty()) || list_of_objects(v);
    let width = map.keys().map(|k| k.chars().count()).max().unwrap_or(0);
    let mut out = String::new();
    for (name, value) in map.iter().filter(|(_, v)| !nested(v)) {
        let _ = writeln!(out, "{name:width$}  {}", cell(value));
    }
    for (name, section) in map.iter().filter(|(_, v)| nested(v)) {
        let _ = write!(out, "\n{}\n{}", name.to_uppercase(), value(section));
    }
    out
}

fn list_of_objects(value: &Value) -> bool {
    matches!(value, Value::Array(list) if list.first().is_some_and(Value::is_object))
}

fn array(list: &[Value]) -> String {
    let Some(Value::Object(first)) = list.first() else {
        let cells = list.iter().map(cell).collect::<Vec<_>>();
        return format!("{}\n", cells.join(" "));
    };
    let mut head: Vec<&str> = first.keys().map(String::as_str).collect();
    // The fields of an object come in alphabetical order; the one that identifies the row is first.
    head.sort_by_key(|field| !["name", "task"].contains(field));
    let row = |v: &Value| head.iter().map(|h| cell(&v[*h])).collect();
    let rows: Vec<Vec<String>> = list.iter().map(row).collect();
    columns(&head, &rows)
}
