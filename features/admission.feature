Feature: Refusals and returns by a view of the whole fleet's queue

  # Guards against a wait that leaves out the replicas' queues or the callers that come
  # back, and against a backlog where there is none.
  Scenario Outline: The backlog of a service
    When <used> requests of <slots> places take <taken> ms, <refused> are refused for each served one
    Then the expected wait is <wait> ms and the backlog clears in <clear> ms

    Examples:
      | slots | used | taken | refused | wait | clear |
      | 18    | 90   | 200   | 0       | 160  | 160   |
      | 18    | 90   | 200   | 0.5     | 160  | 660   |
      | 18    | 18   | 40    | 2       | 0    | 2000  |
      | 18    | 17   | 40    | 2       | none | none  |
      | 18    | 90   | none  | 2       | none | none  |
      | 0     | 90   | 200   | 2       | none | none  |

  # Guards against a request that is sent although it would leave the queue too late, and
  # one that is refused although it would not.
  Scenario Outline: Whether a request may be in time
    When 90 requests of 18 places take <taken> ms, 0 are refused for each served one
    Then a request with <left> ms left may be in time: <answer>

    Examples:
      | taken | left | answer |
      | 200   | 201  | yes    |
      | 200   | 198  | no     |
      | none  | 1    | yes    |

  # Guards against an outdated view by which all daemons refuse everything, so that places
  # stay empty: no more are refused than replicas refuse.
  Scenario Outline: How many of the requests that seem too late are sent
    When a daemon has served <served> and refused <refused> requests, <age> ms ago
    Then <share> % of the requests that seem too late are sent

    Examples:
      | served | refused | age  | share |
      | 10     | 0       | 0    | 100   |
      | 1      | 2       | 0    | 100   |
      | 10     | 10      | 0    | 55    |
      | 10     | 30      | 0    | 28    |
      | 10     | 30      | 2000 | 100   |

  # Guards against returns too soon, all at once, at the limit of the callers' patience, and
  # against a shorter time for one that came back.
  Scenario Outline: When a refused caller comes back
    When a caller with <left> ms left is refused, the backlog clears in <clear> ms, the draw is <draw>
    Then it comes back after <first> ms, or <again> ms if it had come back before

    Examples:
      | clear | left | draw | first | again |
      | none  | 3000 | 0.9  | 250   | 250   |
      | 660   | 3000 | 0    | 50    | 50    |
      | 660   | 3000 | 0.5  | 355   | 355   |
      | 660   | 3000 | 1    | 660   | 660   |
      | 660   | 900  | 1    | 300   | 660   |
      | 660   | 90   | 1    | 50    | 660   |
      | 20    | 3000 | 1    | 50    | 50    |

  # Guards against a refusal while there is room, also with daemons that know little.
  Scenario Outline: Nobody is refused while there is room
    Given <daemons> daemons that come and go, 85 customers and 3 replicas of 6 places
    When <load> times the capacity is asked for during 20 s
    Then nobody is refused

    Examples:
      | daemons | load |
      | 9       | 0.9  |
      | 70      | 0.9  |
      | 1700    | 0.5  |

  # Guards against a burst that comes back as a burst, also before any daemon knows from
  # others that the service is full.
  Scenario: A burst of refused callers comes back spread
    Given 70 daemons, 85 customers and 3 replicas of 6 places
    When 600 requests arrive at once at half of the load
    Then at least 300 callers are refused
    And at most 20 % of them come back within the same 50 ms

  # Guards against requests that are refused again and again while others arrive and are
  # served, and against places that stay empty for this.
  Scenario Outline: One who came back goes before one who arrives
    Given <daemons> daemons that come and go, 85 customers and 3 replicas of 6 places
    When <load> times the capacity is asked for during 20 s
    Then those that came back are admitted at least 1.2 times as often as newcomers
    And at least 97 % of the capacity is used
    And nobody is refused by a daemon while a place is free

    Examples:
      | daemons | load |
      | 9       | 1.5  |
      | 70      | 1.5  |
      | 70      | 3    |
