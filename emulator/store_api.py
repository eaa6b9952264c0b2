"""
Describe the log service's HTTP interface, shared by the stand-in and its tests.

POST /v1/streams/{stream}/records   body: the record, UTF-8 text -> 201 {"offset": N}
GET  /v1/streams/{stream}/records?from=N&limit=M&wait_ms=W
     -> 200 {"first": F, "next": X, "records": [{"offset": N, "data": "text"}, ...]}
     `first` is the oldest offset still kept, `next` the offset the next record gets.
     With `wait_ms`, the answer is held up to that long until there is a record.
POST /v1/faults   body: JSON with any of
     down              true: close every connection without an answer
     delay_ms          milliseconds that each request is held up before it takes effect
     lose_answers      true: an append takes effect, its answer never comes
     truncate_before   {"stream": offset}: drop older records, as retention does
     -> 204; a fault stays until it is set again
GET  /v1/counts -> 200 {"appends": N, "reads": N} since the start
"""
