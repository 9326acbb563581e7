//! The services of both trades, as the users described them.

/// One operation of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TradeOperation {
    pub(crate) name: &'static str,
    pub(crate) method: &'static str,
    pub(crate) once: bool,
    pub(crate) urgent: bool,
}

/// One service of a trade.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TradeService {
    pub(crate) name: &'static str,
    pub(crate) targets: u16,
    pub(crate) slots: u16,
    pub(crate) connections: u16,
    pub(crate) operation: TradeOperation,
}

const fn look(name: &'static str, urgent: bool) -> TradeOperation {
    TradeOperation { name, method: "GET", once: false, urgent }
}

const fn run_once(name: &'static str) -> TradeOperation {
    TradeOperation { name, method: "POST", once: true, urgent: true }
}

const fn coop(name: &'static str, targets: u16, operation: TradeOperation) -> TradeService {
    TradeService { name, targets, slots: 4, connections: 130, operation }
}

const fn auction(name: &'static str, targets: u16, operation: TradeOperation) -> TradeService {
    TradeService { name, targets, slots: 6, connections: 110, operation }
}

/// Every service: the co-op's four, then the auction's four.
pub(crate) const SERVICES: [TradeService; 8] = [
    coop("slots", 10, look("lookup", true)),
    coop("booking", 7, run_once("book")),
    coop("deposits", 6, run_once("charge")),
    coop("reminders", 10, look("lookup", false)),
    auction("catalogue", 9, look("lot", true)),
    auction("landings", 8, run_once("register")),
    auction("settlement", 8, run_once("settle")),
    auction("archive", 8, look("prices", false)),
];
