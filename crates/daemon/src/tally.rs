//! What requests were answered, why, and from when to when: one count at the door where the answers go out,
//! so that the sums are what viewers saw. Nothing is sampled, and nothing here can fail or hold an answer
//! up.

use ivyward::interface::RefusalReason;
use ivyward_session::FailureCause;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// How a request was answered, and why. Both are names in the text of the program: what clients send makes
/// no new ones.
pub type AnswerLabel = (&'static str, &'static str);

/// The name of a cause.
pub fn cause_name(cause: FailureCause) -> &'static str {
    match cause {
        FailureCause::ByPolicy(RefusalReason::UnknownPackage) => "unknown package",
        FailureCause::ByPolicy(RefusalReason::SeatsTaken) => "seats",
        FailureCause::ByPolicy(RefusalReason::PatienceOver) => "patience",
        FailureCause::ByPolicy(RefusalReason::TuneInsUsedUp) => "tune-ins",
        FailureCause::ByPolicy(RefusalReason::RetryBudgetExhausted) => "ration",
        FailureCause::ByPolicy(RefusalReason::NoReadyHolder) => "no holder",
        FailureCause::ByPolicy(RefusalReason::HoldersCold) => "cold",
        FailureCause::ByPolicy(RefusalReason::RateLimited) => "tokens of the bucket",
        FailureCause::ByPolicy(RefusalReason::MayHaveRun) => "may have run",
        FailureCause::ByPolicy(RefusalReason::MayStillRun) => "an earlier attempt may still run",
        FailureCause::AlreadyUsed => "paid before",
        FailureCause::Abandoned => "given up",
        FailureCause::AnswerOverdue => "late",
        FailureCause::ShuttingDown => "the manager ends",
        FailureCause::NoMajority => "no majority of keepers",
    }
}

#[derive(Clone, Copy, Default)]
struct Count {
    total: u64,
    /// How many of them were told in a line of the log.
    logged: u64,
    first_date: Duration,
    last_date: Duration,
}

#[derive(Default)]
pub struct Tally(BTreeMap<AnswerLabel, Count>);

impl Tally {
    pub fn increment(&mut self, date: Duration, told: AnswerLabel) {
        let count = self.0.entry(told).or_insert(Count { first_date: date, ..Default::default() });
        (count.total, count.last_date) = (count.total.saturating_add(1), date);
    }

    /// What came since this was last asked, as one line; none where nothing did.
    pub fn unlogged_counts(&mut self) -> Option<String> {
        let mut news = vec![];
        for ((answer, why), count) in &mut self.0 {
            let new = count.total - std::mem::replace(&mut count.logged, count.total);
            news.extend((new > 0).then(|| format!("{answer} ({why}) {new}")));
        }
        (!news.is_empty()).then(|| news.join(", "))
    }

    /// All counts, with the dates of the first and the last of each.
    pub fn to_json(&self) -> Value {
        let row = |((answer, why), count): (&AnswerLabel, &Count)| {
            json!({
                "answer": answer, "why": why, "count": count.total, "first_s": count.first_date.as_secs(),
                "last_s": count.last_date.as_secs(),
            })
        };
        self.0.iter().map(row).collect()
    }
}
