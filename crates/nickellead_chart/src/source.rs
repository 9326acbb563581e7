//! The JSON form of a chart, and what can be wrong with it.

use std::collections::BTreeMap;

use serde::Deserialize;
use thiserror::Error;

/// A chart as it stands in its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartSource {
    pub(crate) name: String,
    pub(crate) initial: String,
    pub(crate) states: BTreeMap<String, StateSource>,
}

/// One state of a chart's file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StateSource {
    /// Event to next state.
    pub(crate) on: BTreeMap<String, String>,
    /// Events that leave the state as it is.
    pub(crate) ignore: Vec<String>,
}

/// Why a chart can't be used.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The text is no JSON of the right form.
    #[error("chart can't be read: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The file and the code name different states.
    #[error("chart {chart}: state {state:?} stands in only one of file and code")]
    UnknownState {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
    },
    /// The file names an event that the code does not have.
    #[error("chart {chart}: event {event:?} of state {state:?} is not in the code")]
    UnknownEvent {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
        /// The event's name.
        event: String,
    },
    /// A state neither takes nor ignores an event, or does both.
    #[error("chart {chart}: state {state:?} must either take or ignore event {event:?}")]
    UnhandledEvent {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
        /// The event's name.
        event: String,
    },
    /// No path leads from the initial state to a state.
    #[error("chart {chart}: no path leads to state {state:?}")]
    UnreachableState {
        /// The chart's name.
        chart: String,
        /// The state's name.
        state: String,
    },
}
