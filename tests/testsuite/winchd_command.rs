//! The command line of `winchd`: check, run, printed defaults and log format.

use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use buckthornwinch::settings::NodeSettings;

/// Settings with ephemeral ports and a log at a port where nothing listens.
const SETTINGS: &str = "
node: orders-1
region: yeongnam
failure_domain: busan
addresses:
  callers: 127.0.0.1:0
  peers: 127.0.0.1:0
  operators: 127.0.0.1:0
  local: 127.0.0.1:0
log:
  address: http://127.0.0.1:1
logging:
  format: json
";

fn winchd(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_winchd"));
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(arguments);
    command
}

fn run(arguments: &[&str]) -> Output {
    let output = winchd(arguments).output();
    output.expect("winchd can be started")
}

fn write_settings(folder: &Path, text: &str) -> String {
    let path = folder.join("winchd.yaml");
    std::fs::write(&path, text).expect("the folder can be written");
    path.display().to_string()
}

#[test]
fn a_valid_file_passes_the_check() {
    let output = run(&["check", "examples/hanmaru/winchd.yaml"]);

    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "examples/hanmaru/winchd.yaml: sound; node catalogue-1 in daegu-a\n"
    );
}

#[test]
fn a_faulty_file_fails_the_check_and_does_not_run() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = write_settings(folder.path(), &SETTINGS.replace("json", "xml"));

    for command in ["check", "run"] {
        let output = run(&[command, &path]);

        let faults = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{command}");
        assert!(faults.contains("logging.format: `xml`"), "{faults}");
    }
}

#[test]
fn printed_defaults_are_settings() {
    let output = run(&["--print-defaults"]);

    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0));
    NodeSettings::parse("printed", &text).expect("the text can be loaded");
}

#[test]
fn a_command_line_without_command_is_refused() {
    let output = run(&[]);

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("Usage: winchd"));
}

#[test]
fn json_logs_hold_one_object_a_line_with_the_prefix() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = write_settings(folder.path(), SETTINGS);
    let mut process = winchd(&["run", &path])
        .stderr(Stdio::piped())
        .spawn()
        .expect("winchd can be started");
    let stderr = process.stderr.take().expect("a piped output");

    let line = BufReader::new(stderr).lines().next();
    process.kill().expect("winchd runs");
    process.wait().expect("winchd ends");

    let line = line.expect("a first line").expect("text");
    let object: serde_json::Value = serde_json::from_str(&line).expect("an object");
    let message = object["message"].as_str().expect("a message");
    assert_eq!(object["level"], "INFO");
    assert!(message.starts_with("node: orders-1 starts as "), "{line}");
}
