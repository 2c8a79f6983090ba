//! `knapweedwall-entry check` and the command line itself.

use assert_cmd::Command;
use rstest::rstest;

use crate::fixture::{settings_file, without_store};

fn run(args: &[&str]) -> (bool, String) {
    let output = Command::cargo_bin("knapweedwall-entry")
        .unwrap()
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

// Guards against a sample file that is out of date.
#[rstest]
fn sample_file_is_valid() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/entry.yaml");
    let (success, text) = run(&["check", "--settings", sample]);
    assert!(success, "{text}");
    assert!(text.contains("settings of entry-1 are valid"));
}

// Guards against fields that the sample file shows but that do not exist.
#[rstest]
fn sample_file_shows_existing_fields_and_defaults() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/entry.yaml");
    let text = std::fs::read_to_string(sample).unwrap();
    let mut whole = String::new();
    for line in text.lines() {
        // A `#` without a space stands before a field with its default.
        let (indent, rest) = line.split_at(line.len() - line.trim_start().len());
        let field = rest.strip_prefix('#').filter(|rest| !rest.starts_with(' '));
        whole.push_str(&format!("{indent}{}\n", field.unwrap_or(rest)));
    }
    assert!(whole.contains("  unread: 16MiB") && whole.contains("  route_limit: 5s"));
    let path = settings_file("whole", &whole);
    let (success, text) = run(&["check", "--settings", path.to_str().unwrap()]);
    assert!(success, "{text}\n{whole}");
}

// Guards against faults that are found only when the process runs.
#[rstest]
#[case(1, "zone: a", "zone: a\ncolour: red", &["line 3", "colour"])]
#[case(2, "entry-1", "'entry 1'", &["line 1", "`name`", "\"entry 1\""])]
#[case(3, "http: {listen: '127.0.0.1:0'}", "http: {listen: here}", &["line 3"])]
#[case(4, "frames: {", "frames: {seeds: [nowhere], ", &["line 4", "`frames.seeds[0]`", "nowhere"])]
#[case(5, "store: {", "store: {timeout: 1ms, ", &["line 6", "`store.timeout`", "found 1ms"])]
fn faults_are_reported(
    #[case] number: u8,
    #[case] good: &str,
    #[case] bad: &str,
    #[case] parts: &[&str],
) {
    let settings = without_store().replace(good, bad);
    let path = settings_file(&format!("bad-{number}"), &settings);
    let (success, text) = run(&["check", "--settings", path.to_str().unwrap()]);
    assert!(!success);
    for part in parts {
        assert!(text.contains(part), "{part} is not in\n{text}");
    }
}

// Guards against a command line that a newcomer cannot find out about.
#[rstest]
#[case(&["--help"], "check --settings")]
#[case(&["run", "--help"], "--settings <FILE>")]
#[case(&["--version"], "knapweedwall-entry 0")]
fn help_and_version_are_shown(#[case] args: &[&str], #[case] part: &str) {
    let (success, text) = run(args);
    assert!(success);
    assert!(text.contains(part), "{text}");
}
