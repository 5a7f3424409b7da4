//! Fits the demand that a router reports into a datagram.

use crate::admission::DemandReport;

/// Bytes of a message of its own for demand. The fields that every message carries take up to 300, and a
/// datagram holds 1,200.
pub const MAX_DEMAND_BYTES: usize = 800;
/// The same in a large fleet, where rounds take half of the 23 KB/s that a router may spend on control traffic.
/// It holds two services with 12 customers each, or more with fewer.
pub(crate) const LARGE_FLEET_DEMAND_BYTES: usize = 320;
/// Most bytes of a report without its lists, of a rank and of a customer.
const REPORT_BYTES: usize = 23;
const RANK_BYTES: usize = 5;
const CUSTOMER_BYTES: usize = 9;

/// Most bytes that reports take in a message.
pub fn demand_bytes(reports: &[DemandReport]) -> usize {
    let bytes = |report: &DemandReport| {
        let lists = report.ranks.len() * RANK_BYTES + report.customers.len() * CUSTOMER_BYTES;
        REPORT_BYTES + lists
    };
    reports.iter().map(bytes).sum()
}

/// Reduces reports to at most `limit` bytes: the smallest customers are counted with the others first, over
/// all services; if that is not enough, the services with the least demand are left out.
pub fn fit_demand(mut reports: Vec<DemandReport>, limit: usize) -> Vec<DemandReport> {
    let mut excess = demand_bytes(&reports).saturating_sub(limit);
    while excess > 0 {
        let smallest = reports.iter_mut().filter_map(|report| {
            let by_demand = |(_, a): &(usize, f32), (_, b): &(usize, f32)| a.total_cmp(b);
            let demands = report.customers.iter().map(|(_, demand)| *demand);
            let (index, demand) = demands.enumerate().min_by(by_demand)?;
            Some((demand, index, report))
        });
        let smallest = smallest.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        if let Some((demand, index, report)) = smallest {
            report.customers.remove(index);
            report.others.0 += demand;
            report.others.1 = report.others.1.saturating_add(1);
        } else {
            let totals = reports.iter().map(|report| report.total + report.late);
            let least = totals.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
            let Some((index, _)) = least else {
                break;
            };
            reports.remove(index);
        }
        excess = demand_bytes(&reports).saturating_sub(limit);
    }
    reports
}
