//! Numbered result codes.
//!
//! Numbers are stable: a code is never renumbered or reused. The hundreds give the family: 1 the request,
//! 2 identity and limits, 3 the program, 4 capacity and back ends, 5 the fleet, 6 the platform.

use std::fmt;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $status:literal, $title:literal;)+) => {
        /// The numbered reason of a refusal or failure.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[$doc])* $variant,)+
        }

        impl ResultCode {
            /// Every code, in order of number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)+];

            /// The stable number.
            pub fn number(self) -> u32 {
                match self { $(ResultCode::$variant => $number,)+ }
            }

            /// The HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)+ }
            }

            /// Short title, the same in every language of the interface.
            pub fn title(self) -> &'static str {
                match self { $(ResultCode::$variant => $title,)+ }
            }

            /// Finds a code by its number.
            pub fn from_number(number: u32) -> Option<ResultCode> {
                match number { $($number => Some(ResultCode::$variant),)+ _ => None }
            }
        }
    };
}

result_codes! {
    /// The body is not JSON, or not the JSON that the endpoint takes.
    MalformedBody = 1001, 400, "Malformed request body";
    /// The body is larger than the settings allow.
    BodyTooLarge = 1002, 413, "Request body too large";
    /// A `Sumacdrift-*` header or `Idempotency-Key` is not well formed, or appears twice.
    InvalidHeader = 1003, 400, "Invalid header";
    /// No pool of the configuration serves the model.
    UnknownModel = 1004, 404, "Unknown model";
    /// The path names nothing that exists.
    NotFound = 1005, 404, "Not found";
    /// The body did not arrive in the time that the settings allow.
    RequestTooSlow = 1006, 408, "Request arrived too slowly";
    /// The endpoint does not take this method.
    MethodNotAllowed = 1007, 405, "Method not allowed";
    /// A request parameter has a value that is not supported.
    UnsupportedParameter = 1008, 400, "Unsupported parameter";
    /// The request must carry an `Idempotency-Key`, since it may not be repeated.
    IdempotencyKeyRequired = 1009, 400, "Idempotency key required";
    /// No API key was given, or one that no tenant has.
    Unauthenticated = 2001, 401, "Unknown API key";
    /// The tenant may not use the pool or service.
    Forbidden = 2002, 403, "Not allowed for this tenant";
    /// The tenant has as many calls under way as it may have.
    TenantLimit = 2003, 429, "Tenant limit reached";
    /// The tenant has made as many calls as its quota allows within the quota's window.
    QuotaExceeded = 2004, 429, "Quota exceeded";
    /// The turn is later than the next one and its predecessor did not come in time.
    TurnGap = 3001, 409, "Earlier turn is missing";
    /// The turn was taken before with other content.
    TurnContentDiffers = 3002, 409, "Turn was used with other content";
    /// The messages do not begin with the recorded history.
    HistoryMismatch = 3003, 409, "Messages differ from the recorded history";
    /// The program has no budget left for the call.
    BudgetExhausted = 3004, 429, "Program budget exhausted";
    /// The program was ended.
    ProgramEnded = 3005, 410, "Program has ended";
    /// The program belongs to another tenant, or does not exist.
    UnknownProgram = 3006, 404, "Unknown program";
    /// The idempotency key was used before with another request.
    KeyContentDiffers = 3007, 409, "Idempotency key was used with other content";
    /// An earlier request with the same key or turn is still under way.
    InProgress = 3008, 409, "Same request is under way";
    /// An earlier run of the request may have reached the back end and its answer is lost.
    OutcomeUnknown = 3009, 409, "Outcome of an earlier run is unknown";
    /// The parent program does not exist, has ended, or has no share left to give.
    ParentUnavailable = 3010, 409, "Parent program unavailable";
    /// There is no committed turn of that name that a later one could go on from.
    UnknownPreviousTurn = 3011, 404, "Unknown earlier turn";
    /// The queue for the pool is full or too slow for the call's deadline.
    Overloaded = 4001, 503, "Overloaded";
    /// No engine of the pool can be used.
    NoEngine = 4002, 503, "No engine available";
    /// The back end could not be reached; no byte of the request was sent.
    BackEndUnreachable = 4003, 502, "Back end unreachable";
    /// The back end broke the connection after the request was sent.
    BackEndCut = 4004, 502, "Back end cut the answer";
    /// The back end answered something that is not the protocol.
    BackEndGarbage = 4005, 502, "Back end answered with garbage";
    /// The back end refused the request.
    BackEndRefused = 4006, 502, "Back end refused the request";
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = 4007, 504, "Deadline exceeded";
    /// The retry budget forbids another attempt.
    RetryBudgetExhausted = 4008, 503, "Retry budget exhausted";
    /// The call was cancelled because its caller left or its program was ended.
    Cancelled = 4009, 499, "Cancelled";
    /// No engine can be used in the regions in which the call may be served.
    NoEngineInRegion = 4010, 503, "No engine in an allowed region";
    /// There is no region in which both the route and the tenant allow the call to be served.
    NoCommonRegion = 4011, 503, "No region is allowed";
    /// A turn can't be kept only in the regions in which it may be: its ledger group has members elsewhere.
    NotKeptInRegion = 4012, 503, "Can't be kept in an allowed region";
    /// The node is stopping and takes no new work.
    NodeStopping = 5001, 503, "Node is stopping";
    /// The program's shard has no leader at the moment.
    NoLeader = 5002, 503, "Program state is between leaders";
    /// Another node could not be reached.
    PeerUnreachable = 5003, 503, "Peer node unreachable";
    /// The state change could not be committed on a majority.
    NotCommitted = 5004, 503, "Change was not committed";
    /// A defect in the system itself.
    Internal = 5005, 500, "Internal error";
    /// No majority of the program ledger's replicas answered in time.
    LedgerUnavailable = 5006, 503, "Program ledger unavailable";
    /// No node that counts the tenant's calls answered in time.
    QuotaUnavailable = 5007, 503, "Quota can't be counted";
    /// No configuration is in force on this node yet.
    NoConfiguration = 6001, 503, "No configuration in force";
    /// What this node knows of keys is so old that the caller's may have been withdrawn or added meanwhile.
    ConfigurationTooOld = 6002, 503, "Configuration too old";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SD{} {}", self.number(), self.title())
    }
}
