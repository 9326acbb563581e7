//! How many requests a second all VMs together may send to one owner of keys.
//!
//! A VM among hundreds sends a given owner a request in half a minute, so its own limit never learns,
//! and one request from each of them fills the owner many times over. One VM that hears from all of
//! them what was asked for and what became of it decides for all: an owner that has room is left
//! alone; one that has not gets what it has shown to answer in time, and the rest is refused before it
//! is sent. After Breakwater (Cho et al., OSDI 2020), where servers give out credits by their delay.

use std::time::Duration;

use crate::adaptive::MAX_LATENCY_PER_BASELINE;

/// Part of the latency target that answers may take on average before an owner counts as crowded.
const TIME_PART: f64 = 0.5;
/// Demand must exceed what an owner answers by this many standard deviations of its count before an owner
/// with somewhat long answers is limited: what is less may be chance.
const DEVIATIONS_LEAST: f64 = 2.5;
/// Room below which an owner is limited whatever is asked for: its answers take the whole latency target.
const NO_ROOM: f64 = 0.5;
/// Demand this many times what the slots could do with unhurried answers can't be served: limits need
/// not wait for losses then. Unhurried answers are the faster ones, so this is about three times the truth.
const HOPELESS: f64 = 1.6;
/// Part of what the slots could do with unhurried answers below which no limit goes: about a third of
/// the truth, so that a full queue is emptied within seconds and an owner that was out of reach for a
/// while is soon itself again.
const FLOOR_PART: f64 = 0.15;
/// Least part of its capacity that a crowded owner is sent while its queue empties.
const SHRINK_MOST: f64 = 0.3;
/// An owner with room is sent at most this much more than it is known to do.
const GROWTH: f64 = 1.1;
/// What an owner is known to do grows by this factor in a period in which it has room.
const CAPACITY_GROWTH: f64 = 1.03;
/// The same while it is below [`RECOVERY_PART`]: a limit that was far too low is gone within seconds.
const CAPACITY_RECOVERY: f64 = 1.25;
/// Part of what the slots could do with unhurried answers that any owner can do, about two thirds of the
/// truth.
const RECOVERY_PART: f64 = 0.35;
/// A limit ends when demand is at most this many times the rate and the owner has room: what may come in
/// too much then shows in its answers, and is less than what a limit refuses in vain.
const RELEASE_FACTOR: f64 = 1.2;
/// Weight of the newest rate of answers in what a crowded owner is known to do: its slots are all busy.
const CAPACITY_WEIGHT: f64 = 0.3;
/// What is left of earlier reports after a period: the last second counts most.
const REPORTS_KEPT: f64 = 0.5;
/// Answers that an average must rest on before it says that an owner without losses is crowded.
const ANSWERS_LEAST: f64 = 3.0;
/// What the light keys of an owner may take of its rate; the rest is for its hot ones.
const LIGHT_PART: f64 = 0.9;
/// A key counts as hot from this part of its owner's rate on.
const HOT_PART: f64 = 0.15;

/// What VMs report of one owner for one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerReport {
    /// Whole answers.
    pub responses: u32,
    /// Time of these answers together, each as a part of its request's latency target.
    pub latency_ratio_sum: f64,
    /// Requests a second that callers made for the owner's keys, those that were refused included.
    pub demand: f64,
    /// Requests a second that the owner's slots do with unhurried answers; `None` while it is unknown.
    pub baseline_rate: Option<f64>,
    /// An unhurried answer as a part of the latency target.
    pub baseline_latency_ratio: f64,
}

/// The rate at which one owner is sent requests by all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerAdmission {
    /// Requests a second that may be sent; `None` while the owner has room for all.
    rate: Option<f64>,
    /// Answers a second of the owner when its slots are all busy, as far as that showed.
    capacity: f64,
    seen: DecayedReports,
}

/// Sums over the last reports, older ones counting less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayedReports {
    /// Seconds.
    length: f64,
    answered: f64,
    goal_parts: f64,
}

impl DecayedReports {
    fn add(&mut self, report: &OwnerReport, period: Duration) {
        let add = |sum: &mut f64, new: f64| *sum = *sum * REPORTS_KEPT + new;
        add(&mut self.length, period.as_secs_f64());
        add(&mut self.answered, f64::from(report.responses));
        add(&mut self.goal_parts, report.latency_ratio_sum);
    }

    /// Answers a second.
    fn answer_rate(&self) -> f64 {
        self.answered / self.length.max(f64::EPSILON)
    }

    /// How much more the owner could be sent, by how long its answers took; 1.0 while there are too
    /// few to tell by.
    ///
    /// Losses say nothing here: a target that sheds or breaks a part of its requests whatever it is sent
    /// would be taken for a crowded one, and be sent less and less.
    fn room_factor(&self, unhurried_part: f64) -> f64 {
        if self.answered < ANSWERS_LEAST {
            return 1.0;
        }
        let most = TIME_PART.max(MAX_LATENCY_PER_BASELINE * unhurried_part);
        let mean = self.goal_parts / self.answered;
        most / mean.max(f64::EPSILON)
    }
}

impl OwnerAdmission {
    /// Requests a second that may be sent; `None` while there is no limit.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Takes in the report of a period.
    pub fn update(&mut self, report: &OwnerReport, period: Duration) {
        self.seen.add(report, period);
        let room = self.seen.room_factor(report.baseline_latency_ratio);
        if self.rate.is_none() && !self.is_full(report, room) {
            return;
        }
        self.note_capacity(report, room);
        let floor = report.baseline_rate.unwrap_or(0.0) * FLOOR_PART;
        // The rate follows from what the owner does, not from the rate before: its answers tell of
        // requests that were sent a queue's length ago.
        let rate = self.capacity * room.clamp(SHRINK_MOST, GROWTH);
        let release = if room > 1.0 { RELEASE_FACTOR } else { 1.0 };
        self.rate = Some(rate.max(floor)).filter(|rate| rate * release < report.demand);
    }

    /// Whether an owner without a limit needs one.
    fn is_full(&self, report: &OwnerReport, room: f64) -> bool {
        // An owner that answers nobody is out of reach, and no limit makes it answer.
        let answers = self.seen.answered >= 1.0;
        let hopeless = report.baseline_rate.is_some_and(|rate| report.demand > rate * HOPELESS);
        let excess = (report.demand - self.seen.answer_rate()) * self.seen.length;
        let by_chance = DEVIATIONS_LEAST * (report.demand * self.seen.length).sqrt();
        answers && (hopeless || room < NO_ROOM || room < 1.0 && excess > by_chance)
    }

    /// Learns what the owner can do: all its slots are busy when it has no room.
    fn note_capacity(&mut self, report: &OwnerReport, room: f64) {
        let answered = self.seen.answer_rate();
        if self.rate.is_none() {
            self.capacity = answered;
        } else if room < 1.0 {
            self.capacity += (answered - self.capacity) * CAPACITY_WEIGHT;
        } else {
            let low = report.baseline_rate.unwrap_or(0.0) * RECOVERY_PART;
            let growth = if self.capacity < low { CAPACITY_RECOVERY } else { CAPACITY_GROWTH };
            self.capacity = self.capacity.max(answered) * growth;
        }
    }
}

/// Which part of the requests for an owner's keys may be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionFractions {
    /// Of requests for keys that few ask for.
    pub light: f64,
    /// Of requests for each hot key.
    pub hot: Vec<(u16, f64)>,
}

/// Divides an owner's rate among its keys, of which `demands` tells the requests a second.
///
/// Keys that few ask for come first: they have not made the crowd. Hot keys share what is left, each
/// getting what it asks for or as much as any other.
#[must_use]
pub fn allocate_rate(rate: f64, demands: &[(u16, f64)]) -> AdmissionFractions {
    let is_hot = |(_, demand): &&(u16, f64)| *demand >= rate * HOT_PART;
    let hot: Vec<(u16, f64)> = demands.iter().filter(is_hot).copied().collect();
    let whole: f64 = demands.iter().map(|(_, demand)| demand).sum();
    let light = (whole - hot.iter().map(|(_, demand)| demand).sum::<f64>()).max(0.0);
    let for_light = if hot.is_empty() { rate } else { rate * LIGHT_PART };
    let light_share = if light > for_light { for_light / light } else { 1.0 };
    let level = common_level(rate - light * light_share, &hot);
    let hot = hot.into_iter().map(|(key, demand)| (key, (level / demand).min(1.0))).collect();
    AdmissionFractions { light: light_share, hot }
}

/// The demand up to which all are met when `rate` is shared by those who ask.
fn common_level(rate: f64, hot: &[(u16, f64)]) -> f64 {
    let mut demands: Vec<f64> = hot.iter().map(|(_, demand)| *demand).collect();
    demands.sort_by(f64::total_cmp);
    let mut left = rate;
    for (place, demand) in demands.iter().enumerate() {
        let level = left / (demands.len() - place) as f64;
        if *demand >= level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
