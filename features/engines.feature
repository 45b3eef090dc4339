Feature: Completions and calls survive connection faults without loss or duplication

  Scenario Outline: A faulty stream is resumed and delivers each token once
    Given a keeper in front of 1 engine
    And the engine's next stream <fault> at token <token>
    When a caller requests 20 tokens from the keeper
    Then the answer contains each token exactly once
    And the engine has run 1 request

    Examples:
      | fault            | token |
      | is silent        | 0     |
      | is silent        | 7     |
      | breaks           | 0     |
      | breaks           | 7     |
      | breaks           | 19    |
      | reports an error | 0     |
      | reports an error | 7     |
      | swaps            | 9     |

  Scenario Outline: Replayed tokens are compared with the received ones
    When tokens are received as <received> and then <replayed>
    Then the joined tokens are <joined>

    Examples:
      | received     | replayed    | joined        |
      | 0:a:1 1:b:1  | 2:c:1       | abc           |
      | 0:a:1 1:b:1  | 1:b:1 2:c:1 | abc           |
      | 0:a:1 1:b:1  | 0:abc:1     | abc           |
      | 0:ab:1       | 0:a:1 2:c:1 | abc           |
      | 0:abcd:1     | 0:a:1 1:bc:1 3:de:1     | abcde |
      | 0:a:1 1:bcd:1 | 1:b:1 2:cde:1          | abcde |
      | 0:abcd:1     | 0:a:1 1:xc:1 3:de:1     | torn  |
      | 0:abcd:1     | 2:cd:1      | torn          |
      | 0:a:1 1:bc:2 | 1:bc:2 3:d:2 | abcd         |
      | 0:a:1 1:bc:2 | 0:ab:1      | torn          |
      | 0:a:1 1:b:1  | 1:x:1       | torn          |
      | 0:a:1 1:b:1  | 1:b:2       | torn          |
      | 0:a:1 1:b:1  | 3:d:1       | torn          |
      | 0:a:1 1:b:1  | 0:axc:1     | torn          |

  Scenario Outline: An error says whether the engine ran the request
    Given a keeper in front of 1 engine
    And the engine <state>
    When a caller requests 20 tokens from the keeper
    Then the keeper's error is <code> with outcome <outcome>

    Examples:
      | state             | code                 | outcome |
      | refuses           | endpoint_refused     | not_run |
      | is gone           | endpoint_unreachable | not_run |
      | crashes at once   | endpoint_failed      | unknown |

  Scenario: A connection with a cancelled exchange is not reused
    Given a keeper in front of 1 engine
    When a cancelled exchange with the engine is followed by 20 others
    Then each exchange receives its own answer

  Scenario: A late platform answer is not taken for that of another read
    Given a platform that answers some reads late
    When 20 reads of other objects follow one that timed out
    Then each read returns its own object

  Scenario Outline: The outcome of a plain call says whether it ran
    Given a plain service that <behaviour>
    When one call is sent to the plain service
    Then the plain call results in <result>
    And the plain service has run <runs> calls

    Examples:
      | behaviour             | result                       | runs |
      | answers               | 200                          | 1    |
      | refuses before running | endpoint_refused not_run     | 0    |
      | accepts no connection | endpoint_unreachable not_run | 0    |
      | breaks after running  | endpoint_failed unknown      | 1    |
      | is silent             | endpoint_failed unknown      | 1    |
