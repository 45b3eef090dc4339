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

  Scenario Outline: A whole VM's connections hold no more than their share, at every client
    When 100 connections of a <client> with 25 MB get every kind of bytes without end
    Then the process has held at most 40 MB at any moment, and holds none at last
    And another server's answers have arrived whole meanwhile

    Examples:
      | client                            |
      | plain call                        |
      | stream                            |
      | item's run                        |
      | order to a replica                |
      | call to a daemon                  |
      | request sent on by a daemon       |
      | call to the store                 |
      | report of usage                   |
      | call to the platform's object API |
      | request of the brief's interface  |
      | stream of the brief's interface   |

  Scenario Outline: A whole VM's connections hold no more than their share, whatever comes
    When 100 connections of a <client> with 25 MB get <bytes> without end
    Then the process has held at most 40 MB at any moment, and holds none at last
    And another server's answers have arrived whole meanwhile

    Examples:
      | client                           | bytes                   |
      | plain call                       | short header lines      |
      | plain call                       | a head byte by byte     |
      | plain call                       | a long header value     |
      | plain call                       | a body with no length   |
      | plain call                       | a chunk of 4 GB         |
      | plain call                       | short trailer lines     |
      | stream                           | a chunk of 4 GB         |
      | stream                           | a long event            |
      | stream                           | an event of short lines |
      | item's run                       | a long event            |
      | item's run                       | events without text     |
      | request of the brief's interface | a chunk of 4 GB         |
      | stream of the brief's interface  | a long header value     |
      | stream of the brief's interface  | an event of short lines |

  Scenario Outline: A server that sends without end takes little of the process's time
    When 100 connections of a <client> get <bytes> without end, unmeasured
    Then at most 50 % of the process's time went into it
    And another server's answers have arrived whole meanwhile

    Examples:
      | client                           | bytes                   |
      | plain call                       | chunks of two bytes     |
      | plain call                       | short header lines      |
      | plain call                       | a body with no length   |
      | stream                           | chunks of two bytes     |
      | stream                           | events without text     |
      | stream                           | a long event            |
      | request of the brief's interface | chunks of two bytes     |
      | stream of the brief's interface  | an event of short lines |
