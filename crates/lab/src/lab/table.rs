//! Table of answers and response times by class.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::load::{ClassFigures, Figures};

/// Columns: class, counts, response times in milliseconds, response time over the ideal.
const HEAD: [&str; 10] = [
    "class", "jobs", "complete", "failed", "refused", "p50 ms", "p99 ms", "max ms", "p50 x",
    "p99 x",
];

/// Width of the first and of the other columns.
const WIDTHS: (usize, usize) = (18, 9);

/// The table as text.
pub(super) fn answers(figures: &Figures) -> String {
    let mut lines = vec![row(HEAD.map(str::to_owned))];
    for (name, class) in &figures.classes {
        lines.push(row(cells(name, class)));
        for (kind, codes) in [("failed", &class.failed), ("refused", &class.refused)] {
            if !codes.is_empty() {
                lines.push(format!("  {kind}: {}", list(codes)));
            }
        }
    }
    lines.join("\n")
}

fn cells(name: &str, class: &ClassFigures) -> [String; 10] {
    let time = |quantile| class.time(quantile).map_or_else(|| "-".to_owned(), millis);
    let ratio = |q| {
        class
            .ratio(q)
            .map_or_else(|| "-".to_owned(), |r| format!("{r:.2}"))
    };
    [
        name.to_owned(),
        class.jobs.to_string(),
        class.complete.to_string(),
        class.failed.values().sum::<u64>().to_string(),
        class.refused.values().sum::<u64>().to_string(),
        time(0.5),
        time(0.99),
        time(1.0),
        ratio(0.5),
        ratio(0.99),
    ]
}

fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1e3)
}

fn list(codes: &BTreeMap<SmolStr, u64>) -> String {
    let texts = codes.iter().map(|(code, count)| format!("{code} {count}"));
    texts.collect::<Vec<_>>().join(", ")
}

fn row(cells: [String; 10]) -> String {
    let (first, other) = WIDTHS;
    let [name, rest @ ..] = cells;
    let rest = rest
        .iter()
        .map(|cell| format!("{cell:>other$}"))
        .collect::<String>();
    format!("{name:first$}{rest}")
}
