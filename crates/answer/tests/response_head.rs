//! Which heads are those of final responses.

use hyper::{Response, StatusCode};
use wasabi_answer::{broken::Broken, response_head};

/// `hyper` reads any number from 100 to 999 as a status.
#[test]
fn only_the_statuses_of_final_responses_are_valid() {
    for number in 100..=999 {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::from_u16(number).expect("a number that hyper reads");
        let expected = match number {
            200..=599 => Ok(()),
            _ => Err(Broken::StatusInvalid),
        };
        assert_eq!(response_head::check(&response), expected, "{number}");
    }
}

#[test]
fn a_status_line_in_a_header_is_that_of_another_response() {
    let joined = Response::builder().header("x-a", "bHTTP/1.1 200 OK").body(());
    let joined = joined.expect("a valid response");
    assert_eq!(response_head::check(&joined), Err(Broken::HeadJoined));
}
