Feature: HTTP requests are limited and all errors have the same form

  Scenario Outline: An invalid request gets a coded error and has no effect
    Given an HTTP server with small limits
    When the limited server is tested with <input>
    Then the limited server answers <status> with code <code> and accepts nothing

    Examples:
      | input                          | status | code              |
      | malformed JSON                 | 400    | invalid_document  |
      | an empty body                  | 400    | invalid_request   |
      | a duplicate key                | 400    | invalid_document  |
      | an unknown key                 | 400    | invalid_document  |
      | a number as text               | 400    | invalid_document  |
      | a huge number                  | 400    | invalid_document  |
      | not a number                   | 400    | invalid_document  |
      | half a surrogate pair          | 400    | invalid_document  |
      | bytes that are no UTF-8        | 400    | invalid_document  |
      | deep nesting                   | 400    | invalid_document  |
      | very deep nesting              | 400    | invalid_document  |
      | a declared oversized body      | 413    | request_too_large |
      | a chunked oversized body       | 413    | request_too_large |
      | too many headers               | 413    | request_too_large |
      | endless headers                | 413    | request_too_large |
      | a long path                    | 413    | request_too_large |
      | a long query                   | 413    | request_too_large |
      | a slow body                    | 408    | request_too_slow  |
      | a trickling body               | 408    | request_too_slow  |
      | slow headers                   | 408    | request_too_slow  |
      | a connection half-closed in the body | 400 | invalid_request |
      | a connection half-closed in the head | 400 | invalid_request |
      | bytes that are no HTTP         | 400    | invalid_request   |
      | a negative length              | 400    | invalid_request   |
      | a bad request identifier       | 400    | invalid_request   |
      | an unknown path                | 404    | not_found         |
      | an unknown method              | 405    | invalid_request   |
      | a handler that fails           | 500    | internal_error    |
      | a handler that is busy         | 429    | overloaded        |

  Scenario: A valid request is accepted and keeps its identifier
    Given an HTTP server with small limits
    When the limited server is tested with a good body
    Then the limited server answers 200 and accepts one body
    And the response carries the client's request identifier

  Scenario: An overload error says when to retry
    Given an HTTP server with small limits
    When the limited server is tested with a handler that is busy
    Then the limited server answers with Retry-After 3 and a remedy

  Scenario Outline: Changed limits apply to open connections
    Given an HTTP server with limits of 60 s idle, 60 s and 4000 bytes per header block
    When a connection has served a request and the limits change to <limits>
    Then the server answers <next> on the connection with <outcome>

    Examples:
      | limits        | next                   | outcome       |
      | 1 s, 60, 4000 | a good body and a rest | 200, closed   |
      | 60 s, 1, 4000 | half a head            | 408, closed   |
      | 60 s, 60, 100 | a head of 300 bytes    | 413, closed   |
      | 60 s, 60, 4000 | a good body           | 200, kept     |

  Scenario: An idle connection is closed after the idle timeout
    Given an HTTP server with limits of 1 s idle, 60 s and 4000 bytes per header block
    When a connection is opened and nothing is sent
    Then the connection is closed without an answer

  Scenario: A connection stays usable after a refused request
    Given an HTTP server with small limits
    When the limited server is tested with malformed JSON and then a good body on one connection
    Then the limited server answers 200 and accepts one body
