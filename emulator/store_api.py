"""
Describe the log service's HTTP interface, shared by the stand-in and its tests.

POST /v1/streams/{stream}/records   body: the record, UTF-8 text -> 201 {"offset": N}
GET  /v1/streams/{stream}/records?from=N&limit=M
     -> 200 {"first": F, "next": X, "records": [{"offset": N, "data": "text"}, ...]}
     `first` is the oldest offset still kept, `next` the offset the next record gets.
POST /v1/faults   body: JSON with any of down, delay_ms, lose_answers, truncate_before
"""
