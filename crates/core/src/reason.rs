//! Reasons for refusals and retries. Each reason has its own counter; see docs/metrics.md.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident => $label:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($(#[$doc])* $variant,)* }

        impl $name {
            /// Every reason, in the order of the catalogue.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Label of the reason in metrics, logs and responses.
            pub fn as_str(self) -> &'static str {
                match self { $($name::$variant => $label,)* }
            }
        }
    };
}

reasons! {
    /// Why a call was refused or ended without its whole answer.
    RefusalReason {
        /// the token is missing or unknown
        BadToken => "bad-token",
        /// the request is malformed
        BadRequest => "bad-request",
        /// the request is larger than the limit
        TooLarge => "too-large",
        /// the request arrived too slowly
        TooSlow => "too-slow",
        /// the class of work does not exist
        UnknownClass => "unknown-class",
        /// no route matches the host and path
        UnknownRoute => "unknown-route",
        /// no endpoint serves this model or service
        UnknownModel => "unknown-model",
        /// a call that must not be repeated carries no idempotency key
        KeyMissing => "key-missing",
        /// the idempotency key was used for another request
        KeyReused => "key-reused",
        /// the idempotency key is claimed by a call in progress or one whose end is unknown
        KeyClaimed => "key-claimed",
        /// the claim on the idempotency key could not be written
        ClaimUnavailable => "claim-unavailable",
        /// the endpoints are at their bound and the wait would miss the target
        Overload => "overload",
        /// the customer holds more than its share while others wait
        CustomerShare => "customer-share",
        /// the class's deadline has passed
        Deadline => "deadline",
        /// no endpoint is up
        NoEndpoint => "no-endpoint",
        /// the retry budget of the class and customer, or of the service, is used up
        RetryBudget => "retry-budget",
        /// the request, or a part of its prompt, crashed several endpoints and is held back
        Quarantined => "quarantined",
        /// the endpoint refused before running
        EndpointRefused => "endpoint-refused",
        /// the connection to the endpoint broke before the answer was whole
        EndpointBroke => "endpoint-broke",
        /// the endpoint sent nothing within the bound
        EndpointSilent => "endpoint-silent",
        /// the endpoint's answer was malformed or belonged to another request
        EndpointInvalid => "endpoint-invalid",
        /// the connection to the owning router broke
        PeerBroke => "peer-broke",
        /// the software version that began the stream is not known
        VersionUnknown => "version-unknown",
        /// no endpoint with the software version that began the stream takes requests
        VersionGone => "version-gone",
        /// the router hears neither the platform nor any peer
        Isolated => "isolated",
        /// the router has no configuration yet
        NotReady => "not-ready",
        /// the router is draining
        Draining => "draining",
        /// only cold endpoints are left, and they have had this router's share
        ColdLimit => "cold-limit",
    }
}

reasons! {
    /// Why a call was sent again.
    RetryReason {
        /// the connection to the endpoint could not be opened
        ConnectFailed => "connect-failed",
        /// the endpoint refused before running
        EndpointRefused => "endpoint-refused",
        /// the endpoint broke off before the first token of an idempotent call
        EndpointBroke => "endpoint-broke",
        /// the endpoint was silent before the first token of an idempotent call
        EndpointSilent => "endpoint-silent",
        /// the owning router could not be reached
        PeerUnreachable => "peer-unreachable",
        /// the owning router broke off before the first token of an idempotent call
        PeerBroke => "peer-broke",
        /// the router that was asked does not own the endpoint
        OwnerMoved => "owner-moved",
        /// a broken stream was resumed where it ended
        StreamResumed => "stream-resumed",
    }
}
