//! Limits the rate at which all VMs together send requests to one owner of keys.
//!
//! In a large fleet each VM sends an owner too few requests to learn its capacity, yet one request
//! from every VM overloads the owner many times over. One VM therefore collects the demand and the
//! responses that all VMs report and decides for all of them. An owner with headroom has no limit.
//! For an overloaded owner the VMs admit the rate that it serves in time and refuse the rest before
//! sending it. The credit-based design follows Breakwater (Cho et al., OSDI 2020).

use std::time::Duration;

use crate::adaptive::MAX_LATENCY_PER_BASELINE;

/// Fraction of the latency target that the average latency may reach before an owner counts as
/// overloaded.
const MAX_LATENCY_FRACTION: f64 = 0.5;
/// Standard deviations by which the number of requests must exceed the number of responses before an
/// owner with raised latency is limited. A smaller excess may be random.
const MIN_EXCESS_STD_DEVS: f64 = 2.5;
/// Headroom ratio below which an owner is limited whatever the demand is.
const MIN_HEADROOM_RATIO: f64 = 0.5;
/// Demand relative to the baseline rate above which an owner is limited at once.
///
/// The baseline rate is learned from the faster responses and overestimates the capacity, so demand
/// above it cannot be served.
const MAX_DEMAND_PER_BASELINE_RATE: f64 = 1.6;
/// Lower bound of the limit relative to the baseline rate.
///
/// It is below the capacity, so that a full queue still drains, and lets an owner that was
/// unreachable recover quickly.
const MIN_RATE_PER_BASELINE_RATE: f64 = 0.15;
/// Lower bound of the limit relative to the estimated capacity while the owner's queue drains.
const MIN_RATE_PER_CAPACITY: f64 = 0.3;
/// Upper bound of the limit relative to the estimated capacity while the owner has headroom.
const MAX_RATE_PER_CAPACITY: f64 = 1.1;
/// Growth of the estimated capacity per period with headroom.
const CAPACITY_GROWTH_PER_PERIOD: f64 = 1.03;
/// Growth per period while the estimate is below [`RECOVERY_PER_BASELINE_RATE`], so that a limit
/// that is far too low recovers quickly.
const CAPACITY_RECOVERY_PER_PERIOD: f64 = 1.25;
/// Capacity relative to the baseline rate that any owner is assumed to reach.
const RECOVERY_PER_BASELINE_RATE: f64 = 0.35;
/// Demand relative to the limit below which the limit of an owner with headroom is lifted.
const RELEASE_DEMAND_PER_RATE: f64 = 1.2;
/// Weight of the newest response rate in the estimated capacity while the owner is overloaded.
const CAPACITY_WEIGHT: f64 = 0.3;
/// Factor applied to the sums of earlier reports in each period.
const REPORT_DECAY: f64 = 0.5;
/// Minimum number of responses for a meaningful average latency.
const MIN_RESPONSES: f64 = 3.0;
/// Fraction of an owner's rate that its light keys may use if it has hot keys.
const LIGHT_KEYS_FRACTION: f64 = 0.9;
/// Fraction of its owner's rate from which on a key counts as hot.
const HOT_KEY_FRACTION: f64 = 0.15;

/// Reports of all VMs about one owner for one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerReport {
    /// Number of complete responses.
    pub responses: u32,
    /// Sum of the latencies of these responses, each relative to the latency target of its request.
    pub latency_ratio_sum: f64,
    /// Requests per second that callers made for the owner's keys, including refused ones.
    pub demand: f64,
    /// Requests per second that the owner's slots could serve at the baseline latency; `None` if the
    /// baseline is unknown.
    pub baseline_rate: Option<f64>,
    /// Baseline latency relative to the latency target.
    pub baseline_latency_ratio: f64,
}

/// Limit on the requests of all VMs to one owner of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerAdmission {
    /// Requests per second; `None` without a limit.
    rate: Option<f64>,
    /// Estimated responses per second with all slots busy.
    capacity: f64,
    recent: DecayedReports,
}

/// Exponentially decayed sums of reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayedReports {
    seconds: f64,
    responses: f64,
    latency_ratio_sum: f64,
}

impl DecayedReports {
    fn add(&mut self, report: &OwnerReport, period: Duration) {
        let add = |sum: &mut f64, new: f64| *sum = *sum * REPORT_DECAY + new;
        add(&mut self.seconds, period.as_secs_f64());
        add(&mut self.responses, f64::from(report.responses));
        add(&mut self.latency_ratio_sum, report.latency_ratio_sum);
    }

    /// Responses per second.
    fn response_rate(&self) -> f64 {
        self.responses / self.seconds.max(f64::EPSILON)
    }

    /// Accepted average latency relative to the measured one: above 1.0 the owner has headroom, below
    /// it is overloaded. It is 1.0 if there are too few responses.
    ///
    /// Lost requests are ignored: a target that sheds or breaks a constant fraction of its requests
    /// is not overloaded, and limiting it does not help.
    fn headroom_ratio(&self, baseline_latency_ratio: f64) -> f64 {
        if self.responses < MIN_RESPONSES {
            return 1.0;
        }
        let max = MAX_LATENCY_FRACTION.max(MAX_LATENCY_PER_BASELINE * baseline_latency_ratio);
        let mean = self.latency_ratio_sum / self.responses;
        max / mean.max(f64::EPSILON)
    }
}

impl OwnerAdmission {
    /// Requests per second that all VMs together may send; `None` without a limit.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Updates the limit with the reports of one period.
    pub fn update(&mut self, report: &OwnerReport, period: Duration) {
        self.recent.add(report, period);
        let headroom = self.recent.headroom_ratio(report.baseline_latency_ratio);
        if self.rate.is_none() && !self.is_overloaded(report, headroom) {
            return;
        }
        self.update_capacity(report, headroom);
        let floor = report.baseline_rate.unwrap_or(0.0) * MIN_RATE_PER_BASELINE_RATE;
        // The rate follows the capacity and not the previous rate: latencies lag behind the rate by
        // the time that requests spend in the owner's queue.
        let rate = self.capacity * headroom.clamp(MIN_RATE_PER_CAPACITY, MAX_RATE_PER_CAPACITY);
        let release = if headroom > 1.0 { RELEASE_DEMAND_PER_RATE } else { 1.0 };
        self.rate = Some(rate.max(floor)).filter(|rate| rate * release < report.demand);
    }

    /// Whether an owner without a limit needs one.
    fn is_overloaded(&self, report: &OwnerReport, headroom: f64) -> bool {
        // An owner that does not respond at all is unreachable, and a limit does not help.
        let is_responding = self.recent.responses >= 1.0;
        let is_demand_too_high = report
            .baseline_rate
            .is_some_and(|rate| report.demand > rate * MAX_DEMAND_PER_BASELINE_RATE);
        let excess = (report.demand - self.recent.response_rate()) * self.recent.seconds;
        let random_excess = MIN_EXCESS_STD_DEVS * (report.demand * self.recent.seconds).sqrt();
        is_responding
            && (is_demand_too_high
                || headroom < MIN_HEADROOM_RATIO
                || headroom < 1.0 && excess > random_excess)
    }

    /// Updates the estimated capacity. Without headroom all slots of the owner are busy, so that its
    /// response rate is its capacity.
    fn update_capacity(&mut self, report: &OwnerReport, headroom: f64) {
        let response_rate = self.recent.response_rate();
        if self.rate.is_none() {
            self.capacity = response_rate;
        } else if headroom < 1.0 {
            self.capacity += (response_rate - self.capacity) * CAPACITY_WEIGHT;
        } else {
            let low = report.baseline_rate.unwrap_or(0.0) * RECOVERY_PER_BASELINE_RATE;
            let growth = if self.capacity < low {
                CAPACITY_RECOVERY_PER_PERIOD
            } else {
                CAPACITY_GROWTH_PER_PERIOD
            };
            self.capacity = self.capacity.max(response_rate) * growth;
        }
    }
}

/// Fractions, from 0 to 1, of the requests for an owner's keys that may be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionFractions {
    /// Fraction for all keys that are not hot.
    pub light: f64,
    /// Fraction for each hot key.
    pub hot: Vec<(u16, f64)>,
}

/// Divides an owner's rate among its keys by their `demands` in requests per second.
///
/// Light keys take precedence because they do not cause the overload. Hot keys share the remainder
/// by max-min fairness.
#[must_use]
pub fn allocate_rate(rate: f64, demands: &[(u16, f64)]) -> AdmissionFractions {
    let is_hot = |(_, demand): &&(u16, f64)| *demand >= rate * HOT_KEY_FRACTION;
    let hot: Vec<(u16, f64)> = demands.iter().filter(is_hot).copied().collect();
    let total: f64 = demands.iter().map(|(_, demand)| demand).sum();
    let light = (total - hot.iter().map(|(_, demand)| demand).sum::<f64>()).max(0.0);
    let light_rate = if hot.is_empty() { rate } else { rate * LIGHT_KEYS_FRACTION };
    let light_fraction = if light > light_rate { light_rate / light } else { 1.0 };
    let level = fair_level(rate - light * light_fraction, &hot);
    let hot = hot.into_iter().map(|(key, demand)| (key, (level / demand).min(1.0))).collect();
    AdmissionFractions { light: light_fraction, hot }
}

/// Max-min fair level: demands up to it are met in full, and higher ones are cut to it.
fn fair_level(rate: f64, hot: &[(u16, f64)]) -> f64 {
    let mut demands: Vec<f64> = hot.iter().map(|(_, demand)| *demand).collect();
    demands.sort_by(f64::total_cmp);
    let mut remaining = rate;
    for (index, demand) in demands.iter().enumerate() {
        let level = remaining / (demands.len() - index) as f64;
        if *demand >= level {
            return level;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
