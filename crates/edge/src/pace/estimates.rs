//! The estimates of all endpoints, with those set apart that may take effect.
//!
//! Estimates only fade towards 1, so that one below the effective pace takes no effect until it changes. In an
//! even fleet nearly all are below it, and most comparisons need not look them up.

use super::effect::EFFECTIVE_PACE;
use super::estimate::Estimate;
use crate::load_reports::ReportKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// Estimates by endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    known: BTreeMap<u32, Estimate>,
    /// Endpoints whose estimate was effective at its last change, in order. They are few.
    raised: Vec<u32>,
    /// Number of estimates that were above 1 at their last change.
    above_usual: usize,
}

impl Estimates {
    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(super) fn get(&self, key: ReportKey) -> Option<&Estimate> {
        self.known.get(&number(key))
    }

    /// The estimate of an endpoint, if its pace may take effect.
    pub(super) fn raised(&self, key: ReportKey) -> Option<&Estimate> {
        let number = number(key);
        self.raised.binary_search(&number).ok()?;
        self.known.get(&number)
    }

    /// Whether no pace may take effect.
    pub(super) fn is_even(&self) -> bool {
        self.raised.is_empty()
    }

    /// The estimates that may take effect, in the order of their keys.
    pub(super) fn all_raised(&self) -> impl Iterator<Item = (ReportKey, &Estimate)> {
        let raised = self.raised.iter();
        raised.filter_map(|number| Some((number.to_be_bytes(), self.known.get(number)?)))
    }

    /// Most endpoints whose pace may be above 1.
    pub(super) fn above_usual(&self) -> usize {
        self.above_usual
    }

    /// Changes the estimate of an endpoint.
    pub(super) fn change(&mut self, key: ReportKey, change: impl FnOnce(&mut Estimate)) {
        let number = number(key);
        let estimate = self.known.entry(number).or_default();
        let before = estimate.last();
        change(estimate);
        let after = estimate.last();
        let place = self.raised.binary_search(&number);
        match (place, after >= EFFECTIVE_PACE) {
            (Err(at), true) => self.raised.insert(at, number),
            (Ok(at), false) => drop(self.raised.remove(at)),
            _ => {}
        }
        self.above_usual += usize::from(after > 1.0);
        self.above_usual -= usize::from(before > 1.0);
    }

    /// Drops the estimates whose last sample is `max_age` old.
    pub(super) fn expire(&mut self, max_age: Duration, now: Duration) {
        let before = self.known.len();
        self.known.retain(|_, estimate| {
            let keeps = now < estimate.at() + max_age;
            if !keeps {
                self.above_usual -= usize::from(estimate.last() > 1.0);
            }
            keeps
        });
        if self.known.len() < before {
            self.raised.retain(|number| self.known.contains_key(number));
        }
    }
}

/// A key as a number of the same order, which is compared faster.
fn number(key: ReportKey) -> u32 {
    u32::from_be_bytes(key)
}
