//! Conversion between messages and the types of the request path.

use std::time::Duration;

use actix_http::{Payload, Request};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use nickellead_core::Timestamp;
use nickellead_dispatch::{PermitOutcome, ReportedLoad};
use nickellead_limit::{BytePurpose, HeldBytes};

use super::messages::{
    AssistAnswer, AssistCall, WireAttempt, WireHeader, WireLimit, WireLoad, WireOutcome,
    WireRequest, WireResponse, WireResult, WireSignals,
};
use crate::HeaderNames;
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptEnd, AttemptResult, LossReason, OutgoingRequest, TargetResponse};
use crate::response_signals::{LimitSignal, LoadSignal, ResponseSignals};
use crate::worker::{AssistFailure, AssistedRequest};

/// A duration in whole milliseconds, as in messages.
pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// A duration from a message.
pub(super) fn duration(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

impl From<WireOutcome> for PermitOutcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Responded { latency_ms } => Self::Responded(duration(latency_ms)),
            WireOutcome::Failed => Self::Failed,
            WireOutcome::Shed => Self::Shed,
            WireOutcome::NoResponse => Self::NoResponse,
            WireOutcome::NotSent => Self::NotSent,
            WireOutcome::Abandoned { after_ms } => Self::Abandoned(duration(after_ms)),
        }
    }
}

impl From<WireLoad> for ReportedLoad {
    fn from(load: WireLoad) -> Self {
        let WireLoad { running, waiting, slots, slowness } = load;
        Self { running, waiting, slots, slowness }
    }
}

impl From<ReportedLoad> for WireLoad {
    fn from(load: ReportedLoad) -> Self {
        let ReportedLoad { running, waiting, slots, slowness } = load;
        Self { running, waiting, slots, slowness }
    }
}

impl From<ResponseSignals> for WireSignals {
    fn from(signals: ResponseSignals) -> Self {
        let limit = match signals.limit {
            LimitSignal::Absent | LimitSignal::Unreadable => WireLimit::Absent,
            LimitSignal::Unlimited => WireLimit::Unlimited,
            LimitSignal::Limited(rate) => WireLimit::Limited(rate),
        };
        let load = match signals.load {
            LoadSignal::Absent | LoadSignal::Unreadable => None,
            LoadSignal::Reported(load) => Some(load.into()),
        };
        Self { leaving: signals.leaving, pause_ms: signals.pause.map(millis), limit, load }
    }
}

impl From<WireSignals> for ResponseSignals {
    fn from(signals: WireSignals) -> Self {
        let limit = match signals.limit {
            WireLimit::Absent => LimitSignal::Absent,
            WireLimit::Unlimited => LimitSignal::Unlimited,
            WireLimit::Limited(rate) => LimitSignal::Limited(rate),
        };
        Self {
            leaving: signals.leaving,
            pause: signals.pause_ms.map(duration),
            limit,
            load: signals.load.map_or(LoadSignal::Absent, |load| LoadSignal::Reported(load.into())),
            ..Self::default()
        }
    }
}

impl From<&OutgoingRequest> for WireRequest {
    fn from(request: &OutgoingRequest) -> Self {
        Self {
            method: request.method.as_str().to_owned(),
            path_and_query: request.path_and_query.clone(),
            headers: wire_headers(&request.headers),
            body: request.body.to_vec(),
        }
    }
}

impl WireRequest {
    /// The id of the request; empty if it has none.
    pub(super) fn id(&self, names: &HeaderNames) -> &[u8] {
        let line = self.headers.iter().find(|line| line.name == names.request_id);
        line.map_or(&[], |line| &line.value)
    }

    /// The request to send to a target; `None` if it is not valid.
    pub(super) fn into_outgoing(self, names: &HeaderNames) -> Option<OutgoingRequest> {
        let headers = header_map(self.headers)?;
        let request_id = headers.get(names.request_id)?.clone();
        Some(OutgoingRequest {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path_and_query: self.path_and_query,
            headers,
            body: Bytes::from(self.body).into(),
            request_id,
        })
    }
}

impl AssistCall {
    /// The request as if its caller had sent it to this VM; `None` if it is not valid.
    pub(super) fn into_assisted(self) -> Option<AssistedRequest> {
        let wire = self.request;
        let (mut request, _) = Request::new().replace_payload(Payload::from(wire.body));
        let head = request.head_mut();
        head.method = actix_http::Method::from_bytes(wire.method.as_bytes()).ok()?;
        head.uri = wire.path_and_query.parse().ok()?;
        for line in wire.headers {
            let name = actix_http::header::HeaderName::from_bytes(line.name.as_bytes()).ok()?;
            let value = actix_http::header::HeaderValue::from_bytes(&line.value).ok()?;
            head.headers.append(name, value);
        }
        Some(AssistedRequest {
            request,
            version: self.version,
            attempts_made: self.attempts_made,
            caller_age: duration(self.caller_age_ms),
            deadline_in: duration(self.deadline_in_ms),
        })
    }
}

impl From<Result<TargetResponse, AssistFailure>> for AssistAnswer {
    fn from(served: Result<TargetResponse, AssistFailure>) -> Self {
        match served {
            Ok(response) => Self::Responded(response.into()),
            Err(failure) => Self::Failed {
                error: failure.kind.response().code.to_owned(),
                retry_after_ms: failure.retry_after.map(millis),
            },
        }
    }
}

impl From<AttemptResult> for WireResult {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Responded(response) => Self::Responded(response.into()),
            AttemptResult::Shed => Self::Shed,
            AttemptResult::Misdirected => Self::Misdirected,
            AttemptResult::NotSent(_) => Self::NotSent,
            AttemptResult::Withheld | AttemptResult::Forbidden(_) => Self::Withheld,
            AttemptResult::Lost(LossReason::Late) => Self::LostLate,
            AttemptResult::Lost(LossReason::Broken | LossReason::Dispatcher) => Self::LostBroken,
            // VMs of an earlier version know no other name for a response that is no answer.
            AttemptResult::Lost(LossReason::Foreign | LossReason::Malformed) => Self::LostForeign,
            AttemptResult::Lost(LossReason::NoMemory) => Self::LostUnheld,
        }
    }
}

impl WireResult {
    /// The result as if this VM had made the attempt; `held` has room for the response.
    fn into_result(self, held: HeldBytes) -> AttemptResult {
        match self {
            Self::Responded(response) => match response.into_response(held) {
                Ok(response) => AttemptResult::Responded(response),
                Err(reason) => AttemptResult::Lost(reason),
            },
            Self::Shed => AttemptResult::Shed,
            Self::Misdirected => AttemptResult::Misdirected,
            Self::NotSent => AttemptResult::NotSent(ConnectFailure::Broken),
            Self::Withheld => AttemptResult::Withheld,
            Self::LostLate => AttemptResult::Lost(LossReason::Late),
            Self::LostBroken => AttemptResult::Lost(LossReason::Broken),
            Self::LostForeign => AttemptResult::Lost(LossReason::Foreign),
            Self::LostUnheld => AttemptResult::Lost(LossReason::NoMemory),
        }
    }

    /// The result in the log.
    pub(super) const fn as_str(&self) -> &'static str {
        match self {
            Self::Responded(_) => "responded",
            Self::Shed => "shed",
            Self::Misdirected => "not-owner",
            Self::NotSent => "not-sent",
            Self::Withheld => "withheld",
            Self::LostLate => "late",
            Self::LostBroken => "broken",
            Self::LostForeign => "foreign",
            Self::LostUnheld => LossReason::NoMemory.as_str(),
        }
    }
}

impl WireAttempt {
    /// The end of the attempt as if this VM had made it, and how long the target took.
    ///
    /// `held` has room for the response, and grows if it is larger than expected.
    pub(super) fn into_end(self, held: HeldBytes, now: Timestamp) -> (AttemptEnd, Duration) {
        let latency = duration(self.latency_ms);
        let end = AttemptEnd {
            result: self.result.into_result(held),
            signals: self.signals.into(),
            sent_at: now.checked_sub(latency).unwrap_or(Timestamp::ZERO),
        };
        (end, latency)
    }
}

impl From<TargetResponse> for WireResponse {
    fn from(response: TargetResponse) -> Self {
        Self {
            status: response.status.as_u16(),
            headers: wire_headers(&response.headers),
            body: response.body.to_vec(),
        }
    }
}

impl WireResponse {
    /// The response, for which `held` has room.
    ///
    /// # Errors
    /// Why it is not usable.
    pub(super) fn into_response(self, mut held: HeldBytes) -> Result<TargetResponse, LossReason> {
        if held.resize(self.body.len(), BytePurpose::Completion).is_err() {
            return Err(LossReason::NoMemory);
        }
        let status = StatusCode::from_u16(self.status).map_err(|_| LossReason::Foreign)?;
        let headers = header_map(self.headers).ok_or(LossReason::Foreign)?;
        Ok(TargetResponse { status, headers, body: Bytes::from(self.body), held })
    }
}

pub(super) fn wire_headers(headers: &HeaderMap) -> Vec<WireHeader> {
    let lines = headers.iter();
    lines
        .map(|(name, value)| WireHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn header_map(lines: Vec<WireHeader>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&line.value).ok()?);
    }
    Some(headers)
}
