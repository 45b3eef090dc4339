Feature: A completion arrives once and whole over faults of connections

  Scenario Outline: A stream that meets a fault gives each token once
    Given a keeper before 1 engine
    And the engine's next stream <fault> at token <token>
    When a caller asks the keeper for 20 tokens
    Then the keeper's answer is whole, each token once
    And the engine has run 1 request

    Examples:
      | fault       | token |
      | is silent   | 0     |
      | is silent   | 7     |
      | breaks      | 0     |
      | breaks      | 7     |
      | breaks      | 19    |
      | swaps       | 9     |

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

  Scenario Outline: An engine's answer says what is known about the effect
    Given a keeper before 1 engine
    And the engine <state>
    When a caller asks the keeper for 20 tokens
    Then the keeper's error is <code> with outcome <outcome>

    Examples:
      | state             | code                 | outcome |
      | refuses           | endpoint_refused     | not_run |
      | is gone           | endpoint_unreachable | not_run |
      | crashes at once   | endpoint_failed      | unknown |

  Scenario: A connection whose exchange was cancelled is not used again
    Given a keeper before 1 engine
    When a cancelled exchange with the engine is followed by 20 others
    Then each exchange got its own answer

  Scenario: A platform call that was given up leaves its answer to nobody else
    Given a platform whose reads answer late now and then
    When 20 reads of other objects follow one that was given up
    Then each read got its own object

  Scenario Outline: A plain call says whether it ran
    Given a plain service that <behaviour>
    When one call is sent to the plain service
    Then the plain call gives <result>
    And the plain service has run <runs> calls

    Examples:
      | behaviour             | result                       | runs |
      | answers               | 200                          | 1    |
      | refuses before running | endpoint_refused not_run     | 0    |
      | accepts no connection | endpoint_unreachable not_run | 0    |
      | breaks after running  | endpoint_failed unknown      | 1    |
      | is silent             | endpoint_failed unknown      | 1    |
