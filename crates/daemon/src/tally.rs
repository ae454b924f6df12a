//! Counts of the answers to requests and of their causes, with dates. Every response is counted in one
//! place, where it is sent, so the sums are what viewers received. Nothing is sampled, and counting can
//! neither fail nor delay a response.

use ivyward::interface::RefusalReason;
use ivyward_session::FailureCause;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// How a request was answered, and why. Both are constants of the program, so clients can't add labels.
pub type AnswerLabel = (&'static str, &'static str);

/// The name of a failure cause on the `/counts` page.
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

/// How often one answer was given.
#[derive(Clone, Copy, Default)]
struct Count {
    /// How often it was given since the start.
    total: u64,
    /// How many of them log lines have already reported.
    logged: u64,
    /// The date of the first one.
    first_date: Duration,
    /// The date of the last one.
    last_date: Duration,
}

/// The count of each answer.
#[derive(Default)]
pub struct Tally(BTreeMap<AnswerLabel, Count>);

impl Tally {
    /// Counts one answer, given at `date`.
    pub fn increment(&mut self, date: Duration, label: AnswerLabel) {
        let count = self.0.entry(label).or_insert(Count { first_date: date, ..Default::default() });
        (count.total, count.last_date) = (count.total.saturating_add(1), date);
    }

    /// The answers since the last call, as one line for the log; `None` if there were none.
    pub fn unlogged_counts(&mut self) -> Option<String> {
        let mut entries = vec![];
        for ((answer_name, cause_text), count) in &mut self.0 {
            let unlogged = count.total - std::mem::replace(&mut count.logged, count.total);
            entries.extend((unlogged > 0).then(|| format!("{answer_name} ({cause_text}) {unlogged}")));
        }
        (!entries.is_empty()).then(|| entries.join(", "))
    }

    /// All counts, with the dates of the first and the last answer of each kind.
    pub fn to_json(&self) -> Value {
        let json_row = |((answer_name, cause_text), count): (&AnswerLabel, &Count)| {
            json!({
                "answer": answer_name, "why": cause_text, "count": count.total, "first_s": count.first_date.as_secs(),
                "last_s": count.last_date.as_secs(),
            })
        };
        self.0.iter().map(json_row).collect()
    }
}
