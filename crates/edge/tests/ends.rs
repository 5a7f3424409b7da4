//! Which requests ran on an endpoint when it ended.

use sequoiaridge_edge::{Loss, LossOutcome, Run, Terminations};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn begin(ends: &Terminations, fingerprint: u64) -> Run {
    ends.begin("x", fingerprint, "e", "1")
}

fn fingerprints(runs: &[Run]) -> Vec<u64> {
    runs.iter().map(|run| run.crash.fingerprint).collect()
}

/// Guards against a request that counts as a crash although only its connection broke.
#[test]
fn a_broken_connection_to_a_living_endpoint_is_no_end() {
    let mut ends = Terminations::new();
    let run = begin(&ends, 1);
    assert_eq!(
        ends.record_loss(&run, Loss::ConnectionLost, ms(0)),
        LossOutcome::Probe
    );
    ends.record_reachable("e");
    assert!(ends.record_end("e", "1", ms(500)).is_empty());
}

/// Guards against runs that broke together with one of them and are not counted, or that each open a
/// connection to find out whether the endpoint ended.
#[test]
fn an_end_counts_for_every_run_with_one_check() {
    let mut ends = Terminations::new();
    let runs: Vec<Run> = (0..5)
        .map(|fingerprint| begin(&ends, fingerprint))
        .collect();
    let found: Vec<LossOutcome> = runs[..4]
        .iter()
        .map(|run| ends.record_loss(run, Loss::ConnectionLost, ms(0)))
        .collect();
    let once = [
        LossOutcome::Probe,
        LossOutcome::Pending,
        LossOutcome::Pending,
        LossOutcome::Pending,
    ];
    assert_eq!(found, once);
    assert_eq!(
        fingerprints(&ends.record_end("e", "1", ms(2))),
        [0, 1, 2, 3]
    );
    // The break of the last one is noticed when the end is known.
    assert_eq!(
        ends.record_loss(&runs[4], Loss::ConnectionLost, ms(900)),
        LossOutcome::Crashed
    );
}

/// Guards against a caller that leaves before the end of a silent endpoint is known, and against one that
/// counts although the endpoint answered others since.
#[test]
fn a_run_that_was_left_counts_if_nothing_was_heard_since() {
    let mut ends = Terminations::new();
    let run = begin(&ends, 1);
    assert_eq!(
        ends.record_loss(&run, Loss::Abandoned, ms(0)),
        LossOutcome::Pending
    );
    assert_eq!(fingerprints(&ends.record_end("e", "1", ms(900))), [1]);

    let mut ends = Terminations::new();
    let run = begin(&ends, 1);
    ends.record_loss(&run, Loss::Abandoned, ms(0));
    ends.record_reachable("e");
    assert!(ends.record_end("e", "1", ms(900)).is_empty());
    let run = begin(&ends, 2);
    ends.record_loss(&run, Loss::Abandoned, ms(1000));
    assert!(ends.record_end("e", "1", ms(9000)).is_empty(), "long after");
}

/// Guards against ends of an endpoint that count as one because it keeps its id, and against copies of a
/// request on one endpoint that count as several ends.
#[test]
fn an_endpoint_that_is_back_ends_again() {
    let mut ends = Terminations::new();
    for earlier in 0..3 {
        let (run, copy) = (begin(&ends, 1), begin(&ends, 1));
        assert_eq!(run.crash.earlier, earlier);
        assert_eq!(run.crash, copy.crash);
        ends.record_loss(&run, Loss::ConnectionLost, ms(0));
        assert_eq!(ends.record_end("e", "1", ms(1)).len(), 1);
        // Further connections that are refused show the same end.
        assert!(ends.record_end("e", "1", ms(200)).is_empty());
        ends.record_reachable("e");
    }
    assert_eq!(ends.begin("x", 1, "e", "2").crash.earlier, 0);
}

/// Guards against routers that give one end two names: what another one saw is known here.
#[test]
fn ends_that_others_saw_are_known() {
    let (mut one, mut other) = (Terminations::new(), Terminations::new());
    let run = begin(&one, 1);
    one.record_loss(&run, Loss::ConnectionLost, ms(0));
    one.record_end("e", "1", ms(1));
    other.apply_crash(&run.crash);
    assert!(other.record_end("e", "1", ms(100)).is_empty());
    other.record_reachable("e");
    assert_eq!(begin(&other, 2).crash.earlier, 1);
}

/// Guards against an endpoint that starts again so fast that it can be reached at once: the list tells its
/// new start.
#[test]
fn a_new_start_shows_an_end() {
    let mut ends = Terminations::new();
    let run = begin(&ends, 1);
    ends.record_loss(&run, Loss::ConnectionLost, ms(0));
    ends.record_reachable("e");
    assert_eq!(fingerprints(&ends.record_restart("e", "2", ms(1500))), [1]);
    // A run of before that breaks only now.
    assert_eq!(
        ends.record_loss(&run, Loss::ConnectionLost, ms(1600)),
        LossOutcome::Crashed
    );
    let later = ends.begin("x", 2, "e", "2");
    ends.record_loss(&later, Loss::ConnectionLost, ms(2000));
    assert!(ends.record_restart("e", "2", ms(2100)).is_empty());
}

/// Guards against a router that is cut off and whose word makes requests of others count.
#[test]
fn the_word_of_another_router_counts_for_silent_ends_only() {
    let mut ends = Terminations::new();
    let (broke, left) = (begin(&ends, 1), begin(&ends, 2));
    ends.record_loss(&broke, Loss::ConnectionLost, ms(0));
    ends.record_loss(&left, Loss::Abandoned, ms(0));
    assert_eq!(fingerprints(&ends.reported_unreachable("e", ms(100))), [2]);
    assert!(ends.reported_unreachable("other", ms(100)).is_empty());
}
