//! The causes of failed sends, as logs and metrics name them.

/// The cause of a send whose connection broke before the head of a response.
pub const CONNECTION_BROKE: &str = "connection broke";
/// The cause of a send whose buffered response broke off.
pub const ANSWER_BROKE_OFF: &str = "answer broke off";
/// The cause of a send whose stream broke off.
pub const STREAM_BROKE_OFF: &str = "stream broke off";
/// The cause of a send to a server that does not say which process it is.
pub const UNANSWERED: &str = "the server does not answer";
/// The cause of a send to a server that has started again since it was listed.
pub const STARTED_AGAIN: &str = "the server has started again";
/// The cause of a send that the server refused without running the request.
pub const TURNED_AWAY: &str = "turned away";
/// The cause of a send whose response takes more memory than there is for it.
pub const TOO_LARGE: &str = "answer too large to buffer";
/// The cause of a stream that broke off after its caller had not read for a while: servers cut what remains unread.
pub const UNREAD: &str = "the caller did not read";
/// The causes of sends that the connection to the server ended.
pub const BROKEN_OFF: [&str; 3] = [CONNECTION_BROKE, ANSWER_BROKE_OFF, STREAM_BROKE_OFF];
/// The `cause` in logs and metrics of a send that showed no progress.
pub const STUCK: &str = "stuck";
