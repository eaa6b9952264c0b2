"""
Describe the HTTP API of the emulated log service.

POST /v1/streams/{stream}/records   body: the record, UTF-8 text -> 201 {"offset": N}
GET  /v1/streams/{stream}/records?from=N&limit=M&wait_ms=W
     -> 200 {"first": F, "next": X, "records": [{"offset": N, "data": "text"}, ...]}
     `first` is the oldest retained offset, `next` the offset of the next append.
     -> 410 {"first": F, "next": X} if N is above X
     `wait_ms` enables long polling: the read waits that long for a record.
POST /v1/faults   body: JSON with any of
     down              true: close every connection without a response
     delay_ms          delay in milliseconds before each request takes effect
     lose_answers      true: an append takes effect, but no response is sent
     truncate_before   {"stream": offset}: delete older records, as retention does
     restore_age_s     lose all records appended in the last so many seconds, as after a
                       restore from a copy; their offsets are assigned again
     -> 204; a fault stays active until it is changed
GET  /v1/counts -> 200 {"appends": N, "reads": N} since process start

Every response has the header X-Store-Era, which starts at 1 and increases by one with
each restore.
"""
