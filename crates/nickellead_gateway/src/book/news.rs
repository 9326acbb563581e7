//! What one VM's book can tell another VM, and taking in what another one tells.

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};

use super::{BeliefBook, RangesNews};
use crate::{DeclaredState, MandateRecord, Revision, Stored, TargetChange, TargetList};

/// How far a VM's copy of another VM's book reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct BookMark {
    /// Life of the process whose book it is.
    pub(crate) incarnation: u64,
    /// Number of the last change of targets taken from it; `None` before its whole list was taken.
    pub(crate) targets: Option<u64>,
    /// The store's revision up to which the reader knows the targets, whoever told them; 0 for none.
    pub(crate) targets_known: Revision,
    /// Newest content of the declarations that it announced, or that the reader knows.
    pub(crate) declared: Option<DeclaredState>,
    /// Revision of the reader's map of ranges, whichever book it came from; 0 for none.
    pub(crate) ranges: Revision,
    /// Revision of the last mandate.
    pub(crate) mandate: Revision,
}

/// What is new in a book since a mark.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct BookNews {
    /// Where the reader's copy now reaches.
    pub(crate) mark: BookMark,
    /// The store's revision that the declarations of the mark are as of.
    pub(crate) declarations_as_of: Revision,
    /// Whether the mark announces declarations that the reader did not know of. They are asked for
    /// apart, so that they hold nothing back.
    pub(crate) announces: bool,
    /// The store's revision that the targets are as of; `None` while entries that the store does
    /// not list are kept because they may only have lapsed.
    pub(crate) targets_as_of: Option<Revision>,
    /// All targets, for a reader that is too far behind.
    pub(crate) all_targets: Option<TargetList>,
    /// Changes of targets, oldest first.
    pub(crate) target_changes: Vec<TargetChange>,
    /// The store's revision that the ranges are as of.
    pub(crate) ranges_as_of: Revision,
    /// A newer map of ranges.
    pub(crate) ranges: Option<RangesNews>,
    /// A newer mandate.
    pub(crate) mandate: Option<Stored<MandateRecord>>,
}

impl BookNews {
    /// Whether there is nothing new.
    pub(crate) fn is_empty(&self) -> bool {
        !self.announces
            && self.all_targets.is_none()
            && self.target_changes.is_empty()
            && self.ranges.is_none()
            && self.mandate.is_none()
    }
}

impl BeliefBook {
    /// What a reader with this book knows, whomever it asks.
    pub(crate) fn mark(&self) -> BookMark {
        BookMark {
            declared: self.declared_state(),
            targets_known: self.known().targets.unwrap_or_default(),
            ranges: self.ranges_revision(),
            mandate: self.mandate().map(|known| known.revision).unwrap_or_default(),
            ..BookMark::default()
        }
    }

    /// What is new for a reader at `mark`.
    pub(crate) fn news_since(&self, mark: BookMark) -> BookNews {
        let known = self.known.get();
        let same = mark.incarnation == self.incarnation;
        let mut news = BookNews {
            mark: BookMark { incarnation: self.incarnation, ..mark },
            declarations_as_of: known.declarations.unwrap_or_default(),
            targets_as_of: known.targets.filter(|_| self.next_lapse().is_none()),
            ranges_as_of: known.ranges.unwrap_or_default(),
            ..BookNews::default()
        };
        self.announce_declarations(&mut news);
        self.tell_target_news(&mut news, same);
        self.tell_ranges(&mut news);
        self.tell_mandate(&mut news);
        news
    }

    /// Announces the declarations, unless the reader knows of these.
    fn announce_declarations(&self, news: &mut BookNews) {
        let newest = self.declared_state();
        news.announces = newest.is_some() && newest != news.mark.declared;
        news.mark.declared = newest;
    }

    /// Adds the changes of targets, or all targets for a reader that has none of this book's changes.
    ///
    /// A reader that comes from the store may know newer targets than this VM: it is told of them once
    /// this VM has caught up.
    fn tell_target_news(&self, news: &mut BookNews, same: bool) {
        let from = news.mark.targets.filter(|_| same);
        let behind = self.known().targets.is_some_and(|known| known < news.mark.targets_known);
        if from.is_none() && behind {
            news.mark.targets = None;
            return;
        }
        let part = self.targets.borrow();
        news.mark.targets = Some(part.number);
        match from.and_then(|from| part.since(from)) {
            Some(changes) => news.target_changes = changes,
            None => news.all_targets = Some(part.list.clone()),
        }
    }

    /// Adds what is new of the ranges since the reader's map, whichever book that came from.
    fn tell_ranges(&self, news: &mut BookNews) {
        let ranges = self.ranges.borrow();
        news.ranges = ranges.since(news.mark.ranges);
        if let (Some(_), Some(newest)) = (&news.ranges, ranges.newest()) {
            news.mark.ranges = newest.revision;
        }
    }

    fn tell_mandate(&self, news: &mut BookNews) {
        if let Some(mandate) = self.mandate.borrow().as_ref()
            && news.mark.mandate < mandate.revision
        {
            news.mark.mandate = mandate.revision;
            news.mandate = Some(mandate.clone());
        }
    }

    /// Takes over another VM's news; gives the reader's next mark, or `None` when the news can't be
    /// used.
    pub(crate) fn take_news(&self, news: BookNews) -> Option<BookMark> {
        let mut mark = news.mark;
        if mark.declared == self.declared_state() {
            // What is announced and not known yet must not be missed by a watch of the store.
            self.note_declarations(news.declarations_as_of, None);
        }
        if !self.take_targets(news.targets_as_of, news.all_targets, news.target_changes) {
            // The list was older than what is known here, so the VM that told it has to catch up. It
            // can't tell when it has while entries may only have lapsed.
            news.targets_as_of?;
            mark.targets = None;
        }
        mark.targets_known = self.known().targets.unwrap_or_default();
        self.take_ranges(news.ranges_as_of, news.ranges)?;
        if let Some(mandate) = &news.mandate {
            self.note_mandate(mandate);
        }
        Some(mark)
    }

    /// Takes over what another VM told of the targets, unless newer ones are known.
    fn take_targets(
        &self,
        as_of: Option<Revision>,
        all: Option<TargetList>,
        changes: Vec<TargetChange>,
    ) -> bool {
        if as_of.is_none() {
            // A watch of the store from here would miss that some entries are gone.
            self.forget_targets_revision();
        }
        let revision = as_of.unwrap_or_default();
        let taken = match all {
            Some(list) => self.note_all_targets(revision, list, None),
            None => {
                self.note_target_changes(revision, changes, None);
                true
            }
        };
        if as_of.is_none() {
            self.forget_targets_revision();
        }
        taken
    }

    /// Takes over what another VM told of the ranges; `None` when it does not fit what is known.
    fn take_ranges(&self, as_of: Revision, news: Option<RangesNews>) -> Option<()> {
        let whole = match news {
            Some(RangesNews::Steps(steps)) => {
                let taken = self.note_ranges_steps(as_of, steps);
                return taken.map_err(|misfit| log_unusable("ranges", &misfit)).ok();
            }
            Some(RangesNews::Whole(whole)) => Some(whole),
            None => None,
        };
        self.note_ranges(as_of, whole);
        Some(())
    }
}

/// Logs that a part of what another VM told can't be used.
pub(super) fn log_unusable(part: &str, reason: &dyn std::fmt::Display) {
    log_event(EventName::NewsUnusable, &[("part", &part), ("reason", reason)]);
}
