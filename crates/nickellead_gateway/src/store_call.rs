//! Kinds of calls to the store.

/// What a call to the store reads, waits for or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum StoreCall {
    /// A whole read of the declarations.
    ReadDeclarations,
    /// A wait for newer declarations.
    WatchDeclarations,
    /// A whole read of the list of targets.
    ReadTargets,
    /// A wait for changes of targets.
    WatchTargets,
    /// A read of the map of ranges.
    ReadRanges,
    /// A wait for a newer map of ranges.
    WatchRanges,
    /// A write of the map of ranges.
    WriteRanges,
    /// A whole read of the evacuated zones.
    ReadEvacuations,
    /// A wait for an evacuation to begin or end.
    WatchEvacuations,
    /// A read of the current mandate.
    ReadMandate,
    /// A read of the mandate from a cached copy.
    ProbeMandate,
    /// A write of the mandate.
    WriteMandate,
}

impl StoreCall {
    /// Whether the call waits for a change.
    pub(crate) const fn is_watch(self) -> bool {
        match self {
            Self::WatchDeclarations
            | Self::WatchTargets
            | Self::WatchRanges
            | Self::WatchEvacuations => true,
            Self::ReadDeclarations
            | Self::ReadTargets
            | Self::ReadRanges
            | Self::WriteRanges
            | Self::ReadEvacuations
            | Self::ReadMandate
            | Self::ProbeMandate
            | Self::WriteMandate => false,
        }
    }

    /// Whether the store counts the call toward the rate that it accepts of all VMs together.
    pub(crate) const fn counts_toward_rate(self) -> bool {
        !matches!(self, Self::ProbeMandate)
    }

    /// Name of the kind in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::ReadDeclarations => "read-declarations",
            Self::WatchDeclarations => "watch-declarations",
            Self::ReadTargets => "read-targets",
            Self::WatchTargets => "watch-targets",
            Self::ReadRanges => "read-ranges",
            Self::WatchRanges => "watch-ranges",
            Self::WriteRanges => "write-ranges",
            Self::ReadEvacuations => "read-evacuations",
            Self::WatchEvacuations => "watch-evacuations",
            Self::ReadMandate => "read-mandate",
            Self::ProbeMandate => "probe-mandate",
            Self::WriteMandate => "write-mandate",
        }
    }
}
