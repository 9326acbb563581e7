//! Reading log lines back.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use nickellead_event::EventName;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, in seconds; 0 where the line has no time.
    pub at: f64,
    /// Which VM wrote it, if whoever collected the logs put the name before the event.
    pub vm: Option<String>,
    /// What it is about.
    pub event: EventName,
    /// Its pairs.
    pub fields: BTreeMap<String, String>,
    /// The line as it stands.
    pub text: String,
}

impl LogLine {
    /// Reads one line; `None` for text that is no event of ours.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let start = match text.starts_with("event=") {
            true => 0,
            false => text.find(" event=")? + 1,
        };
        let (head, body) = text.split_at(start);
        let mut fields = read_pairs(body);
        let event = EventName::parse(&fields.remove("event")?)?;
        let words = || head.split_whitespace();
        let at = words().find_map(read_time).unwrap_or_default();
        let name = |word: &&str| !word.starts_with('[') && read_time(word).is_none();
        let vm = words().find(name).map(|word| word.trim_end_matches(':').to_owned());
        Some(Self { at, vm, event, fields, text: text.trim_end().to_owned() })
    }

    /// The value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Reads the lines of all logs, in order of time.
#[must_use]
pub fn read_lines<'a>(texts: impl IntoIterator<Item = &'a str>) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> =
        texts.into_iter().flat_map(str::lines).filter_map(LogLine::read).collect();
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    lines
}

/// Seconds since a test began, or a date and time.
fn read_time(word: &str) -> Option<f64> {
    if let Ok(seconds) = word.parse::<f64>() {
        return Some(seconds);
    }
    let time = humantime::parse_rfc3339_weak(word).ok()?;
    Some(time.duration_since(UNIX_EPOCH).ok()?.as_secs_f64())
}

/// The pairs of an event; a quoted value may hold blanks.
fn read_pairs(body: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = body.trim();
    while let Some((key, value)) = rest.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted),
            None => {
                let (value, after) = value.split_once(' ').unwrap_or((value, ""));
                (value.to_owned(), after)
            }
        };
        pairs.insert(key.trim().to_owned(), value);
        rest = after.trim_start();
    }
    pairs
}

/// The text up to the closing quote with its escapes undone, and what follows.
fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut letters = text.char_indices();
    while let Some((place, letter)) = letters.next() {
        match letter {
            '"' => return (value, &text[place + 1..]),
            '\\' => match letters.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, 't')) => value.push('\t'),
                Some((_, 'r')) => value.push('\r'),
                Some((_, 'u')) => value.extend(read_code(&mut letters)),
                Some((_, other)) => value.push(other),
                None => break,
            },
            other => value.push(other),
        }
    }
    (value, "")
}

/// The letter of an escape like `{1f}`.
fn read_code(letters: &mut std::str::CharIndices<'_>) -> Option<char> {
    let digits: String = letters
        .by_ref()
        .map(|(_, letter)| letter)
        .skip_while(|letter| *letter == '{')
        .take_while(|letter| *letter != '}')
        .collect();
    char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
}
