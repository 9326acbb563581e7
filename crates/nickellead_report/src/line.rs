//! Parser of log lines.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use nickellead_event::EventName;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of the line in seconds, 0 if it has none.
    pub at: f64,
    /// VM that wrote the line, if the collector put its name before the event.
    pub vm: Option<String>,
    /// Event of the line.
    pub event: EventName,
    /// Fields of the event, without `event` itself.
    pub fields: BTreeMap<String, String>,
    /// Unparsed line without trailing whitespace.
    pub text: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it holds no known event.
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
        let is_name = |word: &&str| !word.starts_with('[') && read_time(word).is_none();
        let vm = words().find(is_name).map(|word| word.trim_end_matches(':').to_owned());
        Some(Self { at, vm, event, fields, text: text.trim_end().to_owned() })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Parses the lines of all logs and sorts them by time.
#[must_use]
pub fn read_lines<'a>(texts: impl IntoIterator<Item = &'a str>) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> =
        texts.into_iter().flat_map(str::lines).filter_map(LogLine::read).collect();
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    lines
}

/// Parses a time: seconds since the start of a test, or an RFC 3339 date and time.
fn read_time(word: &str) -> Option<f64> {
    if let Ok(seconds) = word.parse::<f64>() {
        return Some(seconds);
    }
    let time = humantime::parse_rfc3339_weak(word).ok()?;
    Some(time.duration_since(UNIX_EPOCH).ok()?.as_secs_f64())
}

/// Parses the `key=value` pairs of an event; a quoted value may contain spaces.
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

/// Unescapes the text up to the closing quote; returns it with the remaining text.
fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, ch)) = chars.next() {
        match ch {
            '"' => return (value, &text[index + 1..]),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, 't')) => value.push('\t'),
                Some((_, 'r')) => value.push('\r'),
                Some((_, 'u')) => value.extend(read_code_point(&mut chars)),
                Some((_, other)) => value.push(other),
                None => break,
            },
            other => value.push(other),
        }
    }
    (value, "")
}

/// Parses the hexadecimal code of a Unicode escape such as `{1f}`.
fn read_code_point(chars: &mut std::str::CharIndices<'_>) -> Option<char> {
    let digits: String = chars
        .by_ref()
        .map(|(_, ch)| ch)
        .skip_while(|ch| *ch == '{')
        .take_while(|ch| *ch != '}')
        .collect();
    char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
}
