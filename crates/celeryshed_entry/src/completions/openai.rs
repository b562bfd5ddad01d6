//! OpenAI-compatible JSON of completions and chat completions.

use celeryshed_base::{AdapterName, RequestId, ServiceName};
use celeryshed_core::routing::{MAX_PREFIX_BLOCKS, PromptPrefix, prompt_prefixes};
use celeryshed_wire::{PREFIX_BLOCK_BYTES, prefix_hashes};
use serde::Deserialize;
use serde_json::{Value, json};

/// Value of `max_tokens` if the caller sets none.
const DEFAULT_TOKEN_LIMIT: u32 = 256;

/// Largest accepted `max_tokens`.
const MAX_TOKEN_LIMIT: u32 = 65_536;

/// Assumed bytes of prompt text per token, since the entry has no tokenizer.
const BYTES_PER_TOKEN: usize = 4;

/// Separates the service from the adapter in the field `model`.
const ADAPTER_SEPARATOR: char = ':';

/// JSON format of the answer, given by the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerForm {
    /// Format of `/v1/completions`.
    Text,
    /// Format of `/v1/chat/completions`.
    Chat,
}

/// Parsed and checked parameters of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionParams {
    pub(super) service: ServiceName,
    pub(super) adapter: Option<AdapterName>,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

/// A body without valid completion parameters.
#[derive(Debug, thiserror::Error)]
pub(super) enum ParamsError {
    /// The body is not JSON, or a field is missing or of the wrong type.
    #[error("the body is not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// `model` holds no valid service or adapter name.
    #[error("field model: {0}")]
    Model(#[from] celeryshed_base::NameError),
    /// `max_tokens` is out of range.
    #[error("field max_tokens is {0}: accepted are 1 to {MAX_TOKEN_LIMIT}")]
    MaxTokens(u32),
    /// The named field holds no prompt.
    #[error("field {0} is empty: accepted is a text of at least one character")]
    NoPrompt(&'static str),
}

#[derive(Debug, Deserialize)]
struct RawCompletion {
    model: String,
    prompt: Option<PromptText>,
    messages: Option<Vec<ChatMessage>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum PromptText {
    One(String),
    Many(Vec<String>),
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: ChatContent,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

#[derive(Debug, Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

impl CompletionParams {
    /// Parses and checks a request body.
    pub(super) fn parse(body: &[u8], form: AnswerForm) -> Result<Self, ParamsError> {
        let raw: RawCompletion = serde_json::from_slice(body)?;
        let (service, adapter) = match raw.model.split_once(ADAPTER_SEPARATOR) {
            Some((service, adapter)) => (service, Some(AdapterName::try_from(adapter)?)),
            None => (raw.model.as_str(), None),
        };
        let service = ServiceName::try_from(service)?;
        let max_tokens = raw.max_tokens.or(raw.max_completion_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_TOKEN_LIMIT);
        if !(1..=MAX_TOKEN_LIMIT).contains(&max_tokens) {
            return Err(ParamsError::MaxTokens(max_tokens));
        }
        let prompt = match form {
            AnswerForm::Text => text_prompt(raw.prompt)?,
            AnswerForm::Chat => chat_prompt(raw.messages)?,
        };
        Ok(Self { service, adapter, prompt, max_tokens, stream: raw.stream })
    }
}

fn text_prompt(prompt: Option<PromptText>) -> Result<String, ParamsError> {
    let prompt = match prompt {
        Some(PromptText::One(text)) => text,
        Some(PromptText::Many(texts)) => texts.concat(),
        None => String::new(),
    };
    if prompt.is_empty() { Err(ParamsError::NoPrompt("prompt")) } else { Ok(prompt) }
}

fn chat_prompt(messages: Option<Vec<ChatMessage>>) -> Result<String, ParamsError> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(ParamsError::NoPrompt("messages"));
    }
    let lines = messages.iter().map(|message| {
        let content = match &message.content {
            ChatContent::Text(text) => text.clone(),
            ChatContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        };
        format!("{}: {content}\n", message.role)
    });
    Ok(lines.collect::<String>() + "assistant: ")
}

/// Estimates the number of tokens of a prompt from its length.
pub(super) fn estimate_prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hashes of the prompt's prefixes, which engines use as cache keys.
pub(super) fn request_prefixes(prompt: &str) -> Vec<PromptPrefix> {
    let mut longest = prompt.len().min(MAX_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES);
    while !prompt.is_char_boundary(longest) {
        longest -= 1;
    }
    let hashes = prefix_hashes(&prompt[..longest]);
    prompt_prefixes(&hashes, (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64)
}

/// Formats the answer to one request as JSON.
#[derive(Clone, Debug)]
pub(super) struct AnswerWriter {
    pub(super) form: AnswerForm,
    pub(super) request_id: RequestId,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u32,
}

impl AnswerWriter {
    /// The complete answer of a request that is not streamed.
    pub(super) fn whole_answer(&self, text: &str, tokens: u32) -> Value {
        let finish = self.finish_reason(tokens);
        let (object, choice) = match self.form {
            AnswerForm::Text => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": finish}))
            }
            AnswerForm::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": finish});
                ("chat.completion", choice)
            }
        };
        self.envelope(object, choice, Some(tokens))
    }

    /// A stream chunk with one token.
    pub(super) fn token_chunk(&self, text: &str) -> Value {
        self.chunk(json!(text), json!({"content": text}), Value::Null, None)
    }

    /// The last stream chunk, with the usage counts.
    pub(super) fn last_chunk(&self, tokens: u32) -> Value {
        let finish = json!(self.finish_reason(tokens));
        self.chunk(json!(""), json!({}), finish, Some(tokens))
    }

    fn chunk(&self, text: Value, delta: Value, finish: Value, tokens: Option<u32>) -> Value {
        let (object, choice) = match self.form {
            AnswerForm::Text => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": finish}))
            }
            AnswerForm::Chat => {
                let choice = json!({"index": 0, "delta": delta, "finish_reason": finish});
                ("chat.completion.chunk", choice)
            }
        };
        self.envelope(object, choice, tokens)
    }

    fn envelope(&self, object: &str, choice: Value, tokens: Option<u32>) -> Value {
        let mut value = json!({
            "id": self.request_id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(tokens) = tokens {
            value["usage"] = json!({
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + u64::from(tokens),
            });
        }
        value
    }

    fn finish_reason(&self, tokens: u32) -> &'static str {
        if tokens >= self.max_tokens { "length" } else { "stop" }
    }
}
