//! Following the store: declarations, targets, ranges.
//!
//! Each is read once and then watched. A watch that finds its history
//! forgotten reads anew and compares, so that no removal is missed. A watch
//! under way when the store answers again after a failure is started anew:
//! the old one may never be answered.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_range::RangeMap;
use tokio::sync::watch;

use crate::store_health::StoreHealth;
use crate::{
    Declarations, Revision, StoreError, StorePort, Stored, TargetChange, TargetList, TargetState,
};

/// How long one watch waits for changes: each end of a wait is a call that is paid for.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Changes of targets that come within this time are read by one call.
const TARGET_PAUSE: Duration = Duration::from_millis(350);
/// Changes of declarations that come within this time are read by one call.
const DECLARATION_PAUSE: Duration = Duration::from_millis(120);
/// After the store's return, entries that lapsed meanwhile are back within this time.
///
/// The users' letter says "within about two seconds".
const LAPSE_TIME: Duration = Duration::from_millis(2_200);

/// Runs a watch, but ends it when the store has just come back.
async fn watched<T>(
    health: &StoreHealth,
    watch: impl Future<Output = Result<T, StoreError>>,
) -> Option<Result<T, StoreError>> {
    tokio::select! {
        result = watch => {
            health.note(&result);
            Some(result)
        }
        () = health.back.notified() => None,
    }
}

/// Follows the declarations for as long as the process lives.
pub(crate) async fn follow_declarations<S: StorePort>(
    store: Rc<S>,
    health: Rc<StoreHealth>,
    told: watch::Sender<Option<Arc<Declarations>>>,
) {
    let mut from: Option<Revision> = None;
    loop {
        let answered = match from {
            None => {
                let result = store.declarations().await;
                health.note(&result);
                Some(result)
            }
            Some(from) => watched(&health, store.watch_declarations(from, WATCH_WAIT)).await,
        };
        match answered {
            None => {}
            Some(Ok(snapshot)) => {
                from = Some(snapshot.as_of);
                if let Some(declarations) = snapshot.value {
                    tell_declarations(&told, declarations);
                    tokio::time::sleep(DECLARATION_PAUSE).await;
                }
            }
            Some(Err(StoreError::Forgotten)) => from = None,
            Some(Err(_)) => health.pause().await,
        }
    }
}

/// Tells newer declarations; an old copy never replaces a newer one.
fn tell_declarations(told: &watch::Sender<Option<Arc<Declarations>>>, new: Declarations) {
    let version = new.version;
    let newer = told.send_if_modified(|known| {
        if known.as_ref().is_some_and(|known| known.version >= version) {
            return false;
        }
        *known = Some(Arc::new(new));
        true
    });
    if newer {
        log_event(EventName::ConfigInForce, &[("version", &version)]);
    }
}

/// The list of targets, with removals that wait because the store was away.
struct TargetBook {
    list: TargetList,
    /// Entries that are gone from the store, and when they are taken as gone.
    lapsing: BTreeMap<String, Instant>,
}

impl TargetBook {
    fn replace(&mut self, list: TargetList, lapse: Option<Instant>) {
        let gone: Vec<String> =
            self.list.keys().filter(|id| !list.contains_key(*id)).cloned().collect();
        for (_, entry) in list {
            self.apply(TargetChange::Listed(entry), lapse);
        }
        for id in gone {
            self.apply(TargetChange::Gone(id), lapse);
        }
    }

    fn apply(&mut self, change: TargetChange, lapse: Option<Instant>) {
        match change {
            TargetChange::Listed(entry) => {
                self.lapsing.remove(&entry.id);
                let known = self.list.get(&entry.id).map(|known| known.state);
                if known != Some(entry.state) {
                    let state = match entry.state {
                        TargetState::Ready => "ready",
                        TargetState::Draining => "draining",
                    };
                    log_target(&entry.id, &entry.service, state);
                }
                self.list.insert(entry.id.clone(), entry);
            }
            TargetChange::Gone(id) => {
                let leaving =
                    self.list.get(&id).is_none_or(|entry| entry.state == TargetState::Draining);
                match lapse {
                    Some(until) if !leaving => {
                        self.lapsing.entry(id).or_insert(until);
                    }
                    _ => self.remove(&id),
                }
            }
        }
    }

    fn remove(&mut self, id: &str) {
        self.lapsing.remove(id);
        if let Some(entry) = self.list.remove(id) {
            log_target(id, &entry.service, "gone");
        }
    }

    /// Drops what did not come back; tells whether anything was dropped.
    fn drop_lapsed(&mut self, now: Instant) -> bool {
        let due = self.lapsing.iter().filter(|(_, until)| **until <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.remove(id));
        !due.is_empty()
    }

    fn next_lapse(&self) -> Option<Instant> {
        self.lapsing.values().min().copied()
    }
}

fn log_target(id: &str, service: &str, state: &str) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("target", &id), ("service", &service), ("state", &state)];
    log_event(EventName::TargetChanged, &pairs);
}

/// Follows the list of targets for as long as the process lives.
pub(crate) async fn follow_targets<S: StorePort>(
    store: Rc<S>,
    health: Rc<StoreHealth>,
    told: watch::Sender<Arc<TargetList>>,
) {
    let mut from: Option<Revision> = None;
    let mut book = TargetBook { list: TargetList::new(), lapsing: BTreeMap::new() };
    loop {
        let lapse = book.next_lapse();
        let step = next_targets(&store, &health, from);
        let answered = match lapse {
            Some(lapse) => tokio::time::timeout_at(lapse.into(), step).await.ok().flatten(),
            None => step.await,
        };
        let lapse = lapse_end(&health);
        let mut changed = book.drop_lapsed(Instant::now());
        match answered {
            None => {}
            Some(Ok(TargetNews::All(as_of, list))) => {
                from = Some(as_of);
                book.replace(list, lapse);
                changed = true;
            }
            Some(Ok(TargetNews::Changes(as_of, changes))) => {
                from = Some(as_of);
                changed |= !changes.is_empty();
                changes.into_iter().for_each(|change| book.apply(change, lapse));
            }
            Some(Err(StoreError::Forgotten)) => from = None,
            Some(Err(_)) => health.pause().await,
        }
        if changed {
            told.send_replace(Arc::new(book.list.clone()));
            tokio::time::sleep(TARGET_PAUSE).await;
        }
    }
}

/// Until when a missing entry may only have lapsed; `None` when the store was not away.
fn lapse_end(health: &StoreHealth) -> Option<Instant> {
    if health.is_lost() {
        return Some(Instant::now() + LAPSE_TIME);
    }
    let until = health.regained()? + LAPSE_TIME;
    (until > Instant::now()).then_some(until)
}

enum TargetNews {
    All(Revision, TargetList),
    Changes(Revision, Vec<TargetChange>),
}

async fn next_targets<S: StorePort>(
    store: &Rc<S>,
    health: &StoreHealth,
    from: Option<Revision>,
) -> Option<Result<TargetNews, StoreError>> {
    match from {
        None => {
            let result = store.targets().await;
            health.note(&result);
            Some(result.map(|list| TargetNews::All(list.as_of, list.value)))
        }
        Some(from) => {
            let result = watched(health, store.watch_targets(from, WATCH_WAIT)).await?;
            Some(result.map(|changes| TargetNews::Changes(changes.as_of, changes.value)))
        }
    }
}

/// Follows the map of ranges; `seen` holds the newest revision for the keeper.
pub(crate) async fn follow_ranges<S: StorePort>(
    store: Rc<S>,
    health: Rc<StoreHealth>,
    told: watch::Sender<Arc<RangeMap>>,
    seen: Rc<Cell<Revision>>,
) {
    let mut from: Option<Revision> = None;
    loop {
        let answered = match from {
            None => {
                let result = store.ranges().await;
                health.note(&result);
                Some(result)
            }
            Some(from) => watched(&health, store.watch_ranges(from, WATCH_WAIT)).await,
        };
        match answered {
            None => {}
            Some(Ok(snapshot)) => {
                from = Some(snapshot.as_of);
                if let Some(stored) = snapshot.value {
                    tell_ranges(&told, &seen, stored);
                }
            }
            Some(Err(StoreError::Forgotten)) => from = None,
            Some(Err(_)) => health.pause().await,
        }
    }
}

/// Tells a newer map; an old copy never replaces a newer one.
pub(crate) fn tell_ranges(
    told: &watch::Sender<Arc<RangeMap>>,
    seen: &Cell<Revision>,
    stored: Stored<RangeMap>,
) {
    if stored.revision > seen.get() {
        seen.set(stored.revision);
        told.send_replace(Arc::new(stored.value));
    }
}
