//! Which requests that ended well are logged.

use nickellead_event::REQUEST_ANSWERED_SAMPLE_INTERVAL;

/// Whether a request is one of the sample that is logged. Its id selects it, so that all VMs log the
/// same requests.
pub(crate) fn is_logged(request_id: &[u8]) -> bool {
    xxhash_rust::xxh3::xxh3_64(request_id).is_multiple_of(REQUEST_ANSWERED_SAMPLE_INTERVAL)
}
