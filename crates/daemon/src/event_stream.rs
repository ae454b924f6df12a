//! Server-sent events of a response.

use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::iter;
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use ivyward_edge::EventLines;
use std::future::ready;

/// The events of a response, until it ends or an event is too long.
pub fn read_events(body: Incoming) -> impl Stream<Item = Result<Event, EventStreamError<hyper::Error>>> {
    let lines = BodyDataStream::new(body).scan(EventLines::default(), |lines, chunk| {
        ready(match chunk {
            Ok(data) => {
                lines.push(&data).ok().map(|complete_lines| complete_lines.into_iter().map(Ok).collect())
            }
            Err(error) => Some(vec![Err(error)]),
        })
    });
    lines.flat_map(iter).eventsource()
}
