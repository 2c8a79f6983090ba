//! Stand-ins and cases of the second review.
//!
//! `standin worker ID ADDRESS CONTROL SERVICE ZONE LABELS CPU` runs a worker. `standin case NAME RECORD`
//! runs a case from the root of the repository and exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` it runs without the disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a case ends as one that could not run, also when no process answers any more.
/// A script may take 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["worker", id, address, control, service, zone, labels, cpu] => {
            worker::run(worker::Settings {
                id: (*id).to_owned(),
                address: address.parse().expect("address"),
                control: control.parse().expect("control address"),
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                labels: labels.split(',').map(str::to_owned).collect(),
                cpu: cpu.parse().expect("capacity"),
            });
            ExitCode::SUCCESS
        }
        ["case", name, record] => run_case(name, Path::new(record)),
        _ => ExitCode::from(2),
    }
}

fn run_case(name: &str, record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        println!("the case did not end in time");
        // `run.sh` ends the processes that are left.
        std::process::exit(2);
    });
    let held = match name {
        "stale-cancel" => cases::stale_cancel(record, trouble),
        "blocked-jobs" => cases::blocked_jobs(record, trouble),
        "reserved-worker" => cases::reserved_worker(record, trouble),
        "missing-pending" => cases::missing_pending(record, trouble),
        _ => None,
    };
    let (code, text) = match held {
        Some(true) => (0, "the rule held"),
        Some(false) => (1, "the rule was broken"),
        None => (2, "the case could not run"),
    };
    println!("{name}, trouble: {trouble}: {text}");
    ExitCode::from(code)
}
