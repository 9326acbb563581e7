//! What one VM's book can tell another VM, and taking in what another one tells.

use bincode::{Decode, Encode};

use super::{BeliefBook, RangesNews};
use crate::{Declarations, MandateRecord, Revision, Stored, TargetChange, TargetList};

/// How far a VM's copy of another VM's book reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct BookMark {
    /// Life of the process whose book it is.
    pub(crate) incarnation: u64,
    /// Number of the last change of targets taken from it.
    pub(crate) targets: u64,
    /// Revision of the last declarations taken from it, plus one; 0 for none.
    pub(crate) declarations: u64,
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
    /// The store's revision that the declarations are as of.
    pub(crate) declarations_as_of: Revision,
    /// Newer declarations.
    pub(crate) declarations: Option<Declarations>,
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
        self.declarations.is_none()
            && self.all_targets.is_none()
            && self.target_changes.is_empty()
            && self.ranges.is_none()
            && self.mandate.is_none()
    }
}

impl BeliefBook {
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
        self.tell_declarations(&mut news, same);
        self.tell_target_changes(&mut news, same);
        self.tell_ranges(&mut news);
        self.tell_mandate(&mut news, same);
        news
    }

    /// Adds the declarations, unless the reader has these; so do the others for their parts.
    ///
    /// `same` tells whether the reader's mark is of this very book.
    fn tell_declarations(&self, news: &mut BookNews, same: bool) {
        if let Some(declarations) = self.declarations()
            && (!same || news.mark.declarations != declarations.version + 1)
        {
            news.mark.declarations = declarations.version + 1;
            news.declarations = Some(declarations.as_ref().clone());
        }
    }

    fn tell_target_changes(&self, news: &mut BookNews, same: bool) {
        let part = self.targets.borrow();
        let from = std::mem::replace(&mut news.mark.targets, part.number);
        match part.since(from).filter(|_| same) {
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

    fn tell_mandate(&self, news: &mut BookNews, same: bool) {
        if let Some(mandate) = self.mandate.borrow().as_ref()
            && (!same || news.mark.mandate != mandate.revision)
        {
            news.mark.mandate = mandate.revision;
            news.mandate = Some(mandate.clone());
        }
    }

    /// Takes over another VM's news; tells whether they could be used.
    pub(crate) fn take_news(&self, news: BookNews) -> bool {
        self.note_declarations(news.declarations_as_of, news.declarations);
        if news.targets_as_of.is_none() {
            // A watch of the store from here would miss that some entries are gone.
            self.forget_targets_revision();
        }
        let as_of = news.targets_as_of.unwrap_or_default();
        let usable = match news.all_targets {
            Some(list) => self.note_all_targets(as_of, list, None),
            None => {
                self.note_target_changes(as_of, news.target_changes, None);
                true
            }
        };
        if news.targets_as_of.is_none() {
            self.forget_targets_revision();
        }
        let usable = self.take_ranges(news.ranges_as_of, news.ranges) && usable;
        if let Some(mandate) = &news.mandate {
            self.note_mandate(mandate);
        }
        usable
    }

    /// Takes over what another VM told of the ranges; tells whether it could be used.
    fn take_ranges(&self, as_of: Revision, news: Option<RangesNews>) -> bool {
        let whole = match news {
            Some(RangesNews::Steps(steps)) => return self.note_ranges_steps(as_of, steps).is_ok(),
            Some(RangesNews::Whole(whole)) => Some(whole),
            None => None,
        };
        self.note_ranges(as_of, whole);
        true
    }
}
