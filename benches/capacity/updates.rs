//! Updates of declarations and of the range map that the root of the gateway's relay tree sends.
//!
//! Sizes are those of messages without HTTP/2 frames and headers. Each time is the minimum of
//! several runs.

use std::hint::black_box;
use std::time::Instant;

use nickellead_gateway::{
    Declarations, DeclarationsChange, DeclarationsHistory, DeclaredStep, DeclaredUpdate, Packed,
    RangesHistory, RangesUpdate, Revision, Stored,
};
use nickellead_peer::encode;
use nickellead_range::{MapChange, RangeMap, RangeRecord, TargetInstance};

use crate::many_routes::random_declarations;
use crate::{Point, allocated_bytes};

/// Numbers of routes before the change.
const ROUTE_COUNTS: [usize; 4] = [100, 1_500, 4_300, 20_000];
/// Number of routes that a large change adds.
const ADDED_ROUTES: usize = 1_400;
/// Numbers of ranges of the map before a write.
const RANGE_COUNTS: [u32; 4] = [250, 1_000, 4_000, 16_000];
/// Numbers of direct subscribers of the root: three per zone, for 5 and for 8 zones.
const SUBSCRIBER_COUNTS: [u32; 2] = [15, 24];
/// Number of runs, of which the shortest counts.
const RUN_COUNT: u32 = 15;

/// Names of the slopes of one kind of change.
struct ChangeSlopes {
    change_bytes: &'static str,
    between: &'static str,
    pack: &'static str,
    sent_bytes: [&'static str; SUBSCRIBER_COUNTS.len()],
    send_time: [&'static str; SUBSCRIBER_COUNTS.len()],
    apply: &'static str,
}

const LARGE: ChangeSlopes = ChangeSlopes {
    change_bytes: "news-large-change",
    between: "news-large-between",
    pack: "news-large-pack",
    sent_bytes: ["news-large-root-15-readers", "news-large-root-24-readers"],
    send_time: ["news-large-root-15-readers-time", "news-large-root-24-readers-time"],
    apply: "news-large-apply",
};

const SMALL: ChangeSlopes = ChangeSlopes {
    change_bytes: "news-small-change",
    between: "news-small-between",
    pack: "news-small-pack",
    sent_bytes: ["news-small-root-15-readers", "news-small-root-24-readers"],
    send_time: ["news-small-root-15-readers-time", "news-small-root-24-readers-time"],
    apply: "news-small-apply",
};

/// Collects the points of all slopes at one size.
pub struct PointSink<'a> {
    pub points: &'a mut Vec<Point>,
    pub size_of: &'static str,
    pub size: u64,
}

impl PointSink<'_> {
    pub fn add(&mut self, slope: &'static str, unit: &'static str, value: f64) {
        self.points.push(Point::new(slope, self.size_of, self.size, unit, value));
    }

    /// Adds the time of the fastest run as a point and returns its result.
    pub fn time<T>(&mut self, slope: &'static str, run: impl Fn() -> T) -> T {
        let times = (0..RUN_COUNT).map(|_| {
            let start = Instant::now();
            let result = run();
            (result, start.elapsed().as_nanos() as f64 / 1_000.0)
        });
        let (result, time) = times.min_by(|one, other| one.1.total_cmp(&other.1)).unwrap();
        self.add(slope, "us", time);
        result
    }
}

pub fn measure(points: &mut Vec<Point>) {
    for routes in ROUTE_COUNTS {
        let mut sink = PointSink { points, size_of: "routes", size: routes as u64 };
        let old = random_declarations(1, routes);
        measure_full(&old, &mut sink);
        measure_change(&old, &random_declarations(2, routes + ADDED_ROUTES), &LARGE, &mut sink);
        measure_change(&old, &with_changed_weight(&old), &SMALL, &mut sink);
    }
    for ranges in RANGE_COUNTS {
        let size = u64::from(ranges);
        let mut sink = PointSink { points, size_of: "ranges", size };
        measure_ranges(ranges, &mut sink);
    }
}

/// Returns the declarations with a different weight of one route.
fn with_changed_weight(old: &Declarations) -> Declarations {
    let mut new = old.clone();
    new.version += 1;
    let index = new.routes.len() / 2;
    new.routes[index].split[0].weight = 0.25;
    new
}

fn measure_full(declarations: &Declarations, sink: &mut PointSink) {
    let before = allocated_bytes();
    let copy = declarations.clone();
    let memory = allocated_bytes().saturating_sub(before);
    sink.add("news-copy-memory", "bytes", memory as f64);
    let packed = sink.time("news-whole-pack", || Packed::pack(&copy).unwrap());
    sink.add("news-whole-plain", "bytes", encode(&copy).unwrap().len() as f64);
    sink.add("news-whole", "bytes", packed.len() as f64);
    let full = DeclaredUpdate::Full(packed);
    sink.time("news-whole-apply", || full.apply(None).unwrap());
}

/// Measures one change: computing, packing, sending and applying it.
fn measure_change(
    old: &Declarations,
    new: &Declarations,
    slopes: &ChangeSlopes,
    sink: &mut PointSink,
) {
    let change = sink.time(slopes.between, || DeclarationsChange::between(old, new).unwrap());
    let step = sink.time(slopes.pack, || DeclaredStep::pack(&change).unwrap());
    let mut history = DeclarationsHistory::default();
    history.push(step);
    let known = old.state();
    let make_update = || DeclaredUpdate::Steps(history.since(known).unwrap());
    let encoded_len = || encode(&make_update()).unwrap().len();
    sink.add(slopes.change_bytes, "bytes", encoded_len() as f64);
    for (index, subscribers) in SUBSCRIBER_COUNTS.into_iter().enumerate() {
        let total_bytes =
            sink.time(slopes.send_time[index], || encode_for_all(subscribers, encoded_len));
        sink.add(slopes.sent_bytes[index], "bytes", total_bytes as f64);
    }
    let update = make_update();
    let applied = sink.time(slopes.apply, || update.apply(Some(old)).unwrap());
    assert_eq!(applied.state, new.state());
}

/// Returns the total size of the responses to all subscribers, each encoded separately as the root does.
fn encode_for_all(subscribers: u32, encoded_len: impl Fn() -> usize) -> usize {
    (0..subscribers).map(|_| black_box(encoded_len())).sum()
}

/// Returns a map in which adjacent ranges have different owners.
fn map(ranges: u32) -> RangeMap {
    let first = |index: u32| (65_536 * u64::from(index) / u64::from(ranges)) as u16;
    let record = |index: u32| RangeRecord {
        first: first(index),
        last: first(index + 1).wrapping_sub(1),
        fence: 1_000_000 + u64::from(index),
        owner: Some(instance(index)),
        previous: None,
        settled: true,
    };
    let ranges = (0..ranges).map(record).collect();
    let services = [("keyed".to_owned(), ranges)].into();
    RangeMap { fence: 2_000_000, writer: 1 << 60, edit: 1, services, ..RangeMap::default() }
}

fn instance(number: u32) -> TargetInstance {
    let [_, _, high, low] = number.to_be_bytes();
    TargetInstance {
        id: format!("board-{number}-{:08x}", number.wrapping_mul(2_654_435_761)),
        born: None,
        address: format!("10.0.{high}.{low}:8080"),
    }
}

/// Returns the next version of a map, in which one range has moved to another owner.
fn with_moved_range(old: &RangeMap) -> RangeMap {
    let mut new = old.clone();
    new.edit += 1;
    new.fence += 1;
    let fence = new.fence;
    let ranges = new.services.get_mut("keyed").unwrap();
    let index = ranges.len() / 2;
    let range = &mut ranges[index];
    range.fence = fence;
    range.previous = range.owner.replace(instance(1));
    range.settled = false;
    new
}

fn stored(revision: u64, value: &RangeMap) -> Stored<RangeMap> {
    Stored { revision: Revision::without_era(revision), value: value.clone() }
}

fn measure_ranges(ranges: u32, sink: &mut PointSink) {
    let old = map(ranges);
    let before = allocated_bytes();
    let new = with_moved_range(&old);
    let memory = allocated_bytes().saturating_sub(before);
    sink.add("news-map-copy-memory", "bytes", memory as f64);
    sink.time("news-map-between", || MapChange::between(&old, &new).unwrap());
    let mut history = RangesHistory::default();
    history.apply_whole(stored(1, &old));
    history.apply_whole(stored(2, &new));
    let encoded_len = || encoded_bytes(&history.since(Revision::without_era(1)).unwrap());
    sink.add("news-map-write", "bytes", encoded_len() as f64);
    sink.add(
        "news-map-whole",
        "bytes",
        encoded_bytes(&RangesUpdate::Whole(stored(2, &new))) as f64,
    );
    let slopes = ["news-map-root-15-readers", "news-map-root-24-readers"];
    let times = ["news-map-root-15-readers-time", "news-map-root-24-readers-time"];
    for (index, subscribers) in SUBSCRIBER_COUNTS.into_iter().enumerate() {
        let total_bytes = sink.time(times[index], || encode_for_all(subscribers, encoded_len));
        sink.add(slopes[index], "bytes", total_bytes as f64);
    }
    let Some(RangesUpdate::Steps(steps)) = history.since(Revision::without_era(1)) else {
        unreachable!("steps are shorter than the map")
    };
    let applied = sink.time("news-map-apply", || steps[0].change.apply(&old).unwrap());
    assert_eq!(applied, new);
}

fn encoded_bytes(update: &RangesUpdate) -> usize {
    encode(update).unwrap().len()
}
