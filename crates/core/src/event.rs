//! Numbered log events; docs/events.md says what each means and what to do.

/// How urgent an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Expected in normal operation.
    Info,
    /// Works, but an operator should look.
    Warn,
    /// Something failed that the fleet cannot repair alone.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $severity:ident, $name:literal;)*) => {
        /// A numbered log event. Numbers are never reused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event { $($(#[$doc])* $variant,)* }

        impl Event {
            /// Every event, in the order of the catalogue.
            pub const ALL: &'static [Event] = &[$(Event::$variant,)*];

            /// Number of the event.
            pub fn code(self) -> u16 {
                match self { $(Event::$variant => $code,)* }
            }

            /// Short name of the event.
            pub fn name(self) -> &'static str {
                match self { $(Event::$variant => $name,)* }
            }

            /// How urgent the event is.
            pub fn severity(self) -> Severity {
                match self { $(Event::$variant => Severity::$severity,)* }
            }
        }
    };
}

events! {
    /// The router has started.
    RouterStarted = 100, Info, "router-started";
    /// The router serves callers.
    RouterReady = 101, Info, "router-ready";
    /// A drain has begun.
    DrainStarted = 110, Info, "drain-started";
    /// The drain ended with nothing cut.
    DrainFinished = 111, Info, "drain-finished";
    /// The drain limit passed with calls in flight.
    DrainLimit = 112, Error, "drain-limit-passed";
    /// A connection of a caller could not be accepted.
    AcceptFailed = 113, Warn, "accept-failed";
    /// The settings file was read again.
    SettingsRead = 114, Info, "settings-read";
    /// A peer joined the view.
    PeerUp = 200, Info, "peer-up";
    /// A peer is suspected.
    PeerSuspect = 201, Warn, "peer-suspect";
    /// A peer is considered dead.
    PeerDead = 202, Warn, "peer-dead";
    /// A peer leaves.
    PeerLeaving = 203, Info, "peer-leaving";
    /// A datagram or frame of a peer was refused.
    PeerRejected = 204, Warn, "peer-message-rejected";
    /// The router hears neither the platform nor any peer.
    Isolated = 205, Error, "isolated";
    /// The router hears the platform or a peer again.
    Rejoined = 206, Info, "rejoined";
    /// An endpoint is up.
    EndpointUp = 300, Info, "endpoint-up";
    /// An endpoint is down.
    EndpointDown = 301, Warn, "endpoint-down";
    /// An endpoint is leaving.
    EndpointLeaving = 302, Info, "endpoint-leaving";
    /// An endpoint changes state too often and is held down.
    EndpointDamped = 303, Warn, "endpoint-damped";
    /// An endpoint is new in the membership list.
    EndpointJoined = 306, Info, "endpoint-joined";
    /// An endpoint restarted: its boot id changed.
    EndpointRestarted = 304, Warn, "endpoint-restarted";
    /// An endpoint sent an answer that was not valid for its request.
    EndpointInvalid = 305, Error, "endpoint-answer-invalid";
    /// The row of an endpoint vanished while the platform was away.
    EndpointLapsed = 307, Info, "endpoint-lapsed";
    /// The row of an endpoint cannot be read.
    EndpointMalformed = 308, Warn, "endpoint-row-malformed";
    /// What endpoints have cached was taken over from the platform.
    CacheRestored = 309, Info, "cache-restored";
    /// What endpoints have cached could not be saved.
    CacheNotSaved = 310, Warn, "cache-not-saved";
    /// The list of endpoints came from another router.
    ListReceived = 311, Info, "list-received";
    /// News about a table are older than the bound within which they must be known.
    NewsOld = 312, Warn, "news-old";
    /// News about a table are fresh again.
    NewsFresh = 313, Info, "news-fresh";
    /// Requests that are held back were saved on the platform.
    CrashesSaved = 314, Info, "crashes-saved";
    /// Requests that are held back could not be saved.
    CrashesNotSaved = 315, Warn, "crashes-not-saved";
    /// Requests that are held back were taken over from the platform.
    CrashesRestored = 316, Info, "crashes-restored";
    /// An endpoint asked to be left alone for a while.
    EndpointResting = 317, Info, "endpoint-resting";
    /// The rest of an endpoint has ended.
    EndpointRested = 318, Info, "endpoint-rested";
    /// A call was refused or ended without its whole answer.
    CallRefused = 400, Info, "call-refused";
    /// A call was sent again.
    CallRetried = 401, Info, "call-retried";
    /// A call was sent to an endpoint.
    CallPlaced = 406, Info, "call-placed";
    /// The head of an endpoint's answer was passed on.
    CallAnswered = 407, Info, "call-answered";
    /// The body of an answer ended.
    CallEnded = 408, Info, "call-ended";
    /// An attempt at one endpoint brought no answer.
    AttemptFailed = 409, Info, "attempt-failed";
    /// A request crashed an endpoint.
    CrashStrike = 402, Warn, "crash-strike";
    /// A request is held back because it crashed several endpoints.
    Quarantined = 403, Warn, "request-quarantined";
    /// A request that crashed endpoints ran to its end.
    CrashCleared = 411, Info, "crash-cleared";
    /// A call was not placed because it crashed endpoints.
    CallHeld = 412, Info, "call-held";
    /// A request is no longer held back, because it crashed nothing for long.
    QuarantineEnded = 413, Info, "quarantine-ended";
    /// A connection was closed because its caller did not read an answer.
    CallerStalled = 414, Info, "caller-stalled";
    /// The router that gives turns to a suspect could not be reached.
    ArbiterLost = 410, Warn, "arbiter-lost";
    /// A claim could not be resolved or released.
    ClaimUnresolved = 404, Warn, "claim-unresolved";
    /// A stored answer could not be written.
    AnswerNotStored = 405, Warn, "answer-not-stored";
    /// A newer configuration is in force.
    ConfigApplied = 500, Info, "configuration-applied";
    /// A configuration change was accepted.
    ConfigAccepted = 501, Info, "configuration-accepted";
    /// A configuration change met a newer version.
    ConfigConflict = 502, Info, "configuration-conflict";
    /// The end of a configuration write is unknown.
    ConfigUnknown = 503, Warn, "configuration-write-unknown";
    /// A configuration row could not be read.
    ConfigInvalid = 504, Error, "configuration-invalid";
    /// The configuration came from another router.
    ConfigReceived = 505, Info, "configuration-received";
    /// The platform does not answer.
    PlatformDown = 600, Warn, "platform-down";
    /// The platform answers again.
    PlatformUp = 601, Info, "platform-up";
    /// An operator's request was refused.
    AdminRefused = 700, Warn, "admin-refused";
}
