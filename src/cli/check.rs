//! `sequoiaridge check`.

use super::exit;
use sequoiaridge::settings::Settings;
use std::path::Path;

/// Reports every mistake in a settings file.
pub(crate) fn check(config: &Path) -> u8 {
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
