//! Tests of the event splitter.

use quickcheck::quickcheck;
use wasabi_answer::{broken::Broken, events::Splitter};

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Splits `text`, received in pieces of `size` bytes; returns the events and the result of the end.
fn split(text: &str, size: usize) -> (Vec<String>, Result<(), Broken>) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        splitter.push(piece).expect("the events are small");
        while let Some(event) = splitter.next_event() {
            events.push(String::from_utf8_lossy(&event).into_owned());
        }
    }
    let end = splitter.finish().map(|last| {
        events.extend(last.map(|event| String::from_utf8_lossy(&event).into_owned()));
    });
    (events, end)
}

quickcheck! {
    fn events_are_the_same_however_they_are_cut(count: u8, size: u8, line_end: u8) -> bool {
        let end = LINE_ENDS[usize::from(line_end) % LINE_ENDS.len()];
        let event = |id: u8| format!("id: {id}{end}data: x{end}{end}");
        let expected: Vec<String> = (0..count % 20).map(event).collect();
        split(&expected.concat(), usize::from(size).max(1)) == (expected, Ok(()))
    }

    fn a_stream_cut_at_any_byte_inside_an_event_is_broken(at: usize, size: u8) -> bool {
        let whole = "id: 7\r\ndata: x\r\n\r\n";
        // Without its last LF the event ends with a lone CR.
        let at = at % (whole.len() - 2) + 1;
        let text = format!("data: before\n\n{}", &whole[..at]);
        let (events, end) = split(&text, usize::from(size).max(1));
        events == ["data: before\n\n"] && end == Err(Broken::InsideEvent)
    }
}

#[test]
fn an_endless_event_is_broken() {
    let mut splitter = Splitter::default();
    let failed = (0..64).find_map(|_| {
        let pushed = splitter.push(&[b'x'; 64 * 1024]);
        assert_eq!(splitter.next_event(), None);
        pushed.err()
    });
    assert_eq!(failed, Some(Broken::EventTooLarge));
}

#[test]
fn the_head_of_another_answer_is_no_event_however_it_is_cut() {
    const HEAD: &str = "HTTP/1.1 500 X\r\ncontent-length: 1\r\n\r\nid: 2\ndata: y\n\n";
    for before in ["", "id: 2\r\n"] {
        let stream = format!("id: 1\ndata: x\n\n{before}{HEAD}");
        for cut in 0..stream.len() {
            let mut splitter = Splitter::default();
            let (mut events, mut broken) = (Vec::new(), None);
            for part in [&stream[..cut], &stream[cut..]] {
                broken = broken.or(splitter.push(part.as_bytes()).err());
                events.extend(std::iter::from_fn(|| splitter.next_event()));
            }
            broken = broken.or(splitter.finish().err());
            assert_eq!(events, ["id: 1\ndata: x\n\n"], "cut at {cut}");
            assert_eq!(broken, Some(Broken::OtherAnswer), "cut at {cut}");
        }
    }
}
