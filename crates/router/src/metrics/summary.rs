//! Percentiles from the buckets of the histograms.
//!
//! The library does not show the buckets of a histogram but in the exported text, so they are read
//! from there. `status` is asked for rarely.

use std::collections::BTreeMap;

/// Share of calls that a latency target speaks of.
const SHARE: f64 = 0.95;
const FIRST_TOKEN: &str = "sequoiaridge_first_token_seconds_bucket{";
const BETWEEN_TOKENS: &str = "sequoiaridge_between_tokens_seconds_bucket{";

/// The 95th percentiles of one class, in seconds; `None` without an observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Percentiles {
    pub(crate) first_token: Option<f64>,
    pub(crate) between_tokens: Option<f64>,
}

/// Upper bounds with cumulated counts, in ascending order.
type Buckets = Vec<(f64, f64)>;

/// Reads the percentiles of each class from exported metrics.
pub(crate) fn percentiles(text: &str) -> BTreeMap<String, Percentiles> {
    let mut all: BTreeMap<String, Percentiles> = BTreeMap::new();
    for (class, buckets) in buckets(text, FIRST_TOKEN) {
        all.entry(class).or_default().first_token = percentile(&buckets);
    }
    for (class, buckets) in buckets(text, BETWEEN_TOKENS) {
        all.entry(class).or_default().between_tokens = percentile(&buckets);
    }
    all
}

fn buckets(text: &str, name: &str) -> BTreeMap<String, Buckets> {
    let mut all: BTreeMap<String, Buckets> = BTreeMap::new();
    for line in text.lines().filter_map(|line| line.strip_prefix(name)) {
        if let Some((class, bound, count)) = bucket(line) {
            all.entry(class).or_default().push((bound, count));
        }
    }
    all
}

/// Reads `le="0.5",class="chat"} 3`. Names of classes hold neither quotes nor commas.
fn bucket(line: &str) -> Option<(String, f64, f64)> {
    let (labels, count) = line.split_once("} ")?;
    let label = |name: &str| {
        let mut values = labels.split(',').filter_map(|label| label.split_once('='));
        values
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value.trim_matches('"'))
    };
    let bound = match label("le")? {
        "+Inf" => f64::INFINITY,
        bound => bound.parse().ok()?,
    };
    Some((label("class")?.to_string(), bound, count.parse().ok()?))
}

/// Interpolates within the bucket that holds the percentile; above the last finite bound that bound
/// is the best that can be said.
fn percentile(buckets: &Buckets) -> Option<f64> {
    let total = buckets.last().map(|(_, count)| *count)?;
    let rank = SHARE * total;
    let (mut low, mut below) = (0.0, 0.0);
    for (bound, count) in buckets {
        if *count >= rank && *count > below {
            let part = (rank - below) / (count - below);
            return Some(if bound.is_finite() {
                low + (bound - low) * part
            } else {
                low
            });
        }
        (low, below) = (*bound, *count);
    }
    None
}
