//! The command `sequoiaridge check`.

use super::exit;
use sequoiaridge::settings::Settings;
use std::path::Path;

/// Prints whether a settings file is valid, or every problem in it.
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
