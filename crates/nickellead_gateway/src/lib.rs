//! The gateway of one VM: routing by host and path, target selection, and the control loop.
//!
//! [`start_gateway`] starts two threads. The request thread serves callers from cached state. The
//! control thread watches the platform's store, publishes changes to the request thread and, on the
//! VM that holds the mandate (leader lease), assigns each range of keys to one owner. The threads
//! are connected by watch channels, which keep only the latest value.
//!
//! The traits of the `port` module translate the platform's terms.

mod admission;
mod authentication;
mod cluster_state;
mod connections;
mod control;
mod declared;
mod dispatch;
mod drain;
mod evacuation;
mod exchange;
mod fleet;
mod incoming;
mod listed_targets;
mod load_counter;
mod log_sample;
mod machine_limits;
mod metrics;
mod node;
mod order_client;
mod packed;
mod policy;
mod port;
mod quarantine;
mod quota;
mod regions;
mod registered_target;
mod relay;
mod requests;
mod response_body;
mod response_signals;
mod route_table;
mod sent_body;
mod service_targets;
mod settings;
mod sorted_targets;
mod state_channels;
mod store_call;
mod store_era;
mod store_health;
mod store_watch;
mod target_registry;
mod target_subset;
mod targets;
mod thread_turns;
mod vm_reach;
mod waiting;
mod worker;
mod workspace_table;

pub use authentication::{Credential, MAX_KEY_BYTES};
pub use cluster_state::{RangesHistory, RangesStep, RangesUpdate, StepsError};
pub use declared::{
    AppliedUpdate, CallerLimits, ChangeError, ColdRule, Declarations, DeclarationsChange,
    DeclarationsFreshness, DeclarationsHistory, DeclaredState, DeclaredStep, DeclaredUpdate,
    KeyDigest, MAX_HISTORY_BYTES, MAX_HISTORY_STEPS, RESTORE_GRACE, RelayedConfirmation,
    RepeatClass, RouteRule, ServiceRule, SharedRoute, StateConfirmation, UpdateError,
    WeightedService, WorkspaceQuota, WorkspaceRule, WorkspaceRules, WorkspacesChange,
};
pub use dispatch::{PeerHealth, ZoneReport, ZoneReports, divide_targets};
pub use nickellead_dispatch::ReportedLoad;
pub use nickellead_range::{MandateRecord, Revision, StoreEra, Stored};
pub use node::{GatewayError, GatewayHandle, start_gateway};
pub use order_client::{CallFailure, ConnectionUse, OrderClient};
pub use packed::{MAX_UNPACKED_BYTES, Packed, PackedError};
pub use policy::{PolicySettings, PolicySwitch};
pub use port::{HeaderNames, LoadHeader, OrderPort, OrderReply, Snapshot, StoreError, StorePort};
pub use quota::{TokenDemands, TokenQueue, TokenRequest, TokenRequests};
pub use regions::is_region_allowed;
pub use response_signals::signals_leaving;
pub use settings::{
    ColdSettings, DispatchScope, GatewaySettings, OwnershipSettings, QuotaSettings, SettingsError,
};
pub use store_era::EraMonitor;
pub use targets::{
    EvacuatedZones, SlotCount, TargetChange, TargetEntry, TargetList, TargetListing, TargetState,
};
