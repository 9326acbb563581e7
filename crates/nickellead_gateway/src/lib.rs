//! The gateway of one VM: routes by host and path, targets chosen or owned, and the control duty.
//!
//! [`start_gateway`] builds two duties, each on its own thread. The request
//! duty answers callers from what it believes. The control duty follows the
//! platform's store, tells the request duty what changed and, on the VM that
//! holds the mandate, sees to it that every range of keys has one owner. They
//! are joined by watched values of which only the newest counts.
//!
//! Whatever the platform calls these things is translated behind the traits
//! of the `port` module.

mod admission;
mod cluster_state;
mod connections;
mod control;
mod declared;
mod drain;
mod evacuation;
mod exchange;
mod fleet;
mod incoming;
mod load_counter;
mod metrics;
mod node;
mod order_client;
mod packed;
mod policy;
mod port;
mod relay;
mod requests;
mod response_signals;
mod retry_budget;
mod route_table;
mod settings;
mod state_channels;
mod store_era;
mod store_health;
mod store_watch;
mod target_registry;
mod targets;
mod waiting;
mod worker;

pub use cluster_state::{RangesHistory, RangesStep, RangesUpdate, StepsError};
pub use declared::{
    AppliedUpdate, CallerLimits, ChangeError, ColdRule, Declarations, DeclarationsChange,
    DeclarationsHistory, DeclaredState, DeclaredStep, DeclaredUpdate, HISTORY_BYTES, HISTORY_STEPS,
    RepeatClass, RouteRule, ServiceRule, SharedRoute, UpdateError, WeightedService,
};
pub use nickellead_range::{MandateRecord, Revision, StoreEra, Stored};
pub use node::{GatewayError, GatewayHandle, start_gateway};
pub use order_client::{CallFailure, OrderClient};
pub use packed::{Packed, PackedError, UNPACKED_LIMIT};
pub use policy::{PolicySettings, PolicySwitch};
pub use port::{HeaderNames, OrderPort, OrderReply, Snapshot, StoreError, StorePort};
pub use response_signals::signals_leaving;
pub use settings::{ColdSettings, GatewaySettings, OwnershipSettings, SettingsError};
pub use store_era::EraMonitor;
pub use targets::{
    EvacuatedZones, TargetChange, TargetEntry, TargetList, TargetListing, TargetState,
};
