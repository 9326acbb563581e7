//! One route: which requests go to which services, and how.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bincode::de::{BorrowDecode, BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};

use nickellead_peer::digest_of;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RepeatClass {
    /// It may, as with reads.
    Safe,
    /// It must run at most once.
    Unsafe,
}

/// One route: which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RouteRule {
    /// Name of the route, by which changes refer to it.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its requests may be run more than once.
    pub repeat: RepeatClass,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency within which a response counts as on time.
    pub latency_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Most attempts for one request, each at another target.
    pub attempts: u32,
    /// Services among which the requests are split by weight.
    pub split: Vec<WeightedService>,
    /// Whether its requests need no key of a workspace.
    pub public: bool,
    /// Regions in which its requests may be served; `None` for all regions.
    pub regions: Option<Vec<String>>,
    /// Whether its responses are large: a few of them at a time fill a link.
    pub large_responses: bool,
}

/// A service in the traffic split of a route.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its weight, relative to the sum of all weights of the route.
    pub weight: f64,
}

/// A route shared by several versions of the declarations and by route tables, copied on write.
///
/// Most versions change few of thousands of routes; the others need not be copied, compared or
/// digested again.
#[derive(Clone, Debug)]
pub struct SharedRoute(Arc<DigestedRoute>);

#[derive(Clone, Debug)]
struct DigestedRoute {
    rule: RouteRule,
    /// Digest of the rule, computed on first use.
    digest: OnceLock<u64>,
}

impl SharedRoute {
    /// Digest of the rule, computed once.
    #[must_use]
    pub fn digest(&self) -> u64 {
        *self.0.digest.get_or_init(|| digest_of(&self.0.rule))
    }
}

impl From<RouteRule> for SharedRoute {
    fn from(rule: RouteRule) -> Self {
        Self(Arc::new(DigestedRoute { rule, digest: OnceLock::new() }))
    }
}

impl Deref for SharedRoute {
    type Target = RouteRule;

    fn deref(&self) -> &RouteRule {
        &self.0.rule
    }
}

impl DerefMut for SharedRoute {
    fn deref_mut(&mut self) -> &mut RouteRule {
        let route = Arc::make_mut(&mut self.0);
        route.digest = OnceLock::new();
        &mut route.rule
    }
}

/// Digests are compared as well, because 0.0 and -0.0 are equal weights but encoded differently.
impl PartialEq for SharedRoute {
    fn eq(&self, other: &Self) -> bool {
        let same = || self.digest() == other.digest() && self.0.rule == other.0.rule;
        Arc::ptr_eq(&self.0, &other.0) || same()
    }
}

impl Encode for SharedRoute {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.0.rule.encode(encoder)
    }
}

impl<Context> Decode<Context> for SharedRoute {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        RouteRule::decode(decoder).map(Self::from)
    }
}

impl<'de, Context> BorrowDecode<'de, Context> for SharedRoute {
    fn borrow_decode<D: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        RouteRule::borrow_decode(decoder).map(Self::from)
    }
}
