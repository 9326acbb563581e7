//! The gateway's news: what its root tells of declarations and of the map of ranges.
//!
//! Bytes are those of messages, without the frames and headers of h2. Each time is the
//! shortest of several, since the machine may be busy.

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

/// Routes declared before the change.
const ROUTES: [usize; 4] = [100, 1_500, 4_300, 20_000];
/// Routes that a large change adds.
const ROUTES_MORE: usize = 1_400;
/// Ranges of the map before a write.
const RANGES: [u32; 4] = [250, 1_000, 4_000, 16_000];
/// Readers that the root tells itself, three in each zone: for 5 and for 8 zones.
const READERS: [u32; 2] = [15, 24];
/// Runs of which the shortest counts.
const RUNS: u32 = 15;

/// Names of the slopes of one kind of change.
struct ChangeSlopes {
    bytes: &'static str,
    between: &'static str,
    pack: &'static str,
    tell: [&'static str; READERS.len()],
    tell_time: [&'static str; READERS.len()],
    apply: &'static str,
}

const LARGE: ChangeSlopes = ChangeSlopes {
    bytes: "news-large-change",
    between: "news-large-between",
    pack: "news-large-pack",
    tell: ["news-large-root-15-readers", "news-large-root-24-readers"],
    tell_time: ["news-large-root-15-readers-time", "news-large-root-24-readers-time"],
    apply: "news-large-apply",
};

const SMALL: ChangeSlopes = ChangeSlopes {
    bytes: "news-small-change",
    between: "news-small-between",
    pack: "news-small-pack",
    tell: ["news-small-root-15-readers", "news-small-root-24-readers"],
    tell_time: ["news-small-root-15-readers-time", "news-small-root-24-readers-time"],
    apply: "news-small-apply",
};

/// The slopes' points at one size.
pub struct PointSink<'a> {
    pub points: &'a mut Vec<Point>,
    pub size_of: &'static str,
    pub size: u64,
}

impl PointSink<'_> {
    pub fn put(&mut self, slope: &'static str, unit: &'static str, value: f64) {
        self.points.push(Point::new(slope, self.size_of, self.size, unit, value));
    }

    /// The result of the run that took the shortest time, which is a point.
    pub fn time<T>(&mut self, slope: &'static str, run: impl Fn() -> T) -> T {
        let times = (0..RUNS).map(|_| {
            let start = Instant::now();
            let result = run();
            (result, start.elapsed().as_nanos() as f64 / 1_000.0)
        });
        let (result, time) = times.min_by(|one, other| one.1.total_cmp(&other.1)).unwrap();
        self.put(slope, "us", time);
        result
    }
}

pub fn measure(points: &mut Vec<Point>) {
    for routes in ROUTES {
        let mut sink = PointSink { points, size_of: "routes", size: routes as u64 };
        let old = random_declarations(1, routes);
        measure_whole(&old, &mut sink);
        measure_change(&old, &random_declarations(2, routes + ROUTES_MORE), &LARGE, &mut sink);
        measure_change(&old, &weighed(&old), &SMALL, &mut sink);
    }
    for ranges in RANGES {
        let size = u64::from(ranges);
        let mut sink = PointSink { points, size_of: "ranges", size };
        measure_ranges(ranges, &mut sink);
    }
}

/// The declarations with another weight of one route.
fn weighed(old: &Declarations) -> Declarations {
    let mut new = old.clone();
    new.version += 1;
    let place = new.routes.len() / 2;
    new.routes[place].split[0].weight = 0.25;
    new
}

fn measure_whole(declarations: &Declarations, sink: &mut PointSink) {
    let before = allocated_bytes();
    let copy = declarations.clone();
    let memory = allocated_bytes().saturating_sub(before);
    sink.put("news-copy-memory", "bytes", memory as f64);
    let packed = sink.time("news-whole-pack", || Packed::pack(&copy).unwrap());
    sink.put("news-whole-plain", "bytes", encode(&copy).unwrap().len() as f64);
    sink.put("news-whole", "bytes", packed.len() as f64);
    let whole = DeclaredUpdate::Full(packed);
    sink.time("news-whole-apply", || whole.apply(None).unwrap());
}

/// One change, from the root's two contents to its readers'.
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
    let news = || DeclaredUpdate::Steps(history.since(known).unwrap());
    let tell = || encode(&news()).unwrap().len();
    sink.put(slopes.bytes, "bytes", tell() as f64);
    for (place, readers) in READERS.into_iter().enumerate() {
        let told = sink.time(slopes.tell_time[place], || tell_all(readers, tell));
        sink.put(slopes.tell[place], "bytes", told as f64);
    }
    let news = news();
    let applied = sink.time(slopes.apply, || news.apply(Some(old)).unwrap());
    assert_eq!(applied.state, new.state());
}

/// Bytes of the answers to all readers, each encoded for itself as the root does.
fn tell_all(readers: u32, tell: impl Fn() -> usize) -> usize {
    (0..readers).map(|_| black_box(tell())).sum()
}

/// A map in which each range has another owner than the next.
fn map(ranges: u32) -> RangeMap {
    let first = |place: u32| (65_536 * u64::from(place) / u64::from(ranges)) as u16;
    let record = |place: u32| RangeRecord {
        first: first(place),
        last: first(place + 1).wrapping_sub(1),
        fence: 1_000_000 + u64::from(place),
        owner: Some(holder(place)),
        previous: None,
        settled: true,
    };
    let ranges = (0..ranges).map(record).collect();
    let services = [("keyed".to_owned(), ranges)].into();
    RangeMap { fence: 2_000_000, writer: 1 << 60, edit: 1, services, ..RangeMap::default() }
}

fn holder(number: u32) -> TargetInstance {
    let [_, _, high, low] = number.to_be_bytes();
    TargetInstance {
        id: format!("board-{number}-{:08x}", number.wrapping_mul(2_654_435_761)),
        born: None,
        address: format!("10.0.{high}.{low}:8080"),
    }
}

/// The next write of a map: one range moves to another owner.
fn moved(old: &RangeMap) -> RangeMap {
    let mut new = old.clone();
    new.edit += 1;
    new.fence += 1;
    let fence = new.fence;
    let ranges = new.services.get_mut("keyed").unwrap();
    let place = ranges.len() / 2;
    let range = &mut ranges[place];
    range.fence = fence;
    range.previous = range.owner.replace(holder(1));
    range.settled = false;
    new
}

fn stored(revision: u64, value: &RangeMap) -> Stored<RangeMap> {
    Stored { revision: Revision::without_era(revision), value: value.clone() }
}

fn measure_ranges(ranges: u32, sink: &mut PointSink) {
    let old = map(ranges);
    let before = allocated_bytes();
    let new = moved(&old);
    let memory = allocated_bytes().saturating_sub(before);
    sink.put("news-map-copy-memory", "bytes", memory as f64);
    sink.time("news-map-between", || MapChange::between(&old, &new).unwrap());
    let mut history = RangesHistory::default();
    history.apply_whole(stored(1, &old));
    history.apply_whole(stored(2, &new));
    let tell = || bytes_of(&history.since(Revision::without_era(1)).unwrap());
    sink.put("news-map-write", "bytes", tell() as f64);
    sink.put("news-map-whole", "bytes", bytes_of(&RangesUpdate::Whole(stored(2, &new))) as f64);
    let slopes = ["news-map-root-15-readers", "news-map-root-24-readers"];
    let times = ["news-map-root-15-readers-time", "news-map-root-24-readers-time"];
    for (place, readers) in READERS.into_iter().enumerate() {
        let told = sink.time(times[place], || tell_all(readers, tell));
        sink.put(slopes[place], "bytes", told as f64);
    }
    let Some(RangesUpdate::Steps(steps)) = history.since(Revision::without_era(1)) else {
        unreachable!("steps are shorter than the map")
    };
    let applied = sink.time("news-map-apply", || steps[0].change.apply(&old).unwrap());
    assert_eq!(applied, new);
}

fn bytes_of(news: &RangesUpdate) -> usize {
    encode(news).unwrap().len()
}
