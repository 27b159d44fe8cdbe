//! Numbered result codes.
//!
//! Numbers are stable: a code is never renumbered or reused. The thousands digit gives the family: 1 the request,
//! 2 identity and limits, 3 the program, 4 capacity and back ends, 5 the fleet, 6 the platform.

use std::fmt;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $status:literal, $title:literal;)+) => {
        /// Numbered reason of a rejection or failure.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[$doc])* $variant,)+
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)+];

            /// Stable number of the code.
            pub fn number(self) -> u32 {
                match self { $(ResultCode::$variant => $number,)+ }
            }

            /// HTTP status of responses with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)+ }
            }

            /// Short title, not localized.
            pub fn title(self) -> &'static str {
                match self { $(ResultCode::$variant => $title,)+ }
            }

            /// Looks up a code; `None` for unknown numbers.
            pub fn from_number(number: u32) -> Option<ResultCode> {
                match number { $($number => Some(ResultCode::$variant),)+ _ => None }
            }
        }
    };
}

result_codes! {
    /// The body is not valid JSON, or not what the endpoint expects.
    MalformedBody = 1001, 400, "Malformed request body";
    /// The body exceeds the configured size limit.
    BodyTooLarge = 1002, 413, "Request body too large";
    /// A `Sumacdrift-*` header or `Idempotency-Key` is malformed or repeated.
    InvalidHeader = 1003, 400, "Invalid header";
    /// No configured pool serves the model.
    UnknownModel = 1004, 404, "Unknown model";
    /// The path doesn't exist.
    NotFound = 1005, 404, "Not found";
    /// The body did not arrive within the configured time.
    RequestTooSlow = 1006, 408, "Request arrived too slowly";
    /// The endpoint doesn't support the method.
    MethodNotAllowed = 1007, 405, "Method not allowed";
    /// A request parameter has an unsupported value.
    UnsupportedParameter = 1008, 400, "Unsupported parameter";
    /// The request is not safe to repeat and must carry an `Idempotency-Key`.
    IdempotencyKeyRequired = 1009, 400, "Idempotency key required";
    /// The API key is missing or belongs to no tenant.
    Unauthenticated = 2001, 401, "Unknown API key";
    /// The tenant is not allowed to use the pool or service.
    Forbidden = 2002, 403, "Not allowed for this tenant";
    /// The tenant has reached its limit of concurrent calls.
    TenantLimit = 2003, 429, "Tenant limit reached";
    /// The tenant has used up its quota of calls for the current window.
    QuotaExceeded = 2004, 429, "Quota exceeded";
    /// An earlier turn of the program is missing or did not end in time, or too many calls wait for it.
    TurnGap = 3001, 409, "Earlier turn is missing";
    /// The turn was already accepted with different content.
    TurnContentDiffers = 3002, 409, "Turn was used with other content";
    /// The messages don't start with the recorded history.
    HistoryMismatch = 3003, 409, "Messages differ from the recorded history";
    /// The program has no budget left for the call.
    BudgetExhausted = 3004, 429, "Program budget exhausted";
    /// The program has ended.
    ProgramEnded = 3005, 410, "Program has ended";
    /// The program doesn't exist or belongs to another tenant.
    UnknownProgram = 3006, 404, "Unknown program";
    /// The idempotency key was already used with a different request.
    KeyContentDiffers = 3007, 409, "Idempotency key was used with other content";
    /// An earlier request with the same key or turn is still in progress.
    InProgress = 3008, 409, "Same request is under way";
    /// An earlier attempt of the request may have reached the back end, and its answer was lost.
    OutcomeUnknown = 3009, 409, "Outcome of an earlier run is unknown";
    /// The parent program doesn't exist, has ended, or has no budget left to share.
    ParentUnavailable = 3010, 409, "Parent program unavailable";
    /// No committed turn has the name that the call gives for its predecessor.
    UnknownPreviousTurn = 3011, 404, "Unknown earlier turn";
    /// The pool's queue is full or too slow for the call's deadline.
    Overloaded = 4001, 503, "Overloaded";
    /// No engine of the pool is usable.
    NoEngine = 4002, 503, "No engine available";
    /// The back end could not be reached; no byte of the request was sent.
    BackEndUnreachable = 4003, 502, "Back end unreachable";
    /// The connection to the back end broke after the request was sent.
    BackEndCut = 4004, 502, "Back end cut the answer";
    /// The back end's answer violates the protocol.
    BackEndGarbage = 4005, 502, "Back end answered with garbage";
    /// The back end rejected the request or answered with an error.
    BackEndRefused = 4006, 502, "Back end refused the request";
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = 4007, 504, "Deadline exceeded";
    /// The retry budget allows no further attempt.
    RetryBudgetExhausted = 4008, 503, "Retry budget exhausted";
    /// The call was cancelled because its caller disconnected or its program was ended.
    Cancelled = 4009, 499, "Cancelled";
    /// No engine is usable in the regions in which the call may be served.
    NoEngineInRegion = 4010, 503, "No engine in an allowed region";
    /// The route and the tenant allow no region in common.
    NoCommonRegion = 4011, 503, "No region is allowed";
    /// The turn can't be stored within the allowed regions only: its ledger group has replicas elsewhere.
    NotKeptInRegion = 4012, 503, "Can't be kept in an allowed region";
    /// No engine of the software version that began the stream can be used; other versions can't continue it.
    NoEngineOfVersion = 4013, 503, "No engine of the stream's version";
    /// It is not known which software version began the stream, and engines may run others.
    UnknownStreamVersion = 4014, 503, "Version of the stream is unknown";
    /// Several engines crashed in succession while they ran the request; it is sent to no other for some minutes.
    RequestCrashesEngines = 4015, 502, "Engines crashed under the request";
    /// Several engines lost the request and have shown no sign of life since; it is sent to no other until that is known.
    RequestMayCrashEngines = 4016, 502, "Engines may have crashed under the request";
    /// The call resumes a turn that has to be kept, whose first events only the broken call had.
    KeptTurnNotResumable = 4017, 503, "A turn that is kept can't be resumed";
    /// The node is shutting down and accepts no new work.
    NodeStopping = 5001, 503, "Node is stopping";
    /// The program's shard has no leader.
    NoLeader = 5002, 503, "Program state is between leaders";
    /// Another node could not be reached.
    PeerUnreachable = 5003, 503, "Peer node unreachable";
    /// The state change could not be committed by a majority of replicas.
    NotCommitted = 5004, 503, "Change was not committed";
    /// An internal error of the system.
    Internal = 5005, 500, "Internal error";
    /// No majority of the program ledger's replicas answered in time.
    LedgerUnavailable = 5006, 503, "Program ledger unavailable";
    /// No node that counts the tenant's calls answered in time.
    QuotaUnavailable = 5007, 503, "Quota can't be counted";
    /// A storage machine can't be drained yet: a record might not survive the tolerated losses on the remaining ones.
    TooFewReplicas = 5008, 503, "Too few replicas would remain";
    /// All memory for request bodies is in use, or the body made way for others while it arrived.
    NoBodyMemory = 5009, 503, "No memory for the request body";
    /// The storage machines have no memory to keep the turn, or the node none to pass it on.
    NoTurnMemory = 5010, 503, "No memory to keep the turn";
    /// No configuration is active on the node yet.
    NoConfiguration = 6001, 503, "No configuration in force";
    /// The node's copy of the API keys is so old that the caller's key may have been revoked or added since.
    ConfigurationTooOld = 6002, 503, "Configuration too old";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SD{} {}", self.number(), self.title())
    }
}
