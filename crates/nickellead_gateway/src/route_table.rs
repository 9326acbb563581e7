//! Finding the route of a request, and the part of a split it goes to.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use nickellead_limit::CallerPatience;

use crate::{Declarations, RoutePart, RouteRule};

/// A route with the turn of its split.
#[derive(Debug)]
pub(crate) struct RouteEntry {
    pub(crate) rule: RouteRule,
    /// Credit of each part: the part with the most credit is next.
    credits: Vec<Cell<f64>>,
    /// How long its callers wait.
    pub(crate) patience: CallerPatience,
}

impl RouteEntry {
    fn new(rule: RouteRule) -> Self {
        let credits = rule.parts.iter().map(|_| Cell::new(0.0)).collect();
        Self { rule, credits, patience: CallerPatience::default() }
    }

    /// The part that the next request goes to: shares are kept to within one request.
    pub(crate) fn next_part(&self) -> Option<&RoutePart> {
        let total: f64 = self.rule.parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return self.rule.parts.first();
        }
        let mut best = None;
        for (part, credit) in self.rule.parts.iter().zip(&self.credits) {
            credit.set(credit.get() + part.weight / total);
            if best.is_none_or(|(_, most)| credit.get() > most) {
                best = Some((part, credit.get()));
            }
        }
        let (part, _) = best?;
        let place = self.rule.parts.iter().position(|other| std::ptr::eq(other, part))?;
        self.credits[place].set(self.credits[place].get() - 1.0);
        Some(part)
    }
}

/// All routes by host, longest prefix first.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    hosts: HashMap<String, Vec<Rc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table; splits that did not change keep their turn.
    pub(crate) fn build(declarations: &Declarations, old: &Self) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<RouteEntry>>> = HashMap::new();
        for rule in &declarations.routes {
            let host = rule.host.to_ascii_lowercase();
            let kept = old.hosts.get(&host).and_then(|entries| {
                entries.iter().find(|entry| entry.rule == *rule).map(Rc::clone)
            });
            let entry = kept.unwrap_or_else(|| Rc::new(RouteEntry::new(rule.clone())));
            hosts.entry(host).or_default().push(entry);
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.rule.path_prefix.len()));
        }
        Self { hosts }
    }

    /// The route with the longest prefix of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        let entries = match self.hosts.get(host) {
            Some(entries) => entries,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        entries.iter().find(|entry| path.starts_with(&entry.rule.path_prefix)).map(Rc::clone)
    }
}
