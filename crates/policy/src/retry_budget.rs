//! Budget of retries per class and customer. See section 4.3 of `docs/design.md`.

use sequoiaridge_core::{ClassName, CustomerId};
use std::collections::BTreeMap;

/// Units of one token; integers keep the sum of many deposits exact.
const TOKEN: u64 = 1_000_000;

/// Bounds the retries of each class and customer to `share * calls + burst`.
///
/// A full budget needs no entry, so only the budgets that were drawn on are kept. When the table is
/// full, a budget without an entry allows no retry; dropping another entry instead would refill it.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    deposit: u64,
    burst: u64,
    limit: usize,
    len: usize,
    // Units left, always below `burst`.
    budgets: BTreeMap<ClassName, BTreeMap<CustomerId, u64>>,
}

impl RetryBudget {
    /// Creates full budgets. Each call deposits `share` of a token, at most `burst` tokens are kept,
    /// and at most `limit` budgets are tracked.
    pub fn new(share: f64, burst: u32, limit: usize) -> RetryBudget {
        RetryBudget {
            deposit: (share.max(0.0) * TOKEN as f64).round() as u64,
            burst: u64::from(burst) * TOKEN,
            limit,
            len: 0,
            budgets: BTreeMap::new(),
        }
    }

    /// Deposits the share of one call.
    pub fn deposit(&mut self, class: &str, customer: &str) {
        let Some(customers) = self.budgets.get_mut(class) else {
            return;
        };
        let Some(left) = customers.get_mut(customer) else {
            return;
        };
        *left += self.deposit;
        if *left >= self.burst {
            customers.remove(customer);
            self.len -= 1;
            if customers.is_empty() {
                self.budgets.remove(class);
            }
        }
    }

    /// Takes the token of one retry; `false` if the retry is not allowed.
    pub fn take(&mut self, class: &str, customer: &str) -> bool {
        if let Some(left) = self
            .budgets
            .get_mut(class)
            .and_then(|c| c.get_mut(customer))
        {
            let enough = *left >= TOKEN;
            *left -= if enough { TOKEN } else { 0 };
            return enough;
        }
        if self.burst < TOKEN || self.len >= self.limit {
            return false;
        }
        let customers = self.budgets.entry(class.to_string()).or_default();
        customers.insert(customer.to_string(), self.burst - TOKEN);
        self.len += 1;
        true
    }

    /// Number of budgets that are tracked.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether every budget is full.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
