//! The command `sequoiaridge check`.

use super::args::Checked;
use super::exit;
use sequoiaridge::edge::{Finding, Severity, check_manifest, manifest_differences};
use sequoiaridge::platform::{ConfigurationError, load_configuration, path_text};
use sequoiaridge::settings::Settings;
use serde::Serialize;
use std::path::Path;

/// Prints every problem in a settings file or in a configuration.
pub(crate) fn check(checked: &Checked) -> u8 {
    match checked {
        Checked::Settings { config } => check_settings(config),
        Checked::Manifest {
            manifest,
            in_force,
            json,
        } => match find(manifest, in_force.as_deref()) {
            Ok(findings) => print(manifest, &findings, *json),
            Err(error) => {
                eprintln!("error: {error}");
                exit::INVALID
            }
        },
    }
}

fn check_settings(config: &Path) -> u8 {
    match Settings::load(config) {
        Ok(settings) => {
            println!("{}: valid, router {}", config.display(), settings.id);
            exit::OK
        }
        Err(problems) => {
            for problem in problems {
                eprintln!("error: {problem}");
            }
            exit::INVALID
        }
    }
}

fn find(manifest: &Path, in_force: Option<&Path>) -> Result<Vec<Finding>, ConfigurationError> {
    let next = load_configuration(manifest)?;
    let mut findings = check_manifest(&next);
    if let Some(in_force) = in_force {
        findings.extend(manifest_differences(&load_configuration(in_force)?, &next));
    }
    Ok(findings)
}

/// One finding in the machine-readable form.
#[derive(Serialize)]
struct FindingLine<'a> {
    severity: Severity,
    path: String,
    message: &'a str,
}

fn print(manifest: &Path, findings: &[Finding], json: bool) -> u8 {
    for finding in findings {
        let line = FindingLine {
            severity: finding.severity,
            path: path_text(&finding.path),
            message: &finding.message,
        };
        if json {
            match serde_json::to_string(&line) {
                Ok(text) => println!("{text}"),
                Err(error) => eprintln!("error: {error}"),
            }
        } else {
            let FindingLine { path, message, .. } = line;
            println!("{}: {path}: {message}", finding.severity.as_str());
        }
    }
    let errors = findings.iter().filter(|f| f.severity == Severity::Error);
    let errors = errors.count();
    if !json {
        let file = manifest.display();
        println!("{file}: {errors} errors, {} findings", findings.len());
    }
    if errors > 0 { exit::INVALID } else { exit::OK }
}
