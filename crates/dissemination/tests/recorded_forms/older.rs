//! Messages of earlier builds, with the fields and tags copied from them.

use sumacdrift_dissemination::Item;

/// As of build 32c8d64.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemChange {
    #[prost(message, optional, tag = "1")]
    pub item: Option<Item>,
    #[prost(bool, tag = "2")]
    pub is_gone: bool,
}

/// As of build 32c8d64.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct FirstRequest {
    #[prost(uint64, tag = "1")]
    pub life: u64,
    #[prost(uint64, tag = "2")]
    pub after: u64,
    #[prost(uint64, tag = "3")]
    pub wait_millis: u64,
}

/// Defines a response with the fields of the first build and those added since.
macro_rules! changes {
    ($(#[$about:meta])* $name:ident { $(#[$tag:meta] $field:ident: $type:ty),* $(,)? }) => {
        $(#[$about])*
        #[derive(Clone, PartialEq, prost::Message)]
        pub struct $name {
            #[prost(uint64, tag = "1")]
            pub life: u64,
            #[prost(uint64, tag = "2")]
            pub at: u64,
            #[prost(bool, tag = "3")]
            pub is_whole: bool,
            #[prost(uint64, tag = "4")]
            pub outage_millis: u64,
            #[prost(bool, tag = "5")]
            pub is_current: bool,
            #[prost(message, repeated, tag = "6")]
            pub changes: Vec<ItemChange>,
            $(#[$tag] pub $field: $type,)*
        }
    };
}

changes! {
    /// As of build 32c8d64.
    FirstChanges {}
}

changes! {
    /// As of build 37707dd.
    ChangesWithRevisions {
        #[prost(bool, tag = "7")]
        hears_store: bool,
        #[prost(uint64, tag = "8")]
        configurations_to: u64,
        #[prost(uint64, tag = "9")]
        engines_to: u64,
    }
}

changes! {
    /// As of build 31270e8.
    ChangesWithAge {
        #[prost(bool, tag = "7")]
        hears_store: bool,
        #[prost(uint64, tag = "8")]
        configurations_to: u64,
        #[prost(uint64, tag = "9")]
        engines_to: u64,
        #[prost(uint64, optional, tag = "10")]
        configuration_age_millis: Option<u64>,
        #[prost(uint64, tag = "11")]
        held_millis: u64,
    }
}

changes! {
    /// As of build 0808141.
    ChangesWithEvacuations {
        #[prost(bool, tag = "7")]
        hears_store: bool,
        #[prost(uint64, tag = "8")]
        configurations_to: u64,
        #[prost(uint64, tag = "9")]
        engines_to: u64,
        #[prost(uint64, optional, tag = "10")]
        configuration_age_millis: Option<u64>,
        #[prost(uint64, tag = "11")]
        held_millis: u64,
        #[prost(uint64, tag = "12")]
        evacuations_to: u64,
    }
}
