//! The engine's own interface, as JSON over HTTP.
//!
//! - `POST /v1/completions`: [`EngineRequest`] in, server-sent events of [`CompletionChunk`] out,
//!   ended by `data: [DONE]`; `POST /v1/completions/<attempt id>/cancel` stops one.
//! - `POST /commands`: [`EngineCommand`] in, [`EngineCommandReply`] out; 409 for an old fence.
//! - `GET /load`: [`EngineLoad`]; `GET /events?from=N`: list of [`EngineEvent`].
//! - `PUT /weights/<manifest digest>/<chunk index>`: one chunk of a version to be loaded.

use celeryshed_base::{AdapterName, AttemptId, ContentDigest, FenceNumber, common_derives};

use crate::attempts::PriorityClass;

common_derives! { wire:
    /// A completion request.
    pub struct EngineRequest {
        /// Id of the attempt, for cancelling.
        pub attempt_id: AttemptId,
        /// The prompt.
        pub prompt: String,
        /// Most tokens to generate, those resumed after included.
        pub max_tokens: u32,
        /// Adapter on top of the model.
        pub adapter: Option<AdapterName>,
        /// Version that must answer.
        pub version: Option<ContentDigest>,
        /// Priority.
        pub priority: PriorityClass,
        /// Tokens already delivered.
        pub resume_after: Vec<String>,
    }

    /// One server-sent event of a completion.
    pub struct CompletionChunk {
        /// Version that answers.
        pub version: ContentDigest,
        /// Index of the token in the whole answer, from 0.
        pub index: u32,
        /// Text of the token.
        pub text: String,
        /// Set on the last token.
        pub finish_reason: Option<String>,
    }

    /// A command to an engine.
    pub struct EngineCommand {
        /// Orders the givers of commands; engines that check fences refuse an older one.
        pub fence: FenceNumber,
        /// What to do.
        pub kind: EngineCommandKind,
    }

    /// Kinds of commands.
    pub enum EngineCommandKind {
        /// Serves the version whose chunks were put; running streams stay on their version.
        Load {
            /// Digest of the version's manifest.
            manifest: ContentDigest,
            /// Number of chunks that must be there.
            chunks: u32,
        },
        /// Loads an adapter.
        LoadAdapter {
            /// The adapter.
            adapter: AdapterName,
        },
        /// Removes a version that is no longer served.
        Unload {
            /// Digest of the version's manifest.
            manifest: ContentDigest,
        },
    }

    /// Reply to a command.
    pub struct EngineCommandReply {
        /// Version that is served now.
        pub live: Option<ContentDigest>,
        /// Highest fence seen.
        pub fence: FenceNumber,
    }

    /// Load as the engine reports it, with a lag.
    pub struct EngineLoad {
        /// Version that is served now.
        pub live: Option<ContentDigest>,
        /// Random number of the engine's start; another one means that it restarted.
        pub boot_id: u64,
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub waiting: u32,
        /// Slots.
        pub slots: u32,
        /// Prompt tokens waiting to be processed.
        pub queued_prompt_tokens: u64,
        /// Tokens generated a second, recently.
        pub tokens_per_s: u64,
        /// Adapters loaded.
        pub adapters: Vec<AdapterName>,
    }

    /// A cache event; sequence numbers have gaps where events were lost.
    pub struct EngineEvent {
        /// Sequence number.
        pub sequence: u64,
        /// Hash of the prompt prefix.
        pub prefix: u64,
        /// Whether the prefix was stored or evicted.
        pub stored: bool,
    }
}
