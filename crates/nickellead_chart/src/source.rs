//! JSON format of a chart and the errors of loading it.

use std::collections::BTreeMap;

use serde::Deserialize;
use thiserror::Error;

/// Content of a chart's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartSource {
    pub(crate) name: String,
    pub(crate) initial: String,
    pub(crate) states: BTreeMap<String, StateSource>,
}

/// One state in a chart's file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StateSource {
    /// Next state by event.
    pub(crate) on: BTreeMap<String, String>,
    /// Events that do not change the state.
    pub(crate) ignore: Vec<String>,
}

/// Error of loading a chart.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The text is not valid JSON of a chart.
    #[error("chart can't be parsed: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The file and the code declare different states.
    #[error("chart {chart}: state {state:?} is not declared in both the file and the code")]
    UnknownState {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
    },
    /// The file contains an event that the code does not declare.
    #[error("chart {chart}: event {event:?} of state {state:?} is not declared in the code")]
    UnknownEvent {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
        /// The event's name.
        event: String,
    },
    /// A state neither handles nor ignores an event, or does both.
    #[error("chart {chart}: state {state:?} must either handle or ignore event {event:?}")]
    UnhandledEvent {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
        /// The event's name.
        event: String,
    },
    /// A state is unreachable from the initial state.
    #[error("chart {chart}: state {state:?} is unreachable from the initial state")]
    UnreachableState {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
    },
}
