//! Which tokens of a viewing are still taken. Each manifest carries a token of the next turn; showing one spends those
//! before it and those given out beside it. A player whose answer was lost shows the same one again and is given
//! another; of two players with copies of one token the first to ask again goes on, and the other is turned away.

use ivyward::interface::ServerId;
use std::time::Duration;

/// Who gave a token that is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// The app, at that date.
    App { issued: Duration },
    /// A manager: its start, the server that it sent the player to, and the token's turn.
    Manager { birth: u64, server: ServerId, turn: u32 },
}

/// A viewing's tokens from the first to the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When the app gave the token that began it; none where that was another start of the manager.
    app: Option<Duration>,
    /// The turn last shown, 0 for the app's token, and the last one given out before that was shown.
    used: u32,
    floor: u32,
    last: u32,
}

impl Line {
    pub fn new(shown: Shown) -> Self {
        match shown {
            Shown::App { issued } => Line { app: Some(issued), used: 0, floor: 0, last: 0 },
            Shown::Manager { turn, .. } => Line { app: None, used: turn, floor: turn, last: turn },
        }
    }

    /// The line of a viewing that began before this manager did: the first token shown tells where it stands.
    pub fn unknown() -> Self {
        Line { app: None, used: 0, floor: 0, last: 0 }
    }

    /// The turn of the next token.
    pub fn turn(&mut self) -> u32 {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// A token is shown: whether it is still taken.
    pub fn shows(&mut self, shown: Shown) -> bool {
        let begun = (self.app.is_some(), self.last) != (false, 0);
        match shown {
            Shown::App { issued } if self.app.is_none_or(|app| issued > app) => {
                (self.app, self.used, self.floor) = (Some(issued), 0, self.last);
                true
            }
            Shown::App { issued } => self.app == Some(issued) && self.used == 0,
            Shown::Manager { turn, .. } if !begun => {
                *self = Line { app: None, used: turn, floor: turn, last: turn };
                true
            }
            Shown::Manager { turn, .. } if turn > self.floor && turn <= self.last => {
                (self.used, self.floor) = (turn, self.last);
                true
            }
            Shown::Manager { turn, .. } => turn == self.used && turn > 0,
        }
    }
}
