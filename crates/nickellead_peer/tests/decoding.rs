//! Decoding bytes from other VMs never panics and never allocates more than the limit.
#![allow(clippy::unwrap_used)]

use nickellead_core::{Epoch, ServiceKey, ShardIndex, TargetKey, Term};
use nickellead_lease::{RecordBatch, ShardRecordEntry};
use nickellead_peer::{PeerReply, PeerRequest, decode, encode};
use quickcheck::{Gen, QuickCheck};

fn quickcheck(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(400, seed)).tests(20_000).max_tests(20_000)
}

fn batch(entries: u32) -> PeerRequest {
    let entry = |shard| ShardRecordEntry {
        service: ServiceKey(u64::MAX),
        shard: ShardIndex(shard),
        target: TargetKey(7),
        epoch: Epoch(u64::from(shard) << 30),
    };
    let entries = (0..entries).map(entry).collect();
    PeerRequest::Record(RecordBatch { term: Term(3), number: 9, entries })
}

#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    // Whatever decodes can be encoded again; anything else is an error, not a panic.
    fn holds(bytes: Vec<u8>) -> bool {
        let request = decode::<PeerRequest>(&bytes);
        let reply = decode::<PeerReply>(&bytes);
        request.map_or(true, |request| encode(&request).is_ok())
            && reply.map_or(true, |reply| encode(&reply).is_ok())
    }
    quickcheck(1).quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn corrupt_messages_are_decoded_or_rejected() {
    fn holds(entries: u8, index: usize, flip: u8, cut: usize) -> bool {
        let mut bytes = encode(&batch(u32::from(entries))).unwrap();
        let length = bytes.len();
        bytes[index % length] ^= flip;
        bytes.truncate(length - cut % length);
        let _ = decode::<PeerRequest>(&bytes);
        true
    }
    quickcheck(2).quickcheck(holds as fn(u8, usize, u8, usize) -> bool);
}

#[test]
fn messages_round_trip_and_trailing_bytes_are_rejected() {
    let message = batch(50);
    let mut bytes = encode(&message).unwrap();
    assert_eq!(decode::<PeerRequest>(&bytes).unwrap(), message);
    bytes.push(0);
    assert!(decode::<PeerRequest>(&bytes).is_err());
}

#[test]
fn a_length_beyond_the_limit_is_rejected_before_allocation() {
    // Variant 1 (Record), term, number, and a list with a declared length of 2^60 entries.
    let mut bytes = vec![1, 3, 9, 253];
    bytes.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    assert!(decode::<PeerRequest>(&bytes).is_err());
}
