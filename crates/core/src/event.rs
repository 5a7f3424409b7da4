//! The catalogue of numbered log events. See docs/events.md for what each means and what to do.

/// How urgent a log event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Expected in normal operation.
    Info,
    /// The fleet works, but an operator should look into it.
    Warn,
    /// A failure from which the fleet cannot recover by itself.
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
    /// The router is ready to serve callers.
    RouterReady = 101, Info, "router-ready";
    /// A drain has started.
    DrainStarted = 110, Info, "drain-started";
    /// The drain ended without aborting a call.
    DrainFinished = 111, Info, "drain-finished";
    /// The drain limit passed while calls were in flight.
    DrainLimit = 112, Error, "drain-limit-passed";
    /// A caller's connection could not be accepted.
    AcceptFailed = 113, Warn, "accept-failed";
    /// The settings file was reloaded.
    SettingsRead = 114, Info, "settings-read";
    /// A peer joined the membership view.
    PeerUp = 200, Info, "peer-up";
    /// A peer is suspected to be dead.
    PeerSuspect = 201, Warn, "peer-suspect";
    /// A peer is considered dead.
    PeerDead = 202, Warn, "peer-dead";
    /// A peer is leaving.
    PeerLeaving = 203, Info, "peer-leaving";
    /// A datagram or frame from a peer was refused.
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
    /// An endpoint changes state too often, so it is kept down for a while.
    EndpointDamped = 303, Warn, "endpoint-damped";
    /// An endpoint is new in the membership list.
    EndpointJoined = 306, Info, "endpoint-joined";
    /// An endpoint restarted: its boot id changed.
    EndpointRestarted = 304, Warn, "endpoint-restarted";
    /// An endpoint sent a response that was invalid for its request.
    EndpointInvalid = 305, Error, "endpoint-answer-invalid";
    /// The row of an endpoint disappeared while the platform was unavailable.
    EndpointLapsed = 307, Info, "endpoint-lapsed";
    /// The row of an endpoint cannot be decoded.
    EndpointMalformed = 308, Warn, "endpoint-row-malformed";
    /// The index of prompt prefixes cached at endpoints was restored from the platform.
    CacheRestored = 309, Info, "cache-restored";
    /// The index of prompt prefixes cached at endpoints could not be saved.
    CacheNotSaved = 310, Warn, "cache-not-saved";
    /// The list of endpoints was received from another router.
    ListReceived = 311, Info, "list-received";
    /// The data known of a table is older than the staleness bound.
    NewsOld = 312, Warn, "news-old";
    /// The data known of a table is within the staleness bound again.
    NewsFresh = 313, Info, "news-fresh";
    /// The crashes of quarantined requests were saved on the platform.
    CrashesSaved = 314, Info, "crashes-saved";
    /// The crashes of quarantined requests could not be saved.
    CrashesNotSaved = 315, Warn, "crashes-not-saved";
    /// The crashes of quarantined requests were restored from the platform.
    CrashesRestored = 316, Info, "crashes-restored";
    /// The software versions of the services were saved on the platform.
    VersionsSaved = 330, Info, "versions-saved";
    /// The software versions of the services could not be saved.
    VersionsNotSaved = 331, Warn, "versions-not-saved";
    /// The software versions that the services had of late were restored.
    VersionsRestored = 332, Info, "versions-restored";
    /// The versions that began this router's streams could not be saved.
    StreamsNotSaved = 333, Warn, "streams-not-saved";
    /// The versions that began the streams of all routers were restored from the platform.
    StreamsRestored = 334, Info, "streams-restored";
    /// An endpoint asked this router to send it no requests for a while.
    EndpointResting = 317, Info, "endpoint-resting";
    /// The time for which an endpoint asked for no requests has ended.
    EndpointRested = 318, Info, "endpoint-rested";
    /// An endpoint named a limit on the requests that it gets from all routers.
    EndpointLimited = 319, Info, "endpoint-limited";
    /// The limit of an endpoint has ended.
    EndpointUnlimited = 320, Info, "endpoint-unlimited";
    /// The links to the endpoints are lost, and another router reaches them.
    LinksLost = 321, Warn, "links-lost";
    /// The links to the endpoints are back.
    LinksBack = 322, Info, "links-back";
    /// A connection to an endpoint broke that another router had asked for.
    TunnelBroke = 323, Info, "tunnel-broke";
    /// The endpoints of a service say that they crash if they have to reject requests.
    ServiceBrittle = 324, Warn, "service-brittle";
    /// The endpoints of a service no longer say so.
    ServiceSound = 325, Info, "service-sound";
    /// An endpoint with work of this router is silent, and no connection to it opens.
    EndpointSilent = 326, Warn, "endpoint-silent";
    /// An endpoint is slower than usual and gets less work.
    EndpointSlow = 340, Info, "endpoint-slow";
    /// An endpoint is about as fast as usual again.
    EndpointUsual = 341, Info, "endpoint-usual";
    /// A stream that was begun before is to go on, or was refused because that is not possible.
    StreamTakenUp = 420, Info, "stream-taken-up";
    /// The demand on a service exceeds its room, so that requests are refused.
    RoomShort = 430, Warn, "room-short";
    /// The demand on a service is within its room again.
    RoomSufficient = 431, Info, "room-sufficient";
    /// A call was refused, or ended without a complete response.
    CallRefused = 400, Info, "call-refused";
    /// A call was retried.
    CallRetried = 401, Info, "call-retried";
    /// A call was sent to an endpoint.
    CallPlaced = 406, Info, "call-placed";
    /// The operators' constraints keep a call from all endpoints.
    CallConstrained = 421, Info, "call-constrained";
    /// The head of an endpoint's response was forwarded to the caller.
    CallAnswered = 407, Info, "call-answered";
    /// The body of a response ended.
    CallEnded = 408, Info, "call-ended";
    /// An attempt at one endpoint got no response.
    AttemptFailed = 409, Info, "attempt-failed";
    /// A request crashed an endpoint.
    CrashStrike = 402, Warn, "crash-strike";
    /// A request was quarantined because it crashed several endpoints.
    Quarantined = 403, Warn, "request-quarantined";
    /// A request that had crashed endpoints ran to completion.
    CrashCleared = 411, Info, "crash-cleared";
    /// A call was not placed because its request had crashed endpoints.
    CallHeld = 412, Info, "call-held";
    /// A request was sent although a part of its prompt is quarantined, to test that part.
    QuarantineProbe = 415, Info, "quarantine-probe";
    /// An operator ended the quarantine of a request or of a part of prompts.
    QuarantineReleased = 416, Warn, "quarantine-released";
    /// The quarantine of a request ended after a time without another crash.
    QuarantineEnded = 413, Info, "quarantine-ended";
    /// A connection was closed because its caller did not read the response.
    CallerStalled = 414, Info, "caller-stalled";
    /// An answer ended with its connection, and its endpoint refuses new ones.
    AnswerEndChecked = 417, Info, "answer-end-checked";
    /// An answer is passed on as it arrives, because buffered bodies take too much memory.
    AnswerUnbuffered = 418, Warn, "answer-unbuffered";
    /// The router that grants the turns to run a suspect request could not be reached.
    ArbiterLost = 410, Warn, "arbiter-lost";
    /// A claim could not be resolved or released.
    ClaimUnresolved = 404, Warn, "claim-unresolved";
    /// The response of a call could not be stored.
    AnswerNotStored = 405, Warn, "answer-not-stored";
    /// A newer configuration is in force.
    ConfigApplied = 500, Info, "configuration-applied";
    /// A configuration change was accepted.
    ConfigAccepted = 501, Info, "configuration-accepted";
    /// A configuration change was not made because the log is at a newer version.
    ConfigConflict = 502, Info, "configuration-conflict";
    /// The outcome of a configuration write is unknown.
    ConfigUnknown = 503, Warn, "configuration-write-unknown";
    /// A configuration row could not be read.
    ConfigInvalid = 504, Error, "configuration-invalid";
    /// The configuration was received from another router.
    ConfigReceived = 505, Info, "configuration-received";
    /// A failure domain is evacuated.
    EvacuationStarted = 506, Warn, "evacuation-started";
    /// The evacuation of a failure domain ended.
    EvacuationEnded = 507, Warn, "evacuation-ended";
    /// An evacuation is not applied because too many domains are evacuated.
    EvacuationRejected = 508, Error, "evacuation-rejected";
    /// The platform does not respond.
    PlatformDown = 600, Warn, "platform-down";
    /// The platform responds again.
    PlatformUp = 601, Info, "platform-up";
    /// The platform came back from a copy of itself.
    RegistryRestored = 602, Warn, "platform-restored";
    /// The peer key was gone from the platform and was written again, or another one was adopted.
    PeerKeyRestored = 603, Warn, "peer-key-restored";
    /// An operator's request was refused.
    AdminRefused = 700, Warn, "admin-refused";
}
