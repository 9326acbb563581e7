//! Reasons for which no connection was established.

use std::io::Error;

use super::*;

/// `EMFILE`: the process has as many open files as it may have.
const TOO_MANY_FILES: i32 = 24;

/// A VM without free descriptors would take all zones for lost.
#[test]
fn a_shortage_of_this_vm_is_no_failure_of_the_target() {
    let shortage = Error::from_raw_os_error(TOO_MANY_FILES).kind();
    assert_eq!(ConnectFailure::from(shortage), ConnectFailure::Unopened);
    assert_eq!(ConnectFailure::from(ErrorKind::AddrNotAvailable), ConnectFailure::Unopened);
    assert_eq!(ConnectFailure::from(ErrorKind::ConnectionReset), ConnectFailure::Broken);
    assert_eq!(ConnectFailure::from(ErrorKind::ConnectionRefused), ConnectFailure::Refused);
}
