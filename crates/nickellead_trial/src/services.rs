//! Services of the trial deployment.

/// Operation of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialOperation {
    pub(crate) name: &'static str,
    pub(crate) method: &'static str,
    pub(crate) at_most_once: bool,
    pub(crate) urgent: bool,
}

/// Service with its targets and their limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialService {
    pub(crate) name: &'static str,
    pub(crate) targets: u16,
    pub(crate) slots: u16,
    pub(crate) connections: u16,
    pub(crate) operation: TrialOperation,
}

const fn read(name: &'static str, urgent: bool) -> TrialOperation {
    TrialOperation { name, method: "GET", at_most_once: false, urgent }
}

const fn write_once(name: &'static str) -> TrialOperation {
    TrialOperation { name, method: "POST", at_most_once: true, urgent: true }
}

const fn coop_service(name: &'static str, targets: u16, operation: TrialOperation) -> TrialService {
    TrialService { name, targets, slots: 4, connections: 130, operation }
}

const fn auction_service(
    name: &'static str,
    targets: u16,
    operation: TrialOperation,
) -> TrialService {
    TrialService { name, targets, slots: 6, connections: 110, operation }
}

/// Four services of a booking co-op, then four of an auction hall.
pub(crate) const SERVICES: [TrialService; 8] = [
    coop_service("slots", 10, read("lookup", true)),
    coop_service("booking", 7, write_once("book")),
    coop_service("deposits", 6, write_once("charge")),
    coop_service("reminders", 10, read("lookup", false)),
    auction_service("catalogue", 9, read("lot", true)),
    auction_service("landings", 8, write_once("register")),
    auction_service("settlement", 8, write_once("settle")),
    auction_service("archive", 8, read("prices", false)),
];
