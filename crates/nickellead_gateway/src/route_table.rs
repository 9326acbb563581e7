//! Finding the route of a request, and the part of a split it goes to.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use nickellead_limit::WaitTolerance;

use crate::{Declarations, SharedRoute, WeightedService};

/// A route with the turn of its split.
#[derive(Debug)]
pub(crate) struct RouteEntry {
    pub(crate) rule: SharedRoute,
    /// Credit of each part: the part with the most credit is next.
    credits: Vec<Cell<f64>>,
    /// How long its callers wait.
    pub(crate) wait_tolerance: WaitTolerance,
}

impl RouteEntry {
    fn new(rule: SharedRoute) -> Self {
        let credits = rule.split.iter().map(|_| Cell::new(0.0)).collect();
        Self { rule, credits, wait_tolerance: WaitTolerance::default() }
    }

    /// The part that the next request goes to: shares are kept to within one request.
    pub(crate) fn next_service(&self) -> Option<&WeightedService> {
        let total: f64 = self.rule.split.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return self.rule.split.first();
        }
        let mut best = None;
        for (part, credit) in self.rule.split.iter().zip(&self.credits) {
            credit.set(credit.get() + part.weight / total);
            if best.is_none_or(|(_, most)| credit.get() > most) {
                best = Some((part, credit.get()));
            }
        }
        let (part, _) = best?;
        let place = self.rule.split.iter().position(|other| std::ptr::eq(other, part))?;
        self.credits[place].set(self.credits[place].get() - 1.0);
        Some(part)
    }
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Rc<RouteEntry>>,
    /// Lengths that prefixes have, longest first.
    lengths: Vec<usize>,
}

impl HostRoutes {
    /// Adds a route; of two with one prefix the first one by name counts, for VMs know the same routes
    /// in different orders.
    fn add(&mut self, entry: Rc<RouteEntry>) {
        let prefix = entry.rule.path_prefix.clone();
        self.lengths.push(prefix.len());
        let known = self.by_prefix.get(&prefix);
        if known.is_none_or(|known| entry.rule.name < known.rule.name) {
            self.by_prefix.insert(prefix, entry);
        }
    }

    fn sort_lengths(&mut self) {
        self.lengths.sort_unstable_by_key(|length| std::cmp::Reverse(*length));
        self.lengths.dedup();
    }

    /// The route with the longest prefix of the path: one look a length, however many routes.
    fn find(&self, path: &str) -> Option<&Rc<RouteEntry>> {
        let prefixes = self.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| self.by_prefix.get(prefix)).next()
    }
}

/// All routes by host.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    hosts: HashMap<String, HostRoutes>,
}

impl RouteTable {
    /// Builds the table; routes that did not change keep the turn of their split.
    ///
    /// Its time grows with the routes, not with their square: on a VM with a tenth of a core the
    /// request duty stands still meanwhile.
    pub(crate) fn build(declarations: &Declarations, old: &Self) -> Self {
        let known = old.by_name();
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for rule in &declarations.routes {
            let same = known.get(rule.name.as_str()).filter(|entry| entry.rule == *rule);
            let entry = match same {
                Some(same) => Rc::clone(same),
                None => Rc::new(RouteEntry::new(rule.clone())),
            };
            hosts.entry(rule.host.to_ascii_lowercase()).or_default().add(entry);
        }
        hosts.values_mut().for_each(HostRoutes::sort_lengths);
        Self { hosts }
    }

    fn by_name(&self) -> HashMap<&str, &Rc<RouteEntry>> {
        let entries = self.hosts.values().flat_map(|host| host.by_prefix.values());
        entries.map(|entry| (entry.rule.name.as_str(), entry)).collect()
    }

    /// The route with the longest prefix of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.find(path).map(Rc::clone)
    }
}
