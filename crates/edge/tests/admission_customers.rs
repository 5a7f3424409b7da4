//! Customers that send 12 times as much as the others, within a surge and without one.
//!
//! Guards the others against a customer, or 24 at once, that takes the room of all.

mod admission_fleet;

use admission_fleet::{STEADY, Setup, model, plain, surge_tests};

/// The largest customer surges within a surge of all.
fn one(setup: Setup) -> Setup {
    Setup {
        hot: vec![0],
        ..setup
    }
}

/// 24 customers of all sizes surge; the others stay as they are.
fn many(setup: Setup) -> Setup {
    let others = (0..40).filter(|customer| !STEADY.contains(customer));
    Setup {
        hot: others.take(24).collect(),
        ..setup
    }
}

surge_tests! {
    one_at_plain_7: one(plain(7, 4.0));
    one_at_plain_31: one(plain(31, 4.0));
    one_at_plain_84: one(plain(84, 4.0));
    one_at_plain_300: one(plain(300, 4.0));
    one_at_model_31: one(model(31, 4.0));
    one_at_model_84: one(model(84, 4.0));
    one_at_model_300: one(model(300, 4.0));
    many_at_plain_7: many(plain(7, 1.0));
    many_at_plain_31: many(plain(31, 1.0));
    many_at_plain_84: many(plain(84, 1.0));
    many_at_plain_300: many(plain(300, 1.0));
    many_at_model_84: many(model(84, 1.0));
    many_at_model_300: many(model(300, 1.0));
}
