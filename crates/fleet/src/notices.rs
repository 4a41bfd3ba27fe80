//! What backend servers say of themselves in their answers.
//!
//! Answers two load patterns. A server that leaves says so to whoever it answers, often
//! before its row in the list shows it, and also where the store is away: it takes no more
//! work of this host, however late or old the rows are. A server that is pressed names a
//! time in which it wants nothing: asking it all the same would press it further, so it
//! counts as full until then.
//!
//! What a server said holds for that start of it alone; one that starts anew under the same
//! id has said nothing.

use crate::prelude::*;
use crate::roster::Server;

/// Servers that are remembered: far more than leave or are pressed at once.
const ENTRIES_MAX: usize = 4_096;
/// The longest time for which a server is left alone: what a server asks beyond is taken for
/// a mistake, since an entry host would lose it for good.
const HOLD_MAX: Duration = Duration::from_secs(60);

/// Holds what the head of an answer says of the server that gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// For how long it wants nothing.
    pub wait: Option<Duration>,
}

/// Tells whether a server takes requests of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Open,
    /// Not before that moment.
    HeldUntil(Duration),
    /// It leaves.
    Leaving,
}

/// Holds what one start of a server said.
#[derive(Clone, Copy, Debug)]
struct Notice {
    born: u64,
    is_leaving: bool,
    held_until: Duration,
    heard_at: Duration,
}

/// Remembers what servers said.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    notices: HashMap<Arc<str>, Notice>,
}

impl Notices {
    /// Takes over what a server said in an answer; tells whether that is news.
    pub fn on_answer(&mut self, server: &Server, said: Said, now: Duration) -> bool {
        if said == Said::default() {
            return false;
        }
        let before = self.standing(server, now);
        if let Some(notice) = self.notice(&server.id, server.born, now) {
            notice.is_leaving |= said.is_leaving;
            // Answers overtake each other; the longest time asked for is kept.
            let wait = said.wait.unwrap_or_default().min(HOLD_MAX);
            notice.held_until = notice.held_until.max(now + wait);
        }
        self.standing(server, now) != before
    }

    /// Tells whether a server takes requests.
    pub fn standing(&self, server: &Server, now: Duration) -> Standing {
        match self.notices.get(&server.id) {
            // A row that lags shows a start that has ended.
            Some(notice) if server.born < notice.born => Standing::Leaving,
            Some(notice) if server.born > notice.born => Standing::Open,
            Some(notice) if notice.is_leaving => Standing::Leaving,
            Some(notice) if notice.held_until > now => Standing::HeldUntil(notice.held_until),
            Some(_) | None => Standing::Open,
        }
    }

    /// Returns the notice of that start, `None` if a later one has said something since.
    fn notice(&mut self, id: &Arc<str>, born: u64, now: Duration) -> Option<&mut Notice> {
        let fresh = Notice { born, is_leaving: false, held_until: now, heard_at: now };
        if !self.notices.contains_key(id) {
            self.make_room(now);
        }
        let notice = self.notices.entry(id.clone()).or_insert(fresh);
        if notice.born > born {
            return None;
        }
        if notice.born < born {
            *notice = fresh;
        }
        notice.heard_at = now;
        Some(notice)
    }

    fn make_room(&mut self, now: Duration) {
        if self.notices.len() < ENTRIES_MAX {
            return;
        }
        self.notices.retain(|_, notice| notice.is_leaving || notice.held_until > now);
        while self.notices.len() >= ENTRIES_MAX {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.heard_at);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else { return };
            self.notices.remove(&oldest);
        }
    }
}
