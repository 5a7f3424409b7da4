//! A surge of 4 to 10 times the usual traffic of all customers, over a virtual clock.
//!
//! Guards against collapse: endpoints that run what is of no use any more, or reject what routers send.

mod admission_fleet;

use admission_fleet::{model, plain, surge_tests};

surge_tests! {
    plain_7_routers_4_times: plain(7, 4.0);
    plain_7_routers_10_times: plain(7, 10.0);
    plain_31_routers_8_times: plain(31, 8.0);
    plain_84_routers_4_times: plain(84, 4.0);
    plain_84_routers_8_times: plain(84, 8.0);
    plain_84_routers_10_times: plain(84, 10.0);
    plain_300_routers_10_times: plain(300, 10.0);
    model_7_routers_10_times: model(7, 10.0);
    model_31_routers_8_times: model(31, 8.0);
    model_84_routers_4_times: model(84, 4.0);
    model_84_routers_10_times: model(84, 10.0);
    model_300_routers_10_times: model(300, 10.0);
}
