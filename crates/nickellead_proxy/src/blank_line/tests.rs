use super::BlankLineScanner;

/// The ends of all blank lines when the bytes come in pieces of this size.
fn find_all(text: &str, piece: usize) -> Vec<usize> {
    let mut scanner = BlankLineScanner::default();
    let mut ends = Vec::new();
    let mut offset = 0;
    for bytes in text.as_bytes().chunks(piece) {
        let mut rest = bytes;
        while let Some(end) = scanner.find_end(rest) {
            ends.push(offset + bytes.len() - rest.len() + end);
            rest = &rest[end..];
        }
        offset += bytes.len();
    }
    ends
}

#[test]
fn the_end_of_each_head_is_found_however_its_bytes_arrive() {
    let head = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let text = head.repeat(3);
    for piece in 1..=text.len() {
        let ends = find_all(&text, piece);
        assert_eq!(ends, [head.len(), 2 * head.len(), 3 * head.len()], "pieces of {piece}");
    }
}

#[test]
fn lines_that_end_without_a_carriage_return_count() {
    assert_eq!(find_all("GET / HTTP/1.1\nhost: a\n\nx", 4), [24]);
    assert!(find_all("a: \r\r\n", 2).is_empty());
}
