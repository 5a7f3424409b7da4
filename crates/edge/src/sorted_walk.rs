//! Lookups of ascending ids in a sorted table.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::collections::btree_map::Iter;

/// Looks up ids that ascend, each at most once. A pass over thousands of endpoints then moves through each table
/// once instead of descending its tree for every id.
pub(crate) struct SortedWalk<'a, K, V> {
    entries: Iter<'a, K, V>,
    next: Option<(&'a K, &'a V)>,
}

impl<'a, K: Borrow<str>, V> SortedWalk<'a, K, V> {
    /// Starts before the first id of a table.
    pub(crate) fn new(table: &'a BTreeMap<K, V>) -> SortedWalk<'a, K, V> {
        let mut entries = table.iter();
        let next = entries.next();
        SortedWalk { entries, next }
    }

    /// The value of an id, which must come after those that were asked for before.
    pub(crate) fn find(&mut self, id: &str) -> Option<&'a V> {
        while let Some((known, value)) = self.next {
            let order = known.borrow().cmp(id);
            if order.is_gt() {
                return None;
            }
            self.next = self.entries.next();
            if order.is_eq() {
                return Some(value);
            }
        }
        None
    }
}
