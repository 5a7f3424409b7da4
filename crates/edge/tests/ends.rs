//! Attribution of endpoint terminations to the requests that ran there.

use sequoiaridge_edge::{Loss, LossOutcome, Run, Terminations};
use sequoiaridge_policy::{Crash, Suspect};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn begin(terminations: &Terminations, fingerprint: u64) -> Run {
    terminations.begin("x", &[Suspect::Request(fingerprint)], "e", "1")
}

fn crash_of(run: &Run) -> Crash {
    run.crashes().next().expect("a suspect")
}

fn fingerprints(runs: &[Run]) -> Vec<u64> {
    runs.iter()
        .flat_map(Run::crashes)
        .map(|crash| match crash.suspect {
            Suspect::Request(fingerprint) => fingerprint,
            Suspect::Part(id) => panic!("part {id}"),
        })
        .collect()
}

/// Guards against a request that counts as a crash although only its connection was lost.
#[test]
fn a_lost_connection_to_a_live_endpoint_is_no_termination() {
    let mut terminations = Terminations::new();
    let run = begin(&terminations, 1);
    assert_eq!(
        terminations.record_loss(&run, Loss::ConnectionLost, ms(0)),
        LossOutcome::Probe
    );
    terminations.record_reachable("e");
    assert!(terminations.record_end("e", "1", ms(500)).is_empty());
}

/// Guards against runs that are not counted although they were lost together with one that is, and
/// against a probe of the endpoint for each of them.
#[test]
fn a_termination_counts_for_every_run_with_one_probe() {
    let mut terminations = Terminations::new();
    let runs: Vec<Run> = (0..5)
        .map(|fingerprint| begin(&terminations, fingerprint))
        .collect();
    let outcomes: Vec<LossOutcome> = runs[..4]
        .iter()
        .map(|run| terminations.record_loss(run, Loss::ConnectionLost, ms(0)))
        .collect();
    let expected = [
        LossOutcome::Probe,
        LossOutcome::Pending,
        LossOutcome::Pending,
        LossOutcome::Pending,
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(
        fingerprints(&terminations.record_end("e", "1", ms(2))),
        [0, 1, 2, 3]
    );
    // The loss of the last run is noticed when the termination is already known.
    assert_eq!(
        terminations.record_loss(&runs[4], Loss::ConnectionLost, ms(900)),
        LossOutcome::Crashed
    );
}

/// Guards against a crash that does not count because its caller left before the silent endpoint
/// was known to have terminated, and against one that counts although the endpoint was reached
/// since.
#[test]
fn an_abandoned_run_counts_unless_the_endpoint_was_reached_since() {
    let mut terminations = Terminations::new();
    let run = begin(&terminations, 1);
    assert_eq!(
        terminations.record_loss(&run, Loss::Abandoned, ms(0)),
        LossOutcome::Pending
    );
    assert_eq!(
        fingerprints(&terminations.record_end("e", "1", ms(900))),
        [1]
    );

    let mut terminations = Terminations::new();
    let run = begin(&terminations, 1);
    terminations.record_loss(&run, Loss::Abandoned, ms(0));
    terminations.record_reachable("e");
    assert!(terminations.record_end("e", "1", ms(900)).is_empty());
    let run = begin(&terminations, 2);
    terminations.record_loss(&run, Loss::Abandoned, ms(1000));
    assert!(
        terminations.record_end("e", "1", ms(9000)).is_empty(),
        "long after"
    );
}

/// Guards against several terminations of an endpoint that count as one because it keeps its id,
/// and against copies of a request on one endpoint that count as several terminations.
#[test]
fn a_restarted_endpoint_can_terminate_again() {
    let mut terminations = Terminations::new();
    for earlier in 0..3 {
        let (run, copy) = (begin(&terminations, 1), begin(&terminations, 1));
        assert_eq!(run.earlier, earlier);
        assert!(run.crashes().eq(copy.crashes()));
        terminations.record_loss(&run, Loss::ConnectionLost, ms(0));
        assert_eq!(terminations.record_end("e", "1", ms(1)).len(), 1);
        // Further refused connections show the same termination.
        assert!(terminations.record_end("e", "1", ms(200)).is_empty());
        terminations.record_reachable("e");
    }
    assert_eq!(
        terminations
            .begin("x", &[Suspect::Request(1)], "e", "2")
            .earlier,
        0
    );
}

/// Guards against routers that count one termination twice: one that another router saw is known
/// here.
#[test]
fn terminations_seen_by_other_routers_are_known() {
    let (mut one, mut other) = (Terminations::new(), Terminations::new());
    let run = begin(&one, 1);
    one.record_loss(&run, Loss::ConnectionLost, ms(0));
    one.record_end("e", "1", ms(1));
    other.apply_crash(&crash_of(&run));
    assert!(other.record_end("e", "1", ms(100)).is_empty());
    other.record_reachable("e");
    assert_eq!(begin(&other, 2).earlier, 1);
}

/// Guards against a crash that does not count because the endpoint restarted so fast that it was
/// reached at once: the registry then lists a new boot id.
#[test]
fn a_new_boot_id_shows_a_termination() {
    let mut terminations = Terminations::new();
    let run = begin(&terminations, 1);
    terminations.record_loss(&run, Loss::ConnectionLost, ms(0));
    terminations.record_reachable("e");
    assert_eq!(
        fingerprints(&terminations.record_restart("e", "2", ms(1500))),
        [1]
    );
    // A run from before the restart whose loss is noticed only now.
    assert_eq!(
        terminations.record_loss(&run, Loss::ConnectionLost, ms(1600)),
        LossOutcome::Crashed
    );
    let later = terminations.begin("x", &[Suspect::Request(2)], "e", "2");
    terminations.record_loss(&later, Loss::ConnectionLost, ms(2000));
    assert!(terminations.record_restart("e", "2", ms(2100)).is_empty());
}

/// Guards against a crash that counts for a run whose caller left, although the endpoint had restarted
/// before the run was sent and the registry lists the new boot id only now (found by the soak, seed 1).
#[test]
fn a_restart_that_is_listed_late_is_no_crash_of_a_later_run() {
    for has_terminated_again in [false, true] {
        let mut terminations = Terminations::new();
        let first = begin(&terminations, 1);
        terminations.record_loss(&first, Loss::ConnectionLost, ms(0));
        assert_eq!(terminations.record_end("e", "1", ms(1)).len(), 1);
        terminations.record_reachable("e");
        let later = begin(&terminations, 2);
        terminations.record_loss(&later, Loss::Abandoned, ms(2500));
        if has_terminated_again {
            terminations.apply_crash(&crash_of(&later));
        }
        let crashed = terminations.record_restart("e", "2", ms(4000));
        let expected: &[u64] = if has_terminated_again { &[2] } else { &[] };
        assert_eq!(fingerprints(&crashed), expected);
    }
}

/// Guards against requests of other routers that count as crashes because a partitioned router
/// reports an endpoint as unreachable.
#[test]
fn a_report_of_another_router_counts_for_abandoned_runs_only() {
    let mut terminations = Terminations::new();
    let (lost, abandoned) = (begin(&terminations, 1), begin(&terminations, 2));
    terminations.record_loss(&lost, Loss::ConnectionLost, ms(0));
    terminations.record_loss(&abandoned, Loss::Abandoned, ms(0));
    assert_eq!(
        fingerprints(&terminations.reported_unreachable("e", ms(100))),
        [2]
    );
    assert!(
        terminations
            .reported_unreachable("other", ms(100))
            .is_empty()
    );
}

/// Guards against parts that are held because their requests were still being answered at endpoints
/// that crashed for another reason.
#[test]
fn an_answer_that_went_on_speaks_for_the_parts_of_its_prompt() {
    let mut terminations = Terminations::new();
    let suspects = [Suspect::Request(1), Suspect::Part(7)];
    let reading = terminations.begin("x", &suspects, "e", "1");
    let answering = Run {
        progressed: true,
        ..reading.clone()
    };
    for run in [&reading, &answering] {
        terminations.record_loss(run, Loss::ConnectionLost, ms(0));
    }
    let lost = terminations.record_end("e", "1", ms(2));
    let blamed: Vec<Vec<Suspect>> = lost
        .iter()
        .map(|run| run.crashes().map(|crash| crash.suspect).collect())
        .collect();
    assert_eq!(blamed, [suspects.to_vec(), vec![Suspect::Request(1)]]);
}
