//! Callers' connections that the entry closes, and connections to targets that end.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreyhead_fleet::catalog::CallerLimits;
use comfreyhead_fleet::forward::TargetPool;
use comfreyhead_fleet::prelude::*;
use tokio::time::{sleep, timeout};

use crate::wire::{Entry, Reply, ScriptedTarget, hold, kept_request, route, runtime_apart};

/// The number of connections in tests of a race that each of them may win.
const N_CONNECTIONS: usize = 10;

fn limits(idle_timeout: Duration) -> CallerLimits {
    CallerLimits {
        idle_timeout,
        ..CallerLimits::default()
    }
}

fn long_route(kind: CallKind) -> RouteSpec {
    RouteSpec {
        timeout: Duration::from_secs(9),
        ..route(kind)
    }
}

async fn target(n_replies: usize) -> ScriptedTarget {
    ScriptedTarget::start(vec![Reply::whole("200 OK", "hello"); n_replies]).await
}

// Guards against an idle check that closes connections whose next request lies in the socket.
#[tokio::test]
async fn request_that_waits_while_the_idle_time_ends_is_answered() {
    // Arrange: the runtime is busy when the connections are due to be closed.
    let runtime = runtime_apart();
    let target = target(2 * N_CONNECTIONS).await;
    let entry = Entry::on_runtime(&runtime, route(CallKind::Safe), &[&target]).await;
    entry.set_limits(route(CallKind::Safe), limits(Duration::from_secs(1)));
    let mut callers = Vec::new();
    for n_caller in 0..N_CONNECTIONS {
        let mut caller = entry.connect().await;
        let answer = caller.call(&format!("a{n_caller}")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        callers.push(caller);
    }
    sleep(Duration::from_millis(2_300)).await;
    hold(&runtime, Duration::from_millis(2_300));
    sleep(Duration::from_millis(100)).await;

    // Act
    for (n_caller, caller) in callers.iter_mut().enumerate() {
        caller.send(&kept_request(&format!("b{n_caller}"))).await;
    }
    let mut answers = Vec::new();
    for caller in &mut callers {
        answers.push(caller.response().await);
    }

    // Assert
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
}

// Guards against a shorter idle timeout that closes connections used under the longer one.
#[tokio::test]
async fn connection_is_kept_for_the_idle_timeout_of_its_last_use() {
    let target = target(2).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    entry.set_limits(route(CallKind::Safe), limits(Duration::from_secs(10)));
    let mut caller = entry.connect().await;
    caller.call("r1").await;
    entry.set_limits(route(CallKind::Safe), limits(Duration::from_secs(1)));
    sleep(Duration::from_secs(7)).await;
    let answer = caller.call("r2").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

// Guards against a shorter idle timeout that holds at once, before callers can know of it.
#[tokio::test]
async fn connection_used_just_after_its_idle_timeout_is_cut_is_kept() {
    let target = target(3).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    entry.set_limits(route(CallKind::Safe), limits(Duration::from_secs(10)));
    let mut caller = entry.connect().await;
    caller.call("r1").await;
    entry.set_limits(route(CallKind::Safe), limits(Duration::from_secs(1)));
    caller.call("r2").await;
    sleep(Duration::from_secs(6)).await;
    let answer = caller.call("r3").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

// Guards against a response that counts as idle time while its body is still being sent.
#[tokio::test]
async fn connection_is_not_idle_during_a_stream() {
    let events = "id: 1\ndata: a\n\n";
    let head = "HTTP/1.1 200 OK\r\nx-seal: s1\r\ntransfer-encoding: chunked\r\n\r\n";
    let target = ScriptedTarget::start(vec![
        Reply::RawThenLate(
            format!("{head}{:x}\r\n{events}\r\n", events.len()),
            Duration::from_secs(5),
            "0\r\n\r\n".to_owned(),
        ),
        Reply::stream(events),
    ])
    .await;
    let kind = CallKind::ResumableStream;
    let entry = Entry::with_route(long_route(kind), 0.0, &[&target]).await;
    entry.set_limits(long_route(kind), limits(Duration::from_secs(1)));
    let mut caller = entry.connect().await;
    let first = caller.call("r1").await;
    assert!(first.ends_with("0\r\n\r\n"), "{first:?}");
    let second = caller.call("r2").await;
    assert!(second.starts_with("HTTP/1.1 200"), "{second:?}");
}

// Guards against a stopping entry that closes connections with a request in the socket.
#[tokio::test]
async fn request_that_arrives_before_a_stopping_entry_refuses_is_answered() {
    // Arrange
    let runtime = runtime_apart();
    let target = target(N_CONNECTIONS).await;
    let entry = Entry::on_runtime(&runtime, route(CallKind::Safe), &[&target]).await;
    let mut callers = Vec::new();
    for n_caller in 0..N_CONNECTIONS {
        let mut caller = entry.connect().await;
        caller.call(&format!("a{n_caller}")).await;
        callers.push(caller);
    }

    // Act: the accept time ends while the runtime is busy and requests lie in the sockets.
    entry.refuse_after(Duration::from_millis(700));
    sleep(Duration::from_millis(50)).await;
    hold(&runtime, Duration::from_millis(1_000));
    sleep(Duration::from_millis(100)).await;
    for (n_caller, caller) in callers.iter_mut().enumerate() {
        caller.send(&kept_request(&format!("b{n_caller}"))).await;
    }

    // Assert
    for caller in &mut callers {
        let answer = caller.end().await.to_lowercase();
        assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
    }
}

// Guards against a stopping entry that drops connections which it has not accepted yet.
#[tokio::test]
async fn new_connection_that_arrives_before_a_stopping_entry_refuses_is_answered() {
    let runtime = runtime_apart();
    let target = target(1).await;
    let entry = Entry::on_runtime(&runtime, route(CallKind::Safe), &[&target]).await;
    entry.refuse_after(Duration::from_millis(700));
    sleep(Duration::from_millis(50)).await;
    hold(&runtime, Duration::from_millis(1_000));
    sleep(Duration::from_millis(100)).await;
    let mut callers = Vec::new();
    for n_caller in 0..N_CONNECTIONS {
        let mut caller = entry.connect().await;
        caller.send(&kept_request(&format!("b{n_caller}"))).await;
        callers.push(caller);
    }
    for caller in &mut callers {
        let answer = caller.end().await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    }
}

// Guards against a stopping entry that closes a connection with half a request.
#[tokio::test]
async fn request_that_is_partly_read_when_the_entry_refuses_is_answered() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    let mut caller = entry.connect().await;
    caller.call("r1").await;
    let request = kept_request("r2");
    let (first, second) = request.split_at(30);
    caller.send(first).await;
    entry.refuse_after(Duration::from_millis(50));
    sleep(Duration::from_millis(300)).await;
    caller.send(second).await;
    let answer = caller.end().await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
}

// Guards against heads that arrive without end and keep a connection for good.
#[tokio::test]
async fn head_that_takes_too_long_is_refused() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    let header_timeout = Duration::from_millis(400);
    let limits = CallerLimits {
        header_timeout,
        ..CallerLimits::default()
    };
    entry.set_limits(route(CallKind::Safe), limits);
    let mut caller = entry.connect().await;
    caller.call("r1").await;
    let trickle = async {
        caller.send("GET /r/x HTTP/1.1\r\nhost: ").await;
        for _ in 0..6 {
            caller.send("a").await;
            sleep(Duration::from_millis(100)).await;
        }
        caller.end().await
    };
    let answer = timeout(Duration::from_secs(3), trickle).await;
    let answer = answer.unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
}

// Guards against a header timeout that ends connections between two requests.
#[tokio::test]
async fn connection_without_a_head_is_not_refused() {
    let target = target(2).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    let limits = CallerLimits {
        header_timeout: Duration::from_millis(300),
        ..CallerLimits::default()
    };
    entry.set_limits(route(CallKind::Safe), limits);
    let mut caller = entry.connect().await;
    for id in ["r1", "r2"] {
        sleep(Duration::from_millis(800)).await;
        let answer = caller.call(id).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
}

// Guards against a body that never arrives and leaves its request without an answer.
#[tokio::test]
async fn body_that_does_not_arrive_before_the_deadline_is_refused() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let mut caller = entry.connect().await;
    let head = kept_request("r1").replace(
        "\r\n\r\n",
        "\r\nx-deadline: 300\r\ncontent-length: 9\r\n\r\nhalf",
    );
    caller.send(&head).await;
    let answer = timeout(Duration::from_secs(2), caller.end()).await;
    let answer = answer.unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
    assert_eq!(target.requests().len(), 0);
}

// Guards against a refusal that is lost as its connection is reset with unread input.
#[tokio::test]
async fn refusal_of_a_large_body_reaches_a_caller_that_is_still_sending() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let limits = CallerLimits {
        body_bytes: 1_000,
        ..CallerLimits::default()
    };
    entry.set_limits(route(CallKind::Unsafe), limits);
    let mut caller = entry.connect().await;
    let length = 200_000;
    let head =
        kept_request("r1").replace("\r\n\r\n", &format!("\r\ncontent-length: {length}\r\n\r\n"));
    caller.send(&head).await;
    caller.send_slowly(length).await;
    let answer = caller.end().await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
}

// Guards against a refused head whose answer is lost as its connection is reset.
#[tokio::test]
async fn refusal_of_a_large_head_reaches_a_caller_that_is_still_sending() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    let mut caller = entry.connect().await;
    caller
        .send("GET /r/x HTTP/1.1\r\nhost: shop.example\r\nx-long: ")
        .await;
    caller.send_slowly(200_000).await;
    let answer = caller.end().await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer:?}");
}

// Guards against a transport timer that cuts a stream whose caller pauses for two seconds.
#[tokio::test]
async fn caller_that_pauses_reading_gets_its_whole_stream() {
    let data = "x".repeat(16_000);
    let events: String = (1..=800)
        .map(|id| format!("id: {id}\ndata: {data}\n\n"))
        .collect();
    let target = ScriptedTarget::start(vec![Reply::stream(&events)]).await;
    let kind = CallKind::ResumableStream;
    let entry = Entry::with_route(long_route(kind), 0.0, &[&target]).await;
    let mut caller = entry.connect_with_small_buffer().await;
    caller.send(&kept_request("r1")).await;
    sleep(Duration::from_millis(3_500)).await;
    let answer = caller.response().await;
    assert!(answer.len() >= events.len(), "{} bytes", answer.len());
    assert!(answer.ends_with("0\r\n\r\n"));
}

// Guards against a transport timer that ends a call whose target pauses reading for two seconds.
#[tokio::test]
async fn target_that_pauses_reading_may_still_answer() {
    let response = "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: 4\r\n\r\nlate";
    let pause = Duration::from_millis(3_500);
    let target = ScriptedTarget::start(vec![Reply::Late(pause, response.to_owned())]).await;
    let unsafe_route = long_route(CallKind::Unsafe);
    let entry = Entry::with_route(unsafe_route.clone(), 0.0, &[&target]).await;
    let body = "x".repeat(12_000_000);
    let limits = CallerLimits {
        body_bytes: body.len(),
        ..CallerLimits::default()
    };
    entry.set_limits(unsafe_route, limits);
    let mut caller = entry.connect().await;
    let length = format!("\r\ncontent-length: {}\r\n\r\n", body.len());
    let head = kept_request("r1").replace("\r\n\r\n", &length);
    caller.send(&head).await;
    caller.send(&body).await;
    let answer = caller.response().await;
    assert!(answer.ends_with("late"), "{answer:?}");
}

// Guards against a panic on an idle timeout that no clock can hold.
#[tokio::test]
async fn response_with_an_endless_idle_timeout_is_answered() {
    let head = "HTTP/1.1 200 OK\r\nx-seal: s1\r\nkeep-alive: timeout=18446744073709551615\r\n";
    let text = format!("{head}content-length: 5\r\n\r\nhello");
    let target = ScriptedTarget::start(vec![Reply::raw(&text)]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    assert_eq!(entry.call("r1").await.status, 200);
}

// Guards against a panic on the largest event id, which left the request without an answer.
#[tokio::test]
async fn stream_after_the_largest_event_id_is_answered() {
    let target = ScriptedTarget::start(vec![Reply::stream("id: 1\ndata: a\n\n")]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&target]).await;
    let mut caller = entry.connect().await;
    let head = format!("\r\nlast-event-id: {}\r\n\r\n", u64::MAX);
    caller
        .send(&kept_request("r1").replace("\r\n\r\n", &head))
        .await;
    let answer = caller.response().await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
}

// Guards against a request written into a connection that its target has closed already.
#[tokio::test]
async fn connection_that_its_target_has_closed_is_not_taken() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = TargetPool::default();
    let connection = pool.connect(address, Duration::from_secs(1)).await.unwrap();
    tokio::task::yield_now().await;
    pool.keep(address, connection, None);
    drop(listener.accept().unwrap());
    // The task that serves the connection does not run meanwhile.
    std::thread::sleep(Duration::from_millis(50));
    assert!(pool.take_idle(address, Instant::now()).is_none());
}

// Guards against requests that are sent without waiting for answers and get none.
#[tokio::test]
async fn requests_sent_at_once_are_answered_in_turn() {
    let target = target(2).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    let mut caller = entry.connect().await;
    let last = kept_request("r2").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    caller.send(&(kept_request("r1") + &last)).await;
    let answers = caller.end().await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers:?}");
}

// Guards against a caller that waits for 100 before it sends its body.
#[tokio::test]
async fn caller_that_waits_to_send_its_body_is_told_to_go_on() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let mut caller = entry.connect().await;
    let end = "\r\nexpect: 100-continue\r\ncontent-length: 4\r\nconnection: close\r\n\r\n";
    caller
        .send(&kept_request("r1").replace("\r\n\r\n", end))
        .await;
    sleep(Duration::from_millis(100)).await;
    caller.send("body").await;
    let answer = caller.end().await;
    assert!(answer.starts_with("HTTP/1.1 100"), "{answer:?}");
    assert!(answer.contains("HTTP/1.1 200"), "{answer:?}");
}

// Guards against the refusal of a malformed body that is lost as its connection is reset.
#[tokio::test]
async fn refusal_of_a_malformed_body_reaches_a_caller_that_is_still_sending() {
    let target = target(1).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let mut caller = entry.connect().await;
    let end = "\r\ntransfer-encoding: chunked\r\n\r\nno chunk\r\n";
    let request = kept_request("r1").replace("\r\n\r\n", end);
    caller.send(&request).await;
    caller.send_slowly(200_000).await;
    let answer = caller.end().await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
}

// Guards against new connections without end to a target that resets each of them.
#[tokio::test]
async fn target_that_resets_new_connections_is_not_tried_without_end() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let n_accepted = Arc::new(AtomicUsize::new(0));
    let counter = n_accepted.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            counter.fetch_add(1, Ordering::Relaxed);
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    let entry = Entry::with_addresses(route(CallKind::Unsafe), &[address]).await;
    for n_call in 0..20 {
        let answer = entry.call(&format!("r{n_call}")).await;
        assert!([502, 503].contains(&answer.status), "{}", answer.status);
    }
    let n_accepted = n_accepted.load(Ordering::Relaxed);
    assert!(n_accepted <= 40, "{n_accepted}");
}

// Guards against refused callers that send on and keep the entry from serving anybody else.
#[tokio::test]
async fn callers_that_send_on_after_a_refusal_do_not_stop_the_others() {
    let runtime = runtime_apart();
    let target = target(2).await;
    let entry = Entry::on_runtime(&runtime, route(CallKind::Safe), &[&target]).await;
    let address = entry.address;
    let floods: Vec<_> = (0..16)
        .map(|_| std::thread::spawn(move || flood(address)))
        .collect();
    sleep(Duration::from_millis(100)).await;

    let mut caller = entry.connect().await;
    caller.send(&kept_request("r1")).await;
    let answer = timeout(Duration::from_secs(10), caller.response()).await;

    let answer = answer.expect("the_entry_answers");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    for flood in floods {
        assert!(flood.join().unwrap(), "the_entry_closes_the_connection");
    }
}

/// Sends a body without end; returns whether the entry ended the connection within 6 s.
fn flood(address: std::net::SocketAddr) -> bool {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let length = "\r\ncontent-length: 99000000000\r\n\r\n";
    let head = kept_request("flood").replace("\r\n\r\n", length);
    stream.write_all(head.as_bytes()).unwrap();
    let part = vec![0; 4 << 20];
    let end_at = std::time::Instant::now() + Duration::from_secs(6);
    while std::time::Instant::now() < end_at {
        if stream.write(&part).is_err() {
            return true;
        }
    }
    false
}
