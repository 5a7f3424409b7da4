//! Comparison of the page `docs/configuration.md` with the table of fields.

use sequoiaridge_settings::FIELDS;
use std::path::Path;

/// Guards against a page that omits a field, lists one that does not exist, or states a unit,
/// default or limit other than that of the code.
#[test]
fn page_and_code_agree() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/configuration.md");
    let page = std::fs::read_to_string(path).unwrap();
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect();
    for (row, field) in rows.iter().zip(FIELDS) {
        let path = format!("`{}`", field.path);
        let expected = [
            path,
            field.unit.to_string(),
            field.default_text(),
            field.limits(),
        ];
        assert_eq!(row[..4], expected);
        assert!(
            !row[4].is_empty(),
            "{} has no meaning on the page",
            field.path
        );
    }
    assert_eq!(rows.len(), FIELDS.len());
}
