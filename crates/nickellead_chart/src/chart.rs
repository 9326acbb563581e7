//! Transition table of a loaded state chart.

use std::marker::PhantomData;

use crate::source::{ChartError, ChartSource};

/// A state or an event of a chart.
pub trait ChartSymbol: Copy + 'static {
    /// All symbols with their names in the file, in the order of [`ChartSymbol::index`].
    const ALL: &'static [(Self, &'static str)];

    /// Index of this symbol in [`ChartSymbol::ALL`].
    fn index(self) -> usize;
}

/// A validated chart with states `S` and events `E`.
#[derive(Debug)]
pub struct Chart<S, E> {
    initial: S,
    table: Vec<Option<S>>,
    events: PhantomData<E>,
}

impl<S: ChartSymbol, E: ChartSymbol> Chart<S, E> {
    /// Parses and validates a chart.
    ///
    /// # Errors
    /// Returns a [`ChartError`] with the invalid state or event.
    pub fn load(text: &str) -> Result<Self, ChartError> {
        let source: ChartSource = serde_json::from_str(text)?;
        check_states::<S>(&source)?;
        let initial = find_state::<S>(&source, &source.initial)?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for (state, name) in S::ALL {
            for (event, event_name) in E::ALL {
                let next = transition::<S>(&source, name, event_name)?;
                table[cell::<E>(state.index(), event.index())] = next;
            }
        }
        check_events::<E>(&source)?;
        let chart = Self { initial, table, events: PhantomData };
        chart.check_reachable(&source)?;
        Ok(chart)
    }

    /// State in which the chart starts.
    #[must_use]
    pub const fn initial(&self) -> S {
        self.initial
    }

    /// State that follows `state` after `event`; `None` if `state` ignores the event.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table[cell::<E>(state.index(), event.index())]
    }

    /// Updates `state` for `event`. Returns `false` if the state ignores the event.
    pub fn advance(&self, state: &mut S, event: E) -> bool {
        match self.next(*state, event) {
            Some(next) => {
                *state = next;
                true
            }
            None => false,
        }
    }

    fn check_reachable(&self, source: &ChartSource) -> Result<(), ChartError> {
        let mut reached = vec![false; S::ALL.len()];
        let mut open = vec![self.initial];
        while let Some(state) = open.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            open.extend(E::ALL.iter().filter_map(|(event, _)| self.next(state, *event)));
        }
        match S::ALL.iter().find(|(state, _)| !reached[state.index()]) {
            None => Ok(()),
            Some((_, name)) => Err(ChartError::UnreachableState {
                chart: source.name.clone(),
                state: (*name).to_owned(),
            }),
        }
    }
}

const fn cell<E: ChartSymbol>(state: usize, event: usize) -> usize {
    state * E::ALL.len() + event
}

fn find_state<S: ChartSymbol>(source: &ChartSource, name: &str) -> Result<S, ChartError> {
    let found = S::ALL.iter().find(|(_, known)| *known == name);
    found.map(|(state, _)| *state).ok_or_else(|| ChartError::UnknownState {
        chart: source.name.clone(),
        state: name.to_owned(),
    })
}

fn check_states<S: ChartSymbol>(source: &ChartSource) -> Result<(), ChartError> {
    for name in source.states.keys() {
        find_state::<S>(source, name)?;
    }
    match S::ALL.iter().find(|(_, name)| !source.states.contains_key(*name)) {
        None => Ok(()),
        Some((_, name)) => {
            Err(ChartError::UnknownState { chart: source.name.clone(), state: (*name).to_owned() })
        }
    }
}

fn check_events<E: ChartSymbol>(source: &ChartSource) -> Result<(), ChartError> {
    for (state, body) in &source.states {
        for event in body.on.keys().chain(&body.ignore) {
            if !E::ALL.iter().any(|(_, name)| name == event) {
                return Err(ChartError::UnknownEvent {
                    chart: source.name.clone(),
                    state: state.clone(),
                    event: event.clone(),
                });
            }
        }
    }
    Ok(())
}

fn transition<S: ChartSymbol>(
    source: &ChartSource,
    state: &str,
    event: &str,
) -> Result<Option<S>, ChartError> {
    let body = &source.states[state];
    let ignored = body.ignore.iter().any(|name| name == event);
    match (body.on.get(event), ignored) {
        (Some(next), false) => find_state(source, next).map(Some),
        (None, true) => Ok(None),
        _ => Err(ChartError::UnhandledEvent {
            chart: source.name.clone(),
            state: state.to_owned(),
            event: event.to_owned(),
        }),
    }
}
