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
    /// It may: reads and the like.
    Safe,
    /// It may run once at most.
    Unsafe,
}

/// One route: which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub repeat: RepeatClass,
    /// Longest time a request may be held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Services with their shares of the requests.
    pub split: Vec<WeightedService>,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share beside the other parts' weights.
    pub weight: f64,
}

/// A route that several contents of declarations, and tables made of them, have in common.
///
/// Most versions change few of thousands of routes: the others are neither copied nor compared nor
/// digested anew. To change one that is shared is to make a copy of it.
#[derive(Clone, Debug)]
pub struct SharedRoute(Arc<DigestedRoute>);

#[derive(Clone, Debug)]
struct DigestedRoute {
    rule: RouteRule,
    /// Digest of the rule, once it was asked for.
    digest: OnceLock<u64>,
}

impl SharedRoute {
    /// Digest of the rule.
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

/// The digests are compared as well: unlike for `==` of rules, 0.0 and -0.0 are two weights.
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
