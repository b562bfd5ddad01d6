//! The engine's own interface, as JSON over HTTP.
//!
//! - `POST /v1/completions`: [`EngineRequest`] in, server-sent events of [`CompletionChunk`] out,
//!   ended by `data: [DONE]`; `POST /v1/completions/<attempt id>/cancel` stops one.
//! - `POST /commands`: [`EngineCommand`] in, [`EngineCommandReply`] out; 409 for an old fence, 422
//!   with an [`EngineCommandFailure`] when the command can't be run.
//! - `GET /load`: [`EngineLoad`]; `GET /events?from=N`: list of [`EngineEvent`].
//! - `PUT /weights/<manifest digest>/<chunk index>`: one chunk of a version to be loaded;
//!   the manifest itself is put as chunk [`MANIFEST_CHUNK_INDEX`].
//!
//! Prefixes of prompts are named by [`prefix_hashes`].

use celeryshed_base::{AdapterName, AttemptId, ContentDigest, FenceNumber, common_derives};

use crate::attempts::PriorityClass;

/// Chunk index under which the manifest of a version is put.
pub const MANIFEST_CHUNK_INDEX: u32 = u32::MAX;

/// Size of the blocks in bytes in which engines cache prompts.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Hashes of the prefixes of `prompt`, one for each whole block, the shortest prefix first.
///
/// Each hash covers its block and the hash before, so that equal hashes mean equal prefixes.
///
/// ```
/// use celeryshed_wire::prefix_hashes;
/// let prompt = "a".repeat(130);
/// let hashes = prefix_hashes(&prompt);
/// assert_eq!(hashes.len(), 2);
/// assert_eq!(prefix_hashes(&prompt[..64]), hashes[..1]);
/// ```
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut previous = 0u64;
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        let digest = ContentDigest::of_parts(&[&previous.to_be_bytes(), block]);
        previous = digest.leading_u64();
        previous
    });
    hashes.collect()
}

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

    /// Why a command can't be run.
    #[derive(Eq)]
    pub struct EngineCommandFailure {
        /// The reason.
        pub reason: String,
        /// Chunks of the version that were not put; the manifest counts as a chunk.
        pub missing: Vec<u32>,
        /// Chunks of the version whose content differs from the manifest.
        pub corrupted: Vec<u32>,
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
