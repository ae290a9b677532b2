//! Reads the data of server-sent events (WHATWG HTML, section 9.2), and formats events.

use bytes::Bytes;

const DATA_FIELD: &str = "data:";

/// Returns the data of an event, its lines joined by newlines; `None` if it has no data or is not
/// UTF-8.
pub fn data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix(DATA_FIELD));
    let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Formats an event; `data` must be a single line.
pub fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
