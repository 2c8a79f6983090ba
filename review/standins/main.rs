//! Runs a case of the review: a small deployment of the project's processes beside stand-ins, a
//! disruption, and a check of one rule. Usage: `scenario CASE RECORD`, from the root of the repository.
//! With `TROUBLE=0` the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod cases;
mod checks;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: scenario CASE RECORD");
        exit(2);
    };
    let Ok(record) = Record::create(Path::new(&path)) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    let record = Arc::new(record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!(
        "case {case}, disruption: {}",
        if trouble { "yes" } else { "no" }
    ));
    let (done, finished) = std::sync::mpsc::channel();
    let case_record = Arc::clone(&record);
    thread::spawn(move || {
        let _ = done.send(cases::run(&case, trouble, case_record));
    });
    let code = match finished.recv_timeout(TIME_LIMIT) {
        Ok(Ok(false)) => {
            record.line("result: the rule held");
            0
        }
        Ok(Ok(true)) => {
            record.line("result: the rule was broken");
            1
        }
        Ok(Err(cause)) => {
            record.line(&format!("result: the case could not run: {cause}"));
            2
        }
        Err(_) => {
            record.line("result: the case did not end in time");
            2
        }
    };
    fleet::kill_all();
    exit(code);
}
