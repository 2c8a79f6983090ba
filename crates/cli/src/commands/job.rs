//! Commands on jobs.

use std::fs;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use crate::api::{Client, check};
use crate::args::JobCommand;
use crate::error::{Error, Result};
use crate::output::Output;
use crate::table;

/// Exit code for a job that has failed.
const FAILED_CODE: u8 = 1;

/// Exit code for a job whose outcome is not known yet.
const OPEN_CODE: u8 = 5;

/// Runs a command on jobs.
pub(crate) async fn run(client: &Client<'_>, command: &JobCommand) -> Result<Output> {
    match command {
        JobCommand::Submit { file, wait } => {
            let body = read(file)?;
            let path = format!("/v1/jobs?wait={}", millis(wait.wait));
            answer(client, Method::POST, &path, Some(body), wait.wait).await
        }
        JobCommand::Show { id, wait } => {
            let path = format!("/v1/jobs/{id}?wait={}", millis(*wait));
            let mut output = answer(client, Method::GET, &path, None, *wait).await?;
            // Asking about a job that is still open is a success.
            if output.code == OPEN_CODE {
                output.code = 0;
            }
            Ok(output)
        }
        JobCommand::Cancel { id, wait } => {
            let path = format!("/v1/jobs/{id}?wait={}", millis(wait.wait));
            answer(client, Method::DELETE, &path, None, wait.wait).await
        }
    }
}

async fn answer(
    client: &Client<'_>,
    method: Method,
    path: &str,
    body: Option<Bytes>,
    wait: Duration,
) -> Result<Output> {
    let body = check(client.send(method, path, body, wait).await?)?;
    let text = table::value(&shown(&body));
    let mut output = Output::new(body, text);
    // An answer that is no longer held is `collected`, and `outcome` tells how the job ended.
    let field = |name: &str| output.json[name].as_str();
    output.code = match field("outcome").or(field("state")) {
        Some("complete") => 0,
        Some("failed") => FAILED_CODE,
        _ => OPEN_CODE,
    };
    Ok(output)
}

/// The answer with its results as numbered rows.
fn shown(body: &Value) -> Value {
    let mut shown = body.clone();
    let Some(Value::Array(results)) = shown.get_mut("results") else {
        return shown;
    };
    for (index, result) in results.iter_mut().enumerate() {
        *result = serde_json::json!({ "task": index, "result": result.clone() });
    }
    shown
}

fn read(file: &Path) -> Result<Bytes> {
    let wrong = |e: String| Error::Usage {
        text: format!("{}: {e}", file.display()),
    };
    let text = if file == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(file)
    };
    let text = text.map_err(|e| wrong(e.to_string()))?;
    let job = serde_json::from_str::<Value>(&text).map_err(|e| wrong(e.to_string()))?;
    for field in ["id", "class", "tasks"] {
        if job.get(field).is_none() {
            return Err(wrong(format!("the job has no field {field}")));
        }
    }
    Ok(text.into())
}

fn millis(wait: Duration) -> String {
    format!("{}ms", wait.as_millis())
}
