Feature: Exchanges with replicas that answer late, twice or bit by bit

  Scenario Outline: A late answer to another request is not taken for an order's
    When a replica answers an order with <answers>
    Then the order ends as <end>

    Examples:
      | answers                                       | end      |
      | 202 length=0                                  | accepted |
      | 200 id=r9 length=2 + 202 length=0             | accepted |
      | 200 id=r9 length=2                            | unknown  |

  Scenario Outline: Only complete events count as progress of an item's run
    Given a stall limit of 300 ms
    When an engine streams <stream>
    Then the run ends as <end> within <limit> ms with <events> events

    Examples:
      | stream                                | end       | limit | events |
      | 4 events, one each 200 ms             | completed | 3000  | 4      |
      | 2 events, then a byte each 50 ms      | broken    | 2000  | 2      |
      | 2 events, then nothing                | broken    | 2000  | 2      |

  Scenario Outline: Only complete events count as progress of a caller's stream
    Given a resumable stream: <resumable>, and limits of 300 ms and 900 ms
    When its replica streams <stream>
    Then the caller gets <events> events and the stream <end> within <limit> ms

    Examples:
      | resumable | stream                              | events | end    | limit |
      | yes       | 4 events, one each 200 ms           | 4      | ends   | 3000  |
      | yes       | 2 events, then a byte each 50 ms    | 2      | breaks | 2000  |
      | no        | 4 events, one each 600 ms           | 4      | ends   | 6000  |
      | no        | 2 events, then a byte each 50 ms    | 2      | breaks | 4000  |

  Scenario Outline: A call to a silent store ends in time to list again
    When a store never answers a call that waits <wait> ms
    Then the call fails within <limit> ms

    Examples:
      | wait | limit |
      | 0    | 1200  |
      | 1000 | 1800  |

  Scenario Outline: An order is not sent once its permission has run out
    When the permission to order <state> while a connection is opened
    Then the order is <end>, and the replica got <count> orders

    Examples:
      | state    | end      | count |
      | holds    | accepted | 1     |
      | runs out | not_sent | 0     |

  Scenario Outline: An exchange that is given up resets its connection
    When <exchange> is given up while a replica is silent
    Then the replica sees that the connection was <end>

    Examples:
      | exchange   | end    |
      | an order   | reset  |
      | no request | closed |
