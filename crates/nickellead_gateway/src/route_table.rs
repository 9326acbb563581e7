//! The route table: finds a request's route by host and path prefix, and splits traffic by weight.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use nickellead_limit::{SizeEstimate, WaitTolerance};

use crate::{Declarations, SharedRoute, WeightedService};

/// A route with the state of its weighted split.
#[derive(Debug)]
pub(crate) struct RouteEntry {
    pub(crate) rule: SharedRoute,
    /// Credit of each service in the split, for smooth weighted round-robin.
    credits: Vec<Cell<f64>>,
    /// Estimate of how long its callers wait.
    pub(crate) wait_tolerance: WaitTolerance,
    /// Expected size of its responses.
    pub(crate) response_size: SizeEstimate,
}

impl RouteEntry {
    fn new(rule: SharedRoute) -> Self {
        let credits = rule.split.iter().map(|_| Cell::new(0.0)).collect();
        Self {
            rule,
            credits,
            wait_tolerance: WaitTolerance::default(),
            response_size: SizeEstimate::default(),
        }
    }

    /// The service of the next request, by smooth weighted round-robin.
    pub(crate) fn next_service(&self) -> Option<&WeightedService> {
        let total: f64 = self.rule.split.iter().map(|service| service.weight).sum();
        if total <= 0.0 {
            return self.rule.split.first();
        }
        let mut best = None;
        for (service, credit) in self.rule.split.iter().zip(&self.credits) {
            credit.set(credit.get() + service.weight / total);
            if best.is_none_or(|(_, max)| credit.get() > max) {
                best = Some((service, credit.get()));
            }
        }
        let (service, _) = best?;
        let index = self.rule.split.iter().position(|other| std::ptr::eq(other, service))?;
        self.credits[index].set(self.credits[index].get() - 1.0);
        Some(service)
    }
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Rc<RouteEntry>>,
    /// Distinct lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

impl HostRoutes {
    /// Adds a route. If two have the same prefix, the first by name wins, because the order of
    /// routes differs between VMs.
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

    /// The route with the longest matching prefix, with one lookup for each prefix length.
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
    /// Builds the table; unchanged routes keep the state of their split.
    ///
    /// It blocks the request thread, so its time must stay linear in the number of routes.
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

    /// The route with the longest prefix of the path; the host is compared without case.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.find(path).map(Rc::clone)
    }
}
