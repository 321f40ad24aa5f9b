//! The id of a request, which targets echo in their responses.

/// Returns the id of a request, by its head in lower case.
pub fn attempt_id(head: &str) -> &str {
    let id = head.split_once("x-id: ");
    id.and_then(|(_, rest)| rest.lines().next()).unwrap_or("")
}

/// Returns a response that bears the id of its request, as targets echo it, unless it has one.
pub fn with_id(text: &str, id: &str) -> String {
    match text.split_once("\r\n") {
        Some((status, rest)) if !text.to_lowercase().contains("x-id:") => {
            format!("{status}\r\nx-id: {id}\r\n{rest}")
        }
        _ => text.to_owned(),
    }
}
