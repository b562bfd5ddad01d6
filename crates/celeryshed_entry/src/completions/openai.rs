//! The OpenAI-style JSON of completions and chat completions.

use celeryshed_base::{AdapterName, RequestId, ServiceName};
use serde::Deserialize;
use serde_json::{Value, json};

/// Tokens generated when the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 65_536;

/// Bytes of text per token, for counting prompts: the entry has no tokenizer.
const BYTES_PER_TOKEN: usize = 4;

/// Separates the service from the adapter in `model`.
const ADAPTER_SEPARATOR: char = ':';

/// Form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerForm {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A checked request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionAsk {
    pub(super) service: ServiceName,
    pub(super) adapter: Option<AdapterName>,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

/// A request that can't be understood.
#[derive(Debug, thiserror::Error)]
pub(super) enum AskError {
    /// Not the expected JSON.
    #[error("the body is not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// `model` has no valid name.
    #[error("field model: {0}")]
    Model(#[from] celeryshed_base::NameError),
    /// `max_tokens` is out of range.
    #[error("field max_tokens is {0}: accepted are 1 to {MAX_TOKENS}")]
    MaxTokens(u32),
    /// No prompt.
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

impl CompletionAsk {
    /// Parses a body.
    pub(super) fn parse(body: &[u8], form: AnswerForm) -> Result<Self, AskError> {
        let raw: RawCompletion = serde_json::from_slice(body)?;
        let (service, adapter) = match raw.model.split_once(ADAPTER_SEPARATOR) {
            Some((service, adapter)) => (service, Some(AdapterName::try_from(adapter)?)),
            None => (raw.model.as_str(), None),
        };
        let service = ServiceName::try_from(service)?;
        let max_tokens = raw.max_tokens.or(raw.max_completion_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS).contains(&max_tokens) {
            return Err(AskError::MaxTokens(max_tokens));
        }
        let prompt = match form {
            AnswerForm::Text => text_prompt(raw.prompt)?,
            AnswerForm::Chat => chat_prompt(raw.messages)?,
        };
        Ok(Self { service, adapter, prompt, max_tokens, stream: raw.stream })
    }
}

fn text_prompt(prompt: Option<PromptText>) -> Result<String, AskError> {
    let prompt = match prompt {
        Some(PromptText::One(text)) => text,
        Some(PromptText::Many(texts)) => texts.concat(),
        None => String::new(),
    };
    if prompt.is_empty() { Err(AskError::NoPrompt("prompt")) } else { Ok(prompt) }
}

fn chat_prompt(messages: Option<Vec<ChatMessage>>) -> Result<String, AskError> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(AskError::NoPrompt("messages"));
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

/// Number of tokens of a prompt, estimated.
pub(super) fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Writes the answers to one request.
#[derive(Clone, Debug)]
pub(super) struct AnswerWriter {
    pub(super) form: AnswerForm,
    pub(super) request_id: RequestId,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u32,
}

impl AnswerWriter {
    /// A whole answer.
    pub(super) fn whole(&self, text: &str, tokens: u32) -> Value {
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

    /// One token of a stream.
    pub(super) fn part(&self, text: &str) -> Value {
        self.chunk(json!(text), json!({"content": text}), Value::Null, None)
    }

    /// The last chunk of a stream, with the usage counts.
    pub(super) fn last_part(&self, tokens: u32) -> Value {
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
