//! A surge while a tenth of the routers is cut off, a third has just started, or what routers know is
//! wrong by half.
//!
//! Guards against admission that is exact only as long as all routers know all.

mod admission_fleet;

use admission_fleet::{Setup, check_surge, model, plain, play};

macro_rules! faults {
    ($($test:ident: $service:ident, $routers:expr, $surge:expr, $($field:ident: $value:expr),*;)*) => {
        $(#[test]
        fn $test() {
            let setup = Setup { $($field: $value,)* ..$service($routers, $surge) };
            check_surge(stringify!($test), &play(setup));
        })*
    };
}

faults! {
    cut_off_plain_31: plain, 31, 8.0, cut_off: 0.1;
    cut_off_plain_84: plain, 84, 8.0, cut_off: 0.1;
    cut_off_model_84: model, 84, 10.0, cut_off: 0.1;
    cut_off_plain_300: plain, 300, 8.0, cut_off: 0.1;
    restarted_plain_7: plain, 7, 8.0, restarted: 0.34;
    restarted_plain_84: plain, 84, 8.0, restarted: 0.34;
    restarted_model_84: model, 84, 10.0, restarted: 0.34;
    short_holds_plain_84: plain, 84, 8.0, hold_error: 0.5;
    long_holds_plain_84: plain, 84, 8.0, hold_error: 1.5;
    short_holds_model_84: model, 84, 10.0, hold_error: 0.5;
    long_holds_model_84: model, 84, 10.0, hold_error: 1.5;
    few_routers_known_plain_84: plain, 84, 8.0, count_error: 0.5;
    many_routers_known_plain_84: plain, 84, 8.0, count_error: 1.5;
}
