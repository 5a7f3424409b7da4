//! A surge while a tenth of the routers is cut off, a third has just started, or what routers know is
//! wrong by half.
//!
//! Guards against admission that is exact only as long as all routers know all.

mod admission_fleet;

use admission_fleet::{Setup, model, plain, surge_tests};

surge_tests! {
    cut_off_plain_31: Setup { cut_off: 0.1, ..plain(31, 8.0) };
    cut_off_plain_84: Setup { cut_off: 0.1, ..plain(84, 8.0) };
    cut_off_model_84: Setup { cut_off: 0.1, ..model(84, 10.0) };
    cut_off_plain_300: Setup { cut_off: 0.1, ..plain(300, 8.0) };
    restarted_plain_7: Setup { restarted: 0.34, ..plain(7, 8.0) };
    restarted_plain_84: Setup { restarted: 0.34, ..plain(84, 8.0) };
    restarted_model_84: Setup { restarted: 0.34, ..model(84, 10.0) };
    short_holds_plain_84: Setup { hold_error: 0.5, ..plain(84, 8.0) };
    long_holds_plain_84: Setup { hold_error: 1.5, ..plain(84, 8.0) };
    short_holds_model_84: Setup { hold_error: 0.5, ..model(84, 10.0) };
    long_holds_model_84: Setup { hold_error: 1.5, ..model(84, 10.0) };
    few_routers_known_plain_84: Setup { count_error: 0.5, ..plain(84, 8.0) };
    many_routers_known_plain_84: Setup { count_error: 1.5, ..plain(84, 8.0) };
}
