//! Deterministic token texts, which let tests detect an answer that is incomplete or mixes
//! versions.

use celeryshed_base::{AdapterName, ContentDigest};

/// Number of prompt bytes that count as one token.
pub(super) const TOKEN_BYTES: usize = 4;

/// Tokens that one version with at most one adapter generates for one prompt.
///
/// ```
/// use celeryshed_base::ContentDigest;
/// use celeryshed_standin::engine::{TokenScript, token_text};
/// let version = ContentDigest::of(b"manifest");
/// let script = TokenScript::new(&version, None, "a prompt");
/// assert_eq!(script.text(3), token_text(&version, "a prompt", 3));
/// assert_eq!(script.answer(2), script.text(0) + &script.text(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenScript {
    seed: ContentDigest,
}

impl TokenScript {
    /// Creates the tokens that `version` with `adapter` generates for `prompt`.
    pub fn new(version: &ContentDigest, adapter: Option<&AdapterName>, prompt: &str) -> Self {
        let adapter = adapter.map_or("", AdapterName::as_str);
        let parts = [version.as_bytes(), adapter.as_bytes(), prompt.as_bytes()];
        Self { seed: ContentDigest::of_parts(&parts) }
    }

    /// Text of the token at `index`, which starts at 0 for the first token of the answer.
    pub fn text(&self, index: u32) -> String {
        let digest = ContentDigest::of_parts(&[self.seed.as_bytes(), &index.to_be_bytes()]);
        format!(" {:08x}", digest.leading_u64() >> 32)
    }

    /// Text of an answer of `tokens` tokens.
    pub fn answer(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.text(index)).collect()
    }
}

/// Text of the token at `index` that `version` generates for `prompt` without an adapter.
///
/// ```
/// use celeryshed_base::ContentDigest;
/// use celeryshed_standin::engine::token_text;
/// let (old, new) = (ContentDigest::of(b"old"), ContentDigest::of(b"new"));
/// assert_ne!(token_text(&old, "a prompt", 0), token_text(&new, "a prompt", 0));
/// ```
pub fn token_text(version: &ContentDigest, prompt: &str, index: u32) -> String {
    TokenScript::new(version, None, prompt).text(index)
}

/// Number of tokens of a prompt, at 4 bytes per token, rounded up.
///
/// ```
/// assert_eq!(celeryshed_standin::engine::prompt_tokens("12345"), 2);
/// ```
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}
