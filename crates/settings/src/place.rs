//! Where the fields of a text stand. The values are read by the library; this finds lines and columns for
//! faults that the library doesn't know of.

use std::ops::Range;

/// A field of the text with those inside it; the text itself at the top.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    name: String,
    span: Range<usize>,
    inner: Vec<Place>,
}

impl Place {
    pub fn at(&self) -> usize {
        self.span.start
    }

    /// A place without fields, where a part was left out.
    pub fn bare(&self) -> Place {
        Place { name: String::new(), span: self.span.clone(), inner: vec![] }
    }

    /// The field of that name which stands there as the n-th.
    pub fn inner(&self, name: &str, n: usize) -> Option<&Place> {
        self.inner.iter().filter(|field| field.name == name).nth(n)
    }

    /// The smallest field round a byte: the way to it and its span.
    pub fn field_at(&self, at: usize) -> (String, Option<Range<usize>>) {
        let (mut way, mut span, mut here) = (String::new(), None, self);
        while let Some(i) = here.inner.iter().position(|field| field.span.start <= at && at < field.span.end)
        {
            let field = &here.inner[i];
            let before = here.inner[..i].iter().filter(|other| other.name == field.name).count();
            way = format!("{way}{}{}", if way.is_empty() { "" } else { "." }, field.name);
            if before > 0 {
                way = format!("{way}[{before}]");
            }
            (span, here) = (Some(field.span.clone()), field);
        }
        (way, span)
    }
}

/// Line and column of a byte, counted from 1; columns in characters.
pub(crate) fn line_column(text: &str, at: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..at.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let start = before.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
    (line, String::from_utf8_lossy(&before[start..]).chars().count() + 1)
}

/// Token spans: words, quoted strings, and single marks.
fn tokens(text: &str) -> Vec<Range<usize>> {
    let (bytes, mut tokens, mut at) = (text.as_bytes(), vec![], 0);
    let word = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.' | b'-' | b'+') || b >= 0x80;
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
            b if word(b) => {
                at += bytes[at..].iter().position(|b| !word(*b)).unwrap_or(bytes.len() - at);
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

/// Reads fields up to a closing mark: `name: value`, `name { fields }`, `name: [value, value]`.
fn fields(text: &str, tokens: &[Range<usize>], mut at: usize) -> (Vec<Place>, usize) {
    let mark = |at: usize| tokens.get(at).map_or("", |span| &text[span.clone()]);
    let mut found = vec![];
    while at < tokens.len() && !matches!(mark(at), "}" | ">") {
        let (start, name) = (tokens[at].start, mark(at).to_string());
        at += 1;
        if matches!(name.as_str(), "," | ";") {
            continue;
        }
        if mark(at) == ":" {
            at += 1;
        }
        let many = mark(at) == "[";
        at += usize::from(many);
        loop {
            let from = if many && at < tokens.len() { tokens[at].start } else { start };
            let mut inner = vec![];
            if matches!(mark(at), "{" | "<") {
                (inner, at) = fields(text, tokens, at + 1);
                at += 1;
            } else if at < tokens.len() && !matches!(mark(at), "}" | ">" | "]") {
                at += 1;
                // Strings that follow each other are one.
                while mark(at).starts_with(['"', '\'']) {
                    at += 1;
                }
            }
            let end = tokens.get(at.min(tokens.len()).wrapping_sub(1)).map_or(start, |span| span.end);
            found.push(Place { name: name.clone(), span: from..end, inner });
            if !many || mark(at) != "," {
                break;
            }
            at += 1;
        }
        at += usize::from(many && mark(at) == "]");
    }
    (found, at)
}

pub(crate) fn scan(text: &str) -> Place {
    let tokens = tokens(text);
    Place { name: String::new(), span: 0..0, inner: fields(text, &tokens, 0).0 }
}
