//! What one VM knows of all marks, and what it tells other VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_core::Timestamp;

use crate::RequestMark;
use crate::record::{CrashRecord, RequestVerdict, TargetFall};

/// Most marks that are kept.
pub const MAX_MARKS: usize = 512;
/// A first fall is told to other VMs only after this time, in which the request was not answered
/// elsewhere. A failure that takes many targets would otherwise be told with every request that they had.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(250);

/// What VMs tell each other of one mark. Times are ages when the report is written, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashReport {
    mark: RequestMark,
    falls: Vec<ReportedFall>,
    answered_ago_ms: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
struct ReportedFall {
    target: String,
    sent_ago_ms: u32,
    fell_ago_ms: u32,
}

/// A record, and when it is told to other VMs.
#[derive(Clone, Debug)]
struct KnownRecord {
    record: CrashRecord,
    /// Number of its last change; `None` while it is not told.
    changed: Option<u64>,
    /// When it is told at the latest.
    told_at: Timestamp,
}

/// All marks with which targets fell, as one VM knows them.
///
/// VMs tell each other what they know in any order and as often as they like: what is known twice
/// counts once.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: BTreeMap<RequestMark, KnownRecord>,
    /// Number of the last change.
    sequence: u64,
    dropped: u64,
}

impl QuarantineTable {
    /// Whether no mark is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What to do with requests of this mark.
    #[must_use]
    pub fn verdict(&self, mark: RequestMark, now: Timestamp) -> RequestVerdict {
        let known = self.records.get(&mark);
        known.map_or(RequestVerdict::Unsuspected, |known| known.record.verdict(now))
    }

    /// The targets that fell with requests of this mark, in the order of their falls.
    #[must_use]
    pub fn falls(&self, mark: RequestMark) -> &[TargetFall] {
        self.records.get(&mark).map_or(&[], |known| known.record.falls())
    }

    /// Number of marks that are in quarantine, and of those that are suspected.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let count = |wanted: fn(RequestVerdict) -> bool| {
            self.records.values().filter(|known| wanted(known.record.verdict(now))).count()
        };
        (
            count(|verdict| matches!(verdict, RequestVerdict::Quarantined { .. })),
            count(|verdict| matches!(verdict, RequestVerdict::Suspected { .. })),
        )
    }

    /// Number of marks that were dropped because there were too many.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Number of the last change that is told to other VMs.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Records that a target fell with a request; returns whether that put its mark into quarantine.
    pub fn record_fall(&mut self, mark: RequestMark, fall: TargetFall, now: Timestamp) -> bool {
        let was_quarantined = self.is_quarantined(mark, now);
        let known = self.entry(mark, now);
        if !known.record.add_fall(fall) {
            return false;
        }
        if known.changed.is_some() || known.record.falls().len() > 1 {
            self.release(mark);
        }
        self.make_room(mark, now);
        !was_quarantined && self.is_quarantined(mark, now)
    }

    /// Records that a target answered a request, which clears its mark.
    pub fn record_answer(&mut self, mark: RequestMark, now: Timestamp) {
        let Some(known) = self.records.get_mut(&mark) else { return };
        if !known.record.add_answer(now) {
            return;
        }
        match known.changed {
            // No other VM knows the mark.
            None => {
                self.records.remove(&mark);
            }
            Some(_) => self.release(mark),
        }
    }

    /// Applies what another VM told; returns the marks that it put into quarantine.
    pub fn merge(&mut self, reports: Vec<CrashReport>, now: Timestamp) -> Vec<RequestMark> {
        let ago =
            |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms))).unwrap_or_default();
        let mut quarantined = Vec::new();
        for report in reports {
            let mark = report.mark;
            let was_quarantined = self.is_quarantined(mark, now);
            let sequence = self.sequence;
            let known = self.entry(mark, now);
            // Whoever told it has told others as well.
            known.changed.get_or_insert(sequence);
            let record = &mut known.record;
            let mut is_news = false;
            if let Some(answered) = report.answered_ago_ms.map(ago) {
                is_news |= record.add_told_answer(answered);
            }
            for ReportedFall { target, sent_ago_ms, fell_ago_ms } in report.falls {
                let (sent, fell) = (ago(sent_ago_ms), ago(fell_ago_ms));
                is_news |= record.add_fall(TargetFall { target, sent, fell });
            }
            if is_news {
                self.release(mark);
            }
            self.make_room(mark, now);
            if !was_quarantined && self.is_quarantined(mark, now) {
                quarantined.push(mark);
            }
        }
        self.forget(now);
        quarantined
    }

    /// What changed after the change with this number; 0 for everything that is told.
    #[must_use]
    pub fn reports_since(&self, sequence: u64, now: Timestamp) -> Vec<CrashReport> {
        let is_newer = |known: &KnownRecord| known.changed.is_some_and(|number| number > sequence);
        let newer = self.records.iter().filter(|(_, known)| is_newer(known));
        newer.map(|(mark, known)| report(*mark, &known.record, now)).collect()
    }

    /// Tells the first falls whose time has come, and forgets what is too old.
    pub fn release_due(&mut self, now: Timestamp) {
        let is_due = |known: &KnownRecord| known.changed.is_none() && known.told_at <= now;
        let due = self.records.iter().filter(|(_, known)| is_due(known));
        let due: Vec<RequestMark> = due.map(|(mark, _)| *mark).collect();
        due.into_iter().for_each(|mark| self.release(mark));
        self.forget(now);
    }

    fn is_quarantined(&self, mark: RequestMark, now: Timestamp) -> bool {
        matches!(self.verdict(mark, now), RequestVerdict::Quarantined { .. })
    }

    fn entry(&mut self, mark: RequestMark, now: Timestamp) -> &mut KnownRecord {
        self.records.entry(mark).or_insert_with(|| KnownRecord {
            record: CrashRecord::default(),
            changed: None,
            told_at: now + FIRST_REPORT_DELAY,
        })
    }

    /// Has a record told to other VMs.
    fn release(&mut self, mark: RequestMark) {
        self.sequence += 1;
        if let Some(known) = self.records.get_mut(&mark) {
            known.changed = Some(self.sequence);
        }
    }

    fn forget(&mut self, now: Timestamp) {
        self.records.retain(|_, known| !known.record.is_forgotten(now));
    }

    /// Drops the record that matters least, if there are too many.
    fn make_room(&mut self, added: RequestMark, now: Timestamp) {
        if self.records.len() <= MAX_MARKS {
            return;
        }
        self.forget(now);
        let others = self.records.iter().filter(|(mark, _)| **mark != added);
        let least = others.min_by_key(|(_, known)| known.record.rank()).map(|(mark, _)| *mark);
        if let Some(mark) = least.filter(|_| self.records.len() > MAX_MARKS) {
            self.records.remove(&mark);
            self.dropped += 1;
        }
    }
}

fn report(mark: RequestMark, record: &CrashRecord, now: Timestamp) -> CrashReport {
    let ago = |at: Timestamp| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
    let falls = record.falls().iter().map(|fall| ReportedFall {
        target: fall.target.clone(),
        sent_ago_ms: ago(fall.sent),
        fell_ago_ms: ago(fall.fell),
    });
    CrashReport { mark, falls: falls.collect(), answered_ago_ms: record.answered().map(ago) }
}
