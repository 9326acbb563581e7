//! Which marks are put into quarantine, what clears them, and what VMs tell each other.

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_quarantine::{MAX_MARKS, QuarantineTable, RequestMark, RequestVerdict, TargetFall};
use quickcheck::quickcheck;

const MARK: RequestMark = RequestMark(7);
/// Start of all tests, so that times before it can be told.
const START: u64 = 10_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp(START + ms)
}

fn fall(target: u32, sent: u64, fell: u64) -> TargetFall {
    TargetFall { target: format!("t{target}"), sent: at(sent), fell: at(fell) }
}

/// Records falls at the moment of each; returns the table.
fn table_with(falls: &[TargetFall]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for one in falls {
        table.record_fall(MARK, one.clone(), one.fell);
    }
    table
}

fn is_quarantined(table: &QuarantineTable, now: Timestamp) -> bool {
    matches!(table.verdict(MARK, now), RequestVerdict::Quarantined { .. })
}

/// Guards targets: the third fall of a request that comes again puts it into quarantine.
#[test]
fn three_falls_one_after_the_other_put_a_mark_into_quarantine() {
    // The request is sent to the second target directly after the first one fell.
    let mut table = table_with(&[fall(1, 0, 20), fall(2, 21, 41)]);
    assert_eq!(table.verdict(MARK, at(41)), RequestVerdict::Suspected { falls: 2 });
    assert!(table.record_fall(MARK, fall(3, 400, 420), at(450)));
    let until = at(420) + Duration::from_secs(600);
    assert_eq!(table.verdict(MARK, at(450)), RequestVerdict::Quarantined { until });
    assert_eq!(table.verdict(MARK, until), RequestVerdict::Suspected { falls: 3 });
}

/// Guards innocent requests: a failure that takes many targets at one moment is no request's fault.
#[test]
fn falls_at_one_moment_put_no_mark_into_quarantine() {
    let falls: Vec<_> = (0..6).map(|target| fall(target, u64::from(target), 100)).collect();
    let table = table_with(&falls);
    assert_eq!(table.verdict(MARK, at(101)), RequestVerdict::Suspected { falls: 6 });
    // Repeats that other VMs sent to targets of the same failure.
    let more: Vec<_> = (0..6).map(|target| fall(10 + target, 105, 140)).collect();
    assert!(!is_quarantined(&table_with(&[falls, more].concat()), at(141)));
}

/// Guards innocent requests: they are answered, and a request that makes its targets fall never is.
#[test]
fn an_answer_clears_a_mark() {
    let mut table = table_with(&[fall(1, 0, 20), fall(2, 300, 320), fall(3, 600, 620)]);
    assert!(is_quarantined(&table, at(700)));
    table.record_answer(MARK, at(700));
    assert_eq!(table.verdict(MARK, at(700)), RequestVerdict::Unsuspected);
    // A report of a fall before the answer comes late.
    assert!(!table.record_fall(MARK, fall(4, 500, 650), at(800)));
    assert_eq!(table.verdict(MARK, at(800)), RequestVerdict::Unsuspected);
}

/// Guards targets after a quarantine: the next fall begins another one, which is longer.
#[test]
fn a_fall_after_a_quarantine_begins_a_longer_one() {
    let mut table = table_with(&[fall(1, 0, 20), fall(2, 300, 320), fall(3, 600, 620)]);
    let after = 620 + 600_000 + 5;
    assert!(!is_quarantined(&table, at(after)));
    assert!(table.record_fall(MARK, fall(4, after, after + 20), at(after + 50)));
    let until = at(after + 20) + Duration::from_secs(1_200);
    assert_eq!(table.verdict(MARK, at(after + 50)), RequestVerdict::Quarantined { until });
}

/// Guards the count: two VMs that saw the same target fall report the same fall.
#[test]
fn a_fall_that_two_vms_report_counts_once() {
    let mut table = table_with(&[fall(1, 0, 20), fall(1, 1, 350)]);
    assert_eq!(table.falls(MARK).len(), 1);
    table.record_fall(MARK, fall(1, 5_000, 5_020), at(5_020));
    assert_eq!(table.falls(MARK).len(), 2, "the target was back and fell again");
}

/// Guards links between VMs: requests that a failure of many targets hit are answered elsewhere within a
/// quarter of a second, and no other VM hears of them.
#[test]
fn a_first_fall_is_told_only_if_no_answer_comes() {
    let mut table = table_with(&[fall(1, 0, 20)]);
    table.release_due(at(200));
    assert!(table.reports_since(0, at(200)).is_empty());
    table.record_answer(MARK, at(210));
    table.release_due(at(400));
    assert!(table.reports_since(0, at(400)).is_empty());
    assert!(table.is_empty());
    let mut table = table_with(&[fall(1, 0, 20)]);
    table.release_due(at(270));
    assert_eq!(table.reports_since(0, at(270)).len(), 1);
    assert!(table.reports_since(table.sequence(), at(270)).is_empty());
}

/// Guards targets of a fleet where each try comes at another VM: the falls add up.
#[test]
fn falls_that_several_vms_saw_add_up() {
    let mut tables = [(); 3].map(|()| QuarantineTable::default());
    for (index, table) in tables.iter_mut().enumerate() {
        let sent = 1_000 * index as u64;
        table.record_fall(MARK, fall(index as u32, sent, sent + 20), at(sent + 20));
        table.release_due(at(sent + 300));
    }
    let [first, second, third] = &mut tables;
    assert!(second.merge(first.reports_since(0, at(2_400)), at(2_403)).is_empty());
    let quarantined = third.merge(second.reports_since(0, at(2_500)), at(2_504));
    assert_eq!(quarantined, [MARK]);
    assert!(third.merge(second.reports_since(0, at(2_600)), at(2_600)).is_empty(), "known twice");
    // What the third knows reaches the first, and the answer of any target as well.
    assert_eq!(first.merge(third.reports_since(0, at(2_700)), at(2_700)), [MARK]);
    second.merge(first.reports_since(0, at(2_800)), at(2_800));
    second.record_answer(MARK, at(3_000));
    first.merge(second.reports_since(0, at(3_001)), at(3_004));
    assert_eq!(first.verdict(MARK, at(3_004)), RequestVerdict::Unsuspected);
    // The third has not heard of it and tells old falls.
    first.merge(third.reports_since(0, at(3_100)), at(3_101));
    assert_eq!(first.verdict(MARK, at(3_101)), RequestVerdict::Unsuspected);
}

/// Guards the memory of VMs, and marks in quarantine against being pushed out by others.
#[test]
fn the_marks_that_matter_least_go_first() {
    let mut table = table_with(&[fall(1, 0, 20), fall(2, 300, 320), fall(3, 600, 620)]);
    for number in 0..3 * MAX_MARKS as u64 {
        let one = fall(9, 1_000, 1_000 + number);
        table.record_fall(RequestMark(100 + number), one, at(1_000 + number));
    }
    let (quarantined, suspected) = table.counts(at(3_000));
    assert_eq!((quarantined, suspected), (1, MAX_MARKS - 1));
    assert_eq!(table.dropped(), 2 * MAX_MARKS as u64 + 1);
    let newest = RequestMark(99 + 3 * MAX_MARKS as u64);
    assert_eq!(table.falls(newest).len(), 1, "the newest suspicion is kept");
}

/// Guards memory: what is old and cleared is forgotten.
#[test]
fn old_marks_are_forgotten() {
    let mut table = table_with(&[fall(1, 0, 20)]);
    table.release_due(at(1_000));
    assert!(!table.is_empty());
    table.release_due(at(20) + Duration::from_secs(1_800));
    assert!(table.is_empty());
}

/// Guards innocent requests: an answer reaches VMs that know falls over one that knows none.
#[test]
fn an_answer_is_told_on_by_a_vm_that_knew_no_falls() {
    let falls = [fall(1, 580, 600), fall(2, 880, 900)];
    let [mut first, mut second, mut third] =
        [table_with(&falls), QuarantineTable::default(), table_with(&falls)];
    first.record_answer(MARK, at(1_500));
    second.merge(first.reports_since(0, at(1_600)), at(1_603));
    third.merge(second.reports_since(0, at(1_700)), at(1_703));
    assert_eq!(third.verdict(MARK, at(1_703)), RequestVerdict::Unsuspected);
}

/// Guards links between VMs: what two VMs tell each other back and forth comes to an end.
#[test]
fn vms_tell_each_other_the_same_only_once() {
    let mut first = table_with(&[fall(1, 0, 20), fall(2, 300, 320), fall(3, 600, 620)]);
    first.merge(table_with(&[fall(9, 0, 5)]).reports_since(0, at(700)), at(700));
    let mut second = QuarantineTable::default();
    second.merge(first.reports_since(0, at(700)), at(703));
    let told = (first.sequence(), second.sequence());
    first.merge(second.reports_since(0, at(704)), at(703));
    second.merge(first.reports_since(0, at(704)), at(707));
    assert_eq!((first.sequence(), second.sequence()), told);
}

/// Whether two verdicts are the same, but for what times differ that VMs told each other.
fn is_same(one: RequestVerdict, other: RequestVerdict) -> bool {
    // As much for each of two ways between the VMs.
    let error = Duration::from_millis(2 * 5);
    match (one, other) {
        (
            RequestVerdict::Quarantined { until: one },
            RequestVerdict::Quarantined { until: other },
        ) => one.since(other).max(other.since(one)) <= error,
        _ => one == other,
    }
}

quickcheck! {
    /// Whatever VMs see of the falls of eight targets and of answers, and whoever tells whom, all come to
    /// the same verdict.
    fn all_vms_come_to_the_same_verdict(steps: Vec<(u8, u8, u8, bool)>) -> bool {
        let mut tables = [(); 3].map(|()| QuarantineTable::default());
        let mut now = 0;
        for (number, (seen_by, late, passed, is_answer)) in steps.into_iter().enumerate() {
            now += 300 + 10 * u64::from(passed);
            if is_answer && number % 4 == 0 {
                tables[usize::from(seen_by) % 3].record_answer(MARK, at(now));
                continue;
            }
            // Each target falls again only after seven others or answers.
            let target = (number % 8) as u32;
            for (vm, table) in tables.iter_mut().enumerate() {
                if seen_by >> vm & 1 == 1 {
                    let seen = now + u64::from(late) * vm as u64 / 4;
                    table.record_fall(MARK, fall(target, now - 20, seen), at(seen));
                }
            }
        }
        // The last first falls are told.
        now += 600;
        tables.iter_mut().for_each(|table| table.release_due(at(now)));
        for _ in 0..3 {
            for (from, to) in [(0, 1), (1, 2), (2, 1), (1, 0)] {
                let reports = tables[from].reports_since(0, at(now));
                tables[to].merge(reports, at(now));
            }
        }
        let [first, others @ ..] = &tables;
        others.iter().all(|table| is_same(table.verdict(MARK, at(now)), first.verdict(MARK, at(now))))
    }
}
