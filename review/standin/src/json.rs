//! Just enough JSON: finds the raw text of a member of an object.

/// The raw text of the member `name` of the object `text`.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// A member that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    member(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// A member that is a number.
pub fn number<T: std::str::FromStr>(object: &str, name: &str) -> Option<T> {
    member(object, name)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// End of the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0;
    let mut position = at;
    loop {
        match *bytes.get(position)? {
            b'"' => {
                position += 1;
                while *bytes.get(position)? != b'"' {
                    position += if bytes[position] == b'\\' { 2 } else { 1 };
                }
                position += 1;
                if depth == 0 {
                    return Some(position);
                }
            }
            b'{' | b'[' => {
                depth += 1;
                position += 1;
            }
            b'}' | b']' => {
                if depth == 0 {
                    return Some(position);
                }
                depth -= 1;
                position += 1;
                if depth == 0 {
                    return Some(position);
                }
            }
            b',' if depth == 0 => return Some(position),
            _ => position += 1,
        }
        if depth == 0 && bytes.get(position).is_none() {
            return Some(position);
        }
    }
}
