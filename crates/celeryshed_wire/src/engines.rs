//! The interface of model engines, JSON over HTTP.
//!
//! - `POST /v1/completions`: [`EngineRequest`] in, server-sent events of [`CompletionChunk`] out,
//!   ended by `data: [DONE]`; `POST /v1/completions/<attempt id>/cancel` stops a completion.
//! - `POST /commands`: [`EngineCommand`] in, [`EngineCommandReply`] out; 409 for a fence
//!   below the highest seen, 422 with an [`EngineCommandFailure`] when the command can't be run.
//! - `GET /load`: [`EngineLoad`]; `GET /events?from=N`: list of [`EngineEvent`].
//! - `PUT /weights/<manifest digest>/<chunk index>`: uploads one chunk of a version;
//!   the manifest is uploaded as chunk [`MANIFEST_CHUNK_INDEX`].
//!
//! Cached prompt prefixes are identified by [`prefix_hashes`].

use celeryshed_base::{AdapterName, AttemptId, ContentDigest, FenceNumber, common_derives};

use crate::attempts::PriorityClass;

/// Chunk index under which the manifest of a version is uploaded.
pub const MANIFEST_CHUNK_INDEX: u32 = u32::MAX;

/// Size of the prompt blocks that engines cache.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Hashes of the prefixes of `prompt` that end at a whole block, the shortest prefix first.
///
/// Each hash covers its block and the previous hash, so that equal hashes mean equal prefixes.
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
        /// Id by which the attempt can be cancelled.
        pub attempt_id: AttemptId,
        /// Text to complete.
        pub prompt: String,
        /// Most tokens in the whole answer, including those of `resume_after`.
        pub max_tokens: u32,
        /// Adapter to apply to the model; `None` for the model alone.
        pub adapter: Option<AdapterName>,
        /// Version that must answer; `None` for the version that is live.
        pub version: Option<ContentDigest>,
        /// Priority among the engine's requests.
        pub priority: PriorityClass,
        /// Tokens that the caller has already received; the answer continues after them.
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
        /// Why the answer ended; `None` before the last token.
        pub finish_reason: Option<String>,
    }

    /// A command to an engine.
    pub struct EngineCommand {
        /// Fence of the sidecar incarnation that sends the command. Engines that check fences
        /// refuse a fence below the highest seen.
        pub fence: FenceNumber,
        /// Command to run.
        pub kind: EngineCommandKind,
    }

    /// Kinds of commands to an engine.
    pub enum EngineCommandKind {
        /// Starts to serve a version whose chunks were uploaded; running streams keep their
        /// version.
        Load {
            /// Digest of the version's manifest.
            manifest: ContentDigest,
            /// Number of chunks of the version.
            chunks: u32,
        },
        /// Loads an adapter.
        LoadAdapter {
            /// Name of the adapter.
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
        /// Manifest digest of the live version; `None` before the first load.
        pub live: Option<ContentDigest>,
        /// Highest fence that the engine has seen.
        pub fence: FenceNumber,
    }

    /// Why a command can't be run.
    #[derive(Eq)]
    pub struct EngineCommandFailure {
        /// Human-readable reason.
        pub reason: String,
        /// Indices of chunks that were not uploaded, [`MANIFEST_CHUNK_INDEX`] for the manifest.
        pub missing: Vec<u32>,
        /// Indices of chunks whose content doesn't match the manifest.
        pub corrupted: Vec<u32>,
    }

    /// Load of an engine; the reported figures may lag behind the current ones.
    pub struct EngineLoad {
        /// Manifest digest of the live version; `None` before the first load.
        pub live: Option<ContentDigest>,
        /// Random number chosen at the engine's start; a changed number means that it restarted.
        pub boot_id: u64,
        /// Number of running requests.
        pub running: u32,
        /// Number of waiting requests.
        pub waiting: u32,
        /// Requests that the engine can run at the same time.
        pub slots: u32,
        /// Prompt tokens that wait to be processed.
        pub queued_prompt_tokens: u64,
        /// Tokens generated per second, as a recent average.
        pub tokens_per_s: u64,
        /// Names of the loaded adapters.
        pub adapters: Vec<AdapterName>,
    }

    /// A change of the engine's prompt cache. A gap in the sequence numbers means lost events.
    pub struct EngineEvent {
        /// Sequence number of the event.
        pub sequence: u64,
        /// Hash of the prompt prefix, see [`prefix_hashes`].
        pub prefix: u64,
        /// `true` when the prefix was stored, `false` when it was evicted.
        pub stored: bool,
    }
}
