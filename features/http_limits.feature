Feature: HTTP input is bounded and errors have one form

  Scenario Outline: Input that breaks a bound gets a coded error and changes nothing
    Given an HTTP server with small limits
    When limits meet <input>
    Then limits answer <status> with code <code> and nothing is taken

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

  Scenario: A good request is taken and named
    Given an HTTP server with small limits
    When limits meet a good body
    Then limits answer 200 and one body is taken
    And limits name the request as its sender did

  Scenario: A refusal tells when to come back
    Given an HTTP server with small limits
    When limits meet a handler that is busy
    Then limits answer with Retry-After 3 and a remedy

  Scenario Outline: A change of the bounds is in force on connections that are open
    Given an HTTP server that gives a connection 60 s of rest, 60 s and 4000 bytes a head
    When a connection has had a good answer and the bounds change to <bounds>
    Then the connection meets <next> with <outcome>

    Examples:
      | bounds        | next                   | outcome       |
      | 1 s, 60, 4000 | a good body and a rest | 200, closed   |
      | 60 s, 1, 4000 | half a head            | 408, closed   |
      | 60 s, 60, 100 | a head of 300 bytes    | 413, closed   |
      | 60 s, 60, 4000 | a good body           | 200, kept     |

  Scenario: A connection on which nothing is sent is closed after its time of rest
    Given an HTTP server that gives a connection 1 s of rest, 60 s and 4000 bytes a head
    When a connection is opened and nothing is sent
    Then the connection is closed without an answer

  Scenario: A refused sender can use its connection again
    Given an HTTP server with small limits
    When limits meet malformed JSON and then a good body on one connection
    Then limits answer 200 and one body is taken
