//! Retry budget per class and customer. See section 4.3 of `docs/design.md`.

use sequoiaridge_core::{ClassName, CustomerId};
use std::collections::BTreeMap;

/// Units of one token. Counting in integers keeps the sum of many deposits exact.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// Bounds the retries of each class and customer to `share * calls + burst`.
///
/// A full budget needs no entry, so only partly used budgets are stored. When the table is full, a
/// budget without an entry allows no retry; evicting another entry instead would refill that
/// budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    deposit: u64,
    burst: u64,
    limit: usize,
    len: usize,
    // Remaining units, always below `burst`.
    budgets: BTreeMap<ClassName, BTreeMap<CustomerId, u64>>,
}

impl RetryBudget {
    /// Creates full budgets. Each call deposits `share` of a token, at most `burst` tokens are
    /// kept, and at most `limit` budgets are tracked.
    pub fn new(share: f64, burst: u32, limit: usize) -> RetryBudget {
        RetryBudget {
            deposit: (share.max(0.0) * UNITS_PER_TOKEN as f64).round() as u64,
            burst: u64::from(burst) * UNITS_PER_TOKEN,
            limit,
            len: 0,
            budgets: BTreeMap::new(),
        }
    }

    /// Deposits the share that one call adds.
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

    /// Takes the token for one retry. Returns `false` if the retry is not allowed.
    pub fn take(&mut self, class: &str, customer: &str) -> bool {
        if let Some(left) = self
            .budgets
            .get_mut(class)
            .and_then(|c| c.get_mut(customer))
        {
            let enough = *left >= UNITS_PER_TOKEN;
            *left -= if enough { UNITS_PER_TOKEN } else { 0 };
            return enough;
        }
        if self.burst < UNITS_PER_TOKEN || self.len >= self.limit {
            return false;
        }
        let customers = self.budgets.entry(class.to_string()).or_default();
        customers.insert(customer.to_string(), self.burst - UNITS_PER_TOKEN);
        self.len += 1;
        true
    }

    /// Returns the number of budgets that are tracked.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether every budget is full.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
