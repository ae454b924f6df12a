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
    app_issued_at: Option<Duration>,
    /// The turn last shown, 0 for the app's token, and the last one given out before that was shown.
    last_used: u32,
    floor: u32,
    last_issued: u32,
}

impl TokenChain {
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

    /// The line of a viewing that began before this manager did: the first token shown tells where it stands.
    pub fn unknown() -> Self {
        TokenChain { app_issued_at: None, last_used: 0, floor: 0, last_issued: 0 }
    }

    /// The turn of the next token.
    pub fn next_sequence(&mut self) -> u32 {
        self.last_issued = self.last_issued.saturating_add(1);
        self.last_issued
    }

    /// A token is shown: whether it is still taken.
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
