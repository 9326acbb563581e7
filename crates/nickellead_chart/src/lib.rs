//! State charts that are loaded from JSON files, validated and interpreted.
//!
//! A chart declares states, events and transitions. The code that uses the chart declares the same
//! states and events as two enums. Loading fails if the file and the enums differ, if a state is
//! unreachable, or if a state neither handles nor explicitly ignores an event.
//!
//! ```
//! use nickellead_chart::{Chart, ChartSymbol};
//!
//! #[derive(Clone, Copy, Debug, PartialEq)]
//! enum DoorState { Open, Shut }
//! #[derive(Clone, Copy, Debug, PartialEq)]
//! enum DoorEvent { Push }
//! impl ChartSymbol for DoorState {
//!     const ALL: &'static [(Self, &'static str)] =
//!         &[(DoorState::Open, "open"), (DoorState::Shut, "shut")];
//!     fn index(self) -> usize { self as usize }
//! }
//! impl ChartSymbol for DoorEvent {
//!     const ALL: &'static [(Self, &'static str)] = &[(DoorEvent::Push, "push")];
//!     fn index(self) -> usize { self as usize }
//! }
//! let text = r#"{"name": "door", "initial": "open", "states": {
//!     "open": {"on": {"push": "shut"}}, "shut": {"ignore": ["push"]}}}"#;
//! let chart = Chart::<DoorState, DoorEvent>::load(text).unwrap();
//! assert_eq!(chart.next(DoorState::Open, DoorEvent::Push), Some(DoorState::Shut));
//! assert_eq!(chart.next(DoorState::Shut, DoorEvent::Push), None);
//! ```

mod chart;
mod source;

pub use chart::{Chart, ChartSymbol};
pub use source::ChartError;

/// Declares an enum of chart states or events with their names in the chart's file.
#[macro_export]
macro_rules! chart_symbol {
    ($(#[$doc:meta])* $name:ident { $($(#[$item_doc:meta])* $item:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$item_doc])* $item,)*
        }

        impl $crate::ChartSymbol for $name {
            const ALL: &'static [(Self, &'static str)] = &[$((Self::$item, $text),)*];

            fn index(self) -> usize {
                self as usize
            }
        }

        impl $name {
            /// Name of this symbol in the chart's file.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$item => $text,)*
                }
            }
        }
    };
}
