//! Events that wait to be sent to the other routers.

use sequoiaridge_edge::{Outbox, PeerMessage};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn unreachable(outbox: &mut Outbox, now: Duration) -> Vec<String> {
    let mut message = PeerMessage::default();
    outbox.fill(&mut message, now);
    message.unreachable
}

/// Guards against a router that was paused and then reports an endpoint that could not be reached
/// before: at the others, that endpoint would seem to crash under the runs that their callers left,
/// and the last answers of a start that ends as planned would be cut (found by the soak, seed 4).
#[test]
fn a_report_of_an_unreachable_endpoint_that_waited_is_dropped() {
    let mut outbox = Outbox::default();
    outbox.add_unreachable("e1", ms(0));
    outbox.add_unreachable("e2", ms(0));
    assert_eq!(unreachable(&mut outbox, ms(100)), ["e1", "e2"]);
    outbox.add_unreachable("e2", ms(900));
    assert_eq!(unreachable(&mut outbox, ms(1000)), ["e2"]);
    assert!(unreachable(&mut outbox, ms(4000)).is_empty());
}
