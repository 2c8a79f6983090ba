//! Counts and response times by class.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use smol_str::SmolStr;

use super::ending::{Ending, Record};
use super::ledger::Ledgers;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Largest value that the histograms tell apart: one hour in microseconds.
const MAX_VALUE: u64 = 3_600_000_000;

/// Figures of one class.
#[derive(Debug, Default)]
pub struct ClassFigures {
    /// Jobs.
    pub jobs: u64,
    /// Complete jobs.
    pub complete: u64,
    /// Failed jobs by code.
    pub failed: BTreeMap<SmolStr, u64>,
    /// Refused jobs by code.
    pub refused: BTreeMap<SmolStr, u64>,
    /// Response times of complete jobs in microseconds; none before the first.
    pub times: Option<Histogram<u64>>,
    /// Response time divided by the ideal, in thousandths, of complete jobs.
    pub slowdown: Option<Histogram<u64>>,
}

/// Figures of a run.
#[derive(Debug, Default)]
pub struct Figures {
    /// By class.
    pub classes: BTreeMap<SmolStr, ClassFigures>,
    /// Jobs whose outcome the system says cannot be learned.
    pub unknown: u64,
    /// Jobs without a final answer, or accepted and then not known any more.
    pub lost: Vec<String>,
    /// Jobs that were complete with a wrong number of results.
    pub partial: Vec<SmolStr>,
    /// Jobs with a result of another task.
    pub mismatched: Vec<SmolStr>,
    /// Tasks that started more than once.
    pub doubled: Vec<SmolStr>,
    /// Jobs refused as "not run" of which a task is in a ledger.
    pub false_refusals: Vec<SmolStr>,
    /// Complete jobs with a task that is in no ledger.
    pub unwitnessed: Vec<SmolStr>,
    /// Failed jobs (other than in doubt) whose count of started tasks differs from the ledgers.
    pub miscounted: Vec<String>,
    /// Requests beyond the first submissions.
    pub repeats: u64,
}

impl Figures {
    /// Figures of `records`, checked against the endpoints' ledgers.
    #[must_use]
    pub fn new(records: &[Record], ledgers: &Ledgers) -> Self {
        let mut figures = Self::default();
        for record in records {
            figures.count(record, ledgers);
        }
        figures.doubled = ledgers.doubled();
        figures
    }

    /// Whether every promise that the run can check was kept.
    #[must_use]
    pub fn sound(&self) -> bool {
        self.lost.is_empty()
            && self.partial.is_empty()
            && self.mismatched.is_empty()
            && self.doubled.is_empty()
            && self.false_refusals.is_empty()
            && self.unwitnessed.is_empty()
    }

    /// Codes of failed and refused jobs, and of those with an unknown outcome, with their numbers.
    #[must_use]
    pub fn codes(&self) -> BTreeMap<SmolStr, u64> {
        let mut codes = BTreeMap::new();
        for class in self.classes.values() {
            for (code, count) in class.failed.iter().chain(&class.refused) {
                *codes.entry(code.clone()).or_default() += count;
            }
        }
        if self.unknown > 0 {
            codes.insert("unknown".into(), self.unknown);
        }
        codes
    }

    /// The broken promises with examples, one line for each kind; empty if sound.
    #[must_use]
    pub fn faults(&self) -> String {
        let mut out = String::new();
        let names = |list: &[SmolStr]| list.iter().map(ToString::to_string).collect::<Vec<_>>();
        let kinds = [
            ("lost", self.lost.clone()),
            ("partial", names(&self.partial)),
            ("mismatched", names(&self.mismatched)),
            ("doubled", names(&self.doubled)),
            ("false not run", names(&self.false_refusals)),
            ("unwitnessed", names(&self.unwitnessed)),
            ("miscounted", self.miscounted.clone()),
        ];
        for (kind, list) in kinds.iter().filter(|(_, list)| !list.is_empty()) {
            let shown = list.iter().take(3).map(String::as_str).collect::<Vec<_>>();
            let _ = writeln!(out, "{kind}: {} (such as {})", list.len(), shown.join("; "));
        }
        out
    }

    fn count(&mut self, record: &Record, ledgers: &Ledgers) {
        self.repeats += u64::from(record.repeats);
        let class = self.classes.entry(record.class.clone()).or_default();
        class.jobs += 1;
        match &record.ending {
            Ending::Complete => {
                class.complete += 1;
                class.add(record);
                if ledgers.started(&record.id) < u64::from(record.tasks) {
                    self.unwitnessed.push(record.id.clone());
                }
            }
            Ending::Failed { code, started } => {
                *class.failed.entry(code.clone()).or_default() += 1;
                let seen = ledgers.started(&record.id);
                if code != "in_doubt" && started.is_some_and(|s| s != seen) {
                    let said = started.unwrap_or_default();
                    let text = format!("{} ({code}: {said} said, {seen} seen)", record.id);
                    self.miscounted.push(text);
                }
            }
            Ending::Refused(code) => {
                *class.refused.entry(code.clone()).or_default() += 1;
                if ledgers.started(&record.id) > 0 {
                    self.false_refusals.push(record.id.clone());
                }
            }
            Ending::Unknown(_) => self.unknown += 1,
            Ending::Partial => self.partial.push(record.id.clone()),
            Ending::Mismatched => self.mismatched.push(record.id.clone()),
            Ending::Lost(text) => self.lost.push(format!("{}: {text}", record.id)),
        }
    }
}

impl ClassFigures {
    fn add(&mut self, record: &Record) {
        let ideal = record.ideal.max(Duration::from_millis(1));
        let ratio = record.time.as_micros() * 1000 / ideal.as_micros().max(1);
        push(&mut self.times, record.time.as_micros());
        push(&mut self.slowdown, ratio);
    }

    /// Response time at a quantile (0 to 1); none without complete jobs.
    #[must_use]
    pub fn time(&self, quantile: f64) -> Option<Duration> {
        let times = self.times.as_ref()?;
        Some(Duration::from_micros(times.value_at_quantile(quantile)))
    }

    /// Response time divided by the ideal at a quantile; none without complete jobs.
    #[must_use]
    pub fn ratio(&self, quantile: f64) -> Option<f64> {
        let slowdown = self.slowdown.as_ref()?;
        let thousandths = u32::try_from(slowdown.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        Some(f64::from(thousandths) / 1000.0)
    }
}

fn push(histogram: &mut Option<Histogram<u64>>, value: u128) {
    if histogram.is_none() {
        *histogram = Histogram::new_with_max(MAX_VALUE, DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(u64::try_from(value).unwrap_or(u64::MAX));
    }
}
