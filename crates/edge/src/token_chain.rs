//! Which tokens of a viewing are still taken. Each manifest carries a token of the next turn; showing one spends those
//! before it and those given out beside it. A player whose answer was lost shows the same one again and is given
//! another; of two players with copies of one token the first to ask again goes on, and the other is turned away.

use ivyward::interface::ServerId;
use std::time::Duration;

/// Who gave a token that is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOrigin {
    /// The app, at that date.
    App { issued: Duration },
    /// A manager: its start, the server that it sent the player to, and the token's turn.
    Manager { incarnation: u64, server: ServerId, sequence: u32 },
}

/// A viewing's tokens from the first to the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenChain {
    /// When the app gave the token that began it; none where that was another start of the manager.
    app: Option<Duration>,
    /// The turn last shown, 0 for the app's token, and the last one given out before that was shown.
    used: u32,
    floor: u32,
    last: u32,
}

impl TokenChain {
    pub fn new(origin: TokenOrigin) -> Self {
        match origin {
            TokenOrigin::App { issued } => TokenChain { app: Some(issued), used: 0, floor: 0, last: 0 },
            TokenOrigin::Manager { sequence, .. } => {
                TokenChain { app: None, used: sequence, floor: sequence, last: sequence }
            }
        }
    }

    /// The line of a viewing that began before this manager did: the first token shown tells where it stands.
    pub fn unknown() -> Self {
        TokenChain { app: None, used: 0, floor: 0, last: 0 }
    }

    /// The turn of the next token.
    pub fn next_sequence(&mut self) -> u32 {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// A token is shown: whether it is still taken.
    pub fn accept(&mut self, origin: TokenOrigin) -> bool {
        let begun = (self.app.is_some(), self.last) != (false, 0);
        match origin {
            TokenOrigin::App { issued } if self.app.is_none_or(|app| issued > app) => {
                (self.app, self.used, self.floor) = (Some(issued), 0, self.last);
                true
            }
            TokenOrigin::App { issued } => self.app == Some(issued) && self.used == 0,
            TokenOrigin::Manager { sequence, .. } if !begun => {
                *self = TokenChain { app: None, used: sequence, floor: sequence, last: sequence };
                true
            }
            TokenOrigin::Manager { sequence, .. } if sequence > self.floor && sequence <= self.last => {
                (self.used, self.floor) = (sequence, self.last);
                true
            }
            TokenOrigin::Manager { sequence, .. } => sequence == self.used && sequence > 0,
        }
    }
}
