//! Finds the blank line that ends a head or a chunked body in bytes that arrive in pieces.

/// Where the bytes seen so far end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinePosition {
    /// At the start of a line.
    #[default]
    Start,
    /// Behind a carriage return at the start of a line.
    AfterReturn,
    /// Within a line.
    Within,
}

/// Finds blank lines.
#[derive(Debug, Default)]
pub(crate) struct BlankLineScanner {
    position: LinePosition,
}

impl BlankLineScanner {
    /// Goes on with these bytes up to the end of the first blank line; `None` if there is none.
    pub(crate) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            let ends = *byte == b'\n' && self.position != LinePosition::Within;
            self.position = match (byte, self.position) {
                (b'\n', _) => LinePosition::Start,
                (b'\r', LinePosition::Start) => LinePosition::AfterReturn,
                _ => LinePosition::Within,
            };
            if ends {
                return Some(index + 1);
            }
        }
        None
    }
}

#[cfg(test)]
#[path = "blank_line/tests.rs"]
mod tests;
