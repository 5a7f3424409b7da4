//! Percentiles from the buckets of the histograms.
//!
//! The metrics library exposes the buckets of a histogram only in the exported text, so they are
//! parsed from there. The cost is acceptable because `status` is requested rarely.

use std::collections::BTreeMap;

/// Quantile to which latency targets apply.
const QUANTILE: f64 = 0.95;
const FIRST_TOKEN: &str = "sequoiaridge_first_token_seconds_bucket{";
const BETWEEN_TOKENS: &str = "sequoiaridge_between_tokens_seconds_bucket{";

/// The 95th percentiles of one class, in seconds; `None` without an observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Percentiles {
    pub(crate) first_token: Option<f64>,
    pub(crate) between_tokens: Option<f64>,
}

/// Upper bounds in seconds with cumulative counts, in ascending order.
type Buckets = Vec<(f64, f64)>;

/// Computes the percentiles of each class from exported metrics.
pub(crate) fn percentiles(text: &str) -> BTreeMap<String, Percentiles> {
    let mut all: BTreeMap<String, Percentiles> = BTreeMap::new();
    for (class, buckets) in parse_buckets(text, FIRST_TOKEN) {
        all.entry(class).or_default().first_token = percentile(&buckets);
    }
    for (class, buckets) in parse_buckets(text, BETWEEN_TOKENS) {
        all.entry(class).or_default().between_tokens = percentile(&buckets);
    }
    all
}

/// Parses the buckets of one histogram by class.
fn parse_buckets(text: &str, name: &str) -> BTreeMap<String, Buckets> {
    let mut all: BTreeMap<String, Buckets> = BTreeMap::new();
    for line in text.lines().filter_map(|line| line.strip_prefix(name)) {
        if let Some((class, bound, count)) = parse_bucket(line) {
            all.entry(class).or_default().push((bound, count));
        }
    }
    all
}

/// Parses the rest of a line such as `le="0.5",class="chat"} 3` into class, upper bound and count.
/// Class names contain neither quotes nor commas.
fn parse_bucket(line: &str) -> Option<(String, f64, f64)> {
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

/// Interpolates linearly within the bucket that contains the percentile. In the unbounded bucket,
/// returns its lower bound.
fn percentile(buckets: &Buckets) -> Option<f64> {
    let total = buckets.last().map(|(_, count)| *count)?;
    let rank = QUANTILE * total;
    let (mut low, mut below) = (0.0, 0.0);
    for (bound, count) in buckets {
        if *count >= rank && *count > below {
            let fraction = (rank - below) / (count - below);
            return Some(if bound.is_finite() {
                low + (bound - low) * fraction
            } else {
                low
            });
        }
        (low, below) = (*bound, *count);
    }
    None
}
