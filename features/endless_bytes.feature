Feature: Replicas that send bytes without end

  Scenario Outline: Bytes that are no answer end the exchange, wherever they come
    When a replica sends <bytes> without end to a plain call
    Then the exchange fails within 4000 ms
    And the replica could send at most <limit> MB
    And at most <limit> MB of it were held

    Examples:
      | bytes                       | limit |
      | header lines                | 8     |
      | one header value            | 8     |
      | interim responses           | 8     |
      | answers to another request  | 8     |
      | a body                      | 40    |
      | a chunked body              | 40    |
      | trailer lines               | 8     |

  Scenario Outline: A stream's bytes that are no event end the stream
    When a replica streams <bytes> without end to a caller
    Then the caller's stream breaks within 4000 ms
    And at most 12 MB of it were held

    Examples:
      | bytes               |
      | one event           |
      | blank lines         |
      | comments            |

  Scenario Outline: An item's run ends at bytes that are no part of its output
    When an engine sends an item <bytes> without end
    Then the run has ended within 4000 ms, with at most <events> events kept

    Examples:
      | bytes                      | events |
      | one event                  | 0      |
      | blank lines                | 0      |
      | a refusal's body, bit by bit | 0    |
      | a failure's body           | 0      |
      | large events               | 0      |

  Scenario: Many endless bodies at once stay within a daemon's memory for responses
    When 12 replicas send a body without end at the same time
    Then every exchange fails within 10000 ms
    And at most 40 MB of it were held
