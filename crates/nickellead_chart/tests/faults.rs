//! Guards against invalid charts that load without an error.
#![allow(clippy::unwrap_used)]

use nickellead_chart::{Chart, ChartError, chart_symbol};

chart_symbol! {
    /// States of the test's chart.
    LampState {
        /// Off.
        Off = "off",
        /// On.
        On = "on",
    }
}

chart_symbol! {
    /// Events of the test's chart.
    LampEvent {
        /// The switch was pressed.
        Press = "press",
    }
}

fn load(text: &str) -> Result<Chart<LampState, LampEvent>, ChartError> {
    Chart::load(text)
}

#[test]
fn a_valid_chart_is_interpreted() {
    let chart = load(
        r#"{"name": "lamp", "initial": "off", "states": {
            "off": {"on": {"press": "on"}}, "on": {"on": {"press": "off"}}}}"#,
    )
    .unwrap();
    let mut state = chart.initial();
    assert!(chart.advance(&mut state, LampEvent::Press));
    assert_eq!(state, LampState::On);
}

#[test]
fn each_kind_of_fault_gives_its_own_error() {
    let unknown_state = r#"{"name": "lamp", "initial": "off", "states": {
        "off": {"on": {"press": "dim"}}, "on": {"ignore": ["press"]}}}"#;
    assert!(matches!(load(unknown_state), Err(ChartError::UnknownState { .. })));
    let missing_state =
        r#"{"name": "lamp", "initial": "off", "states": {"off": {"ignore": ["press"]}}}"#;
    assert!(matches!(load(missing_state), Err(ChartError::UnknownState { .. })));
    let unknown_event = r#"{"name": "lamp", "initial": "off", "states": {
        "off": {"on": {"press": "on", "kick": "on"}}, "on": {"ignore": ["press"]}}}"#;
    assert!(matches!(load(unknown_event), Err(ChartError::UnknownEvent { .. })));
    let unhandled = r#"{"name": "lamp", "initial": "off", "states": {
        "off": {"on": {"press": "on"}}, "on": {}}}"#;
    assert!(matches!(load(unhandled), Err(ChartError::UnhandledEvent { .. })));
    let unreachable = r#"{"name": "lamp", "initial": "off", "states": {
        "off": {"ignore": ["press"]}, "on": {"on": {"press": "off"}}}}"#;
    assert!(matches!(load(unreachable), Err(ChartError::UnreachableState { .. })));
    assert!(matches!(load("{"), Err(ChartError::Syntax(_))));
}
