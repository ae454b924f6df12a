//! Decides which tokens of a viewing are still accepted.
//!
//! Each manifest carries a token with the next sequence number. Using a token invalidates all earlier
//! ones, and those that were issued in the same step. A player whose answer was lost uses the same token
//! again and receives a new one. If two players have copies of one token, the first to use its next token
//! continues; the other is rejected.

use ivyward::interface::ServerId;
use std::time::Duration;

/// The issuer of a token that is presented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOrigin {
    /// The app, at that date.
    App { issued: Duration },
    /// A manager: the incarnation and server that it issued the token for, and the token's sequence
    /// number.
    Manager { incarnation: u64, server: ServerId, sequence: u32 },
}

/// The token state of a viewing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenChain {
    /// When the app issued the token that began the chain; `None` if a token of another incarnation of
    /// the manager began it.
    app_issued_at: Option<Duration>,
    /// The sequence number of the token used last; 0 for the app's token.
    last_used: u32,
    /// The last number that was issued before that token was used. Tokens up to this number are invalid.
    floor: u32,
    /// The last number that was issued.
    last_issued: u32,
}

impl TokenChain {
    /// Starts a chain with the token that began the viewing.
    pub fn new(origin: TokenOrigin) -> Self {
        match origin {
            TokenOrigin::App { issued } => {
                TokenChain { app_issued_at: Some(issued), last_used: 0, floor: 0, last_issued: 0 }
            }
            TokenOrigin::Manager { sequence, .. } => TokenChain {
                app_issued_at: None,
                last_used: sequence,
                floor: sequence,
                last_issued: sequence,
            },
        }
    }

    /// The chain of a viewing that began before this manager started. The first token that is presented
    /// determines its state.
    pub fn unknown() -> Self {
        TokenChain { app_issued_at: None, last_used: 0, floor: 0, last_issued: 0 }
    }

    /// Issues the next sequence number.
    pub fn next_sequence(&mut self) -> u32 {
        self.last_issued = self.last_issued.saturating_add(1);
        self.last_issued
    }

    /// Whether a presented token is accepted; updates the state if so.
    pub fn accept(&mut self, origin: TokenOrigin) -> bool {
        let has_state = (self.app_issued_at.is_some(), self.last_issued) != (false, 0);
        match origin {
            TokenOrigin::App { issued } if self.app_issued_at.is_none_or(|app| issued > app) => {
                (self.app_issued_at, self.last_used, self.floor) = (Some(issued), 0, self.last_issued);
                true
            }
            TokenOrigin::App { issued } => self.app_issued_at == Some(issued) && self.last_used == 0,
            TokenOrigin::Manager { sequence, .. } if !has_state => {
                *self = TokenChain {
                    app_issued_at: None,
                    last_used: sequence,
                    floor: sequence,
                    last_issued: sequence,
                };
                true
            }
            TokenOrigin::Manager { sequence, .. }
                if sequence > self.floor && sequence <= self.last_issued =>
            {
                (self.last_used, self.floor) = (sequence, self.last_issued);
                true
            }
            TokenOrigin::Manager { sequence, .. } => sequence == self.last_used && sequence > 0,
        }
    }
}
