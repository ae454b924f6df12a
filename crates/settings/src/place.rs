//! Finds the positions of the fields in a text.
//!
//! The protobuf library reads the values but keeps no positions. The lines and columns of faults found
//! after that come from this scan.

use std::ops::Range;

/// The position of a field and of the fields inside it. The root stands for the whole text.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    name: String,
    span: Range<usize>,
    inner: Vec<Place>,
}

impl Place {
    /// The byte at which the field starts.
    pub fn start_byte(&self) -> usize {
        self.span.start
    }

    /// A position without inner fields, for a message that the text leaves out.
    pub fn without_fields(&self) -> Place {
        Place { name: String::new(), span: self.span.clone(), inner: vec![] }
    }

    /// The field that is the `index`-th of its name, counted from 0.
    pub fn inner(&self, name: &str, index: usize) -> Option<&Place> {
        self.inner.iter().filter(|field| field.name == name).nth(index)
    }

    /// The path and the span of the innermost field that contains a byte.
    pub fn field_at(&self, at: usize) -> (String, Option<Range<usize>>) {
        let (mut path, mut span, mut current) = (String::new(), None, self);
        while let Some(i) =
            current.inner.iter().position(|field| field.span.start <= at && at < field.span.end)
        {
            let field = &current.inner[i];
            let earlier_count = current.inner[..i].iter().filter(|other| other.name == field.name).count();
            path = format!("{path}{}{}", if path.is_empty() { "" } else { "." }, field.name);
            if earlier_count > 0 {
                path = format!("{path}[{earlier_count}]");
            }
            (span, current) = (Some(field.span.clone()), field);
        }
        (path, span)
    }
}

/// The line and column of a byte, counted from 1. Columns count characters.
pub(crate) fn line_column(text: &str, at: usize) -> (usize, usize) {
    let preceding_bytes = &text.as_bytes()[..at.min(text.len())];
    let line = preceding_bytes.iter().filter(|b| **b == b'\n').count() + 1;
    let start = preceding_bytes.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
    (line, String::from_utf8_lossy(&preceding_bytes[start..]).chars().count() + 1)
}

/// The spans of the tokens: words, quoted strings and single punctuation marks. Comments are left out.
fn tokens(text: &str) -> Vec<Range<usize>> {
    let (bytes, mut tokens, mut at) = (text.as_bytes(), vec![], 0);
    let is_word_byte =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.' | b'-' | b'+') || b >= 0x80;
    while at < bytes.len() {
        let start = at;
        match bytes[at] {
            b if b.is_ascii_whitespace() => at += 1,
            b'#' => at += bytes[at..].iter().position(|b| *b == b'\n').unwrap_or(bytes.len() - at),
            quote @ (b'"' | b'\'') => {
                at += 1;
                while at < bytes.len() && bytes[at] != quote && bytes[at] != b'\n' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at = (at + 1).min(bytes.len());
                tokens.push(start..at);
            }
            b if is_word_byte(b) => {
                at += bytes[at..].iter().position(|b| !is_word_byte(*b)).unwrap_or(bytes.len() - at);
                tokens.push(start..at);
            }
            _ => {
                at += 1;
                tokens.push(start..at);
            }
        }
    }
    tokens
}

/// Scans fields up to a closing bracket or the end of the text.
///
/// A field is `name: value`, `name { fields }` or `name: [value, value]`. The result is the fields and the
/// index of the token at which the scan ended.
fn fields(text: &str, tokens: &[Range<usize>], mut at: usize) -> (Vec<Place>, usize) {
    let token_text = |at: usize| tokens.get(at).map_or("", |span| &text[span.clone()]);
    let mut places = vec![];
    while at < tokens.len() && !matches!(token_text(at), "}" | ">") {
        let (start, name) = (tokens[at].start, token_text(at).to_string());
        at += 1;
        if matches!(name.as_str(), "," | ";") {
            continue;
        }
        if token_text(at) == ":" {
            at += 1;
        }
        let is_list = token_text(at) == "[";
        at += usize::from(is_list);
        loop {
            let from = if is_list && at < tokens.len() { tokens[at].start } else { start };
            let mut inner = vec![];
            if matches!(token_text(at), "{" | "<") {
                (inner, at) = fields(text, tokens, at + 1);
                at += 1;
            } else if at < tokens.len() && !matches!(token_text(at), "}" | ">" | "]") {
                at += 1;
                // Adjacent strings form one value.
                while token_text(at).starts_with(['"', '\'']) {
                    at += 1;
                }
            }
            let end = tokens.get(at.min(tokens.len()).wrapping_sub(1)).map_or(start, |span| span.end);
            places.push(Place { name: name.clone(), span: from..end, inner });
            if !is_list || token_text(at) != "," {
                break;
            }
            at += 1;
        }
        at += usize::from(is_list && token_text(at) == "]");
    }
    (places, at)
}

/// The positions of all fields of a text.
pub(crate) fn scan(text: &str) -> Place {
    let tokens = tokens(text);
    Place { name: String::new(), span: 0..0, inner: fields(text, &tokens, 0).0 }
}
