Feature: Callers' requests leave their availability zone only as far as that pays

  # Guards against shares that move without a reason, too fast, to a full zone, or not
  # back, in a single decision.
  Scenario Outline: The next share of the requests to another zone
    When the share is <share>, waits are <own> and <other> ms, the way costs 4 ms, <used> % of the other zone's places are used
    Then the next share is <next>

    Examples:
      | share | own  | other | used | next |
      | 0     | 40   | 40    | 0    | 0    |
      | 0     | 46   | 40    | 0    | 0    |
      | 0     | 120  | 40    | 0    | 0.1  |
      | 0.3   | 120  | 40    | 0    | 0.4  |
      | 0.3   | 120  | 40    | 60   | 0.35 |
      | 0.3   | 120  | 40    | 75   | 0.28 |
      | 0.05  | 120  | 40    | 75   | 0.04 |
      | 0.3   | 120  | 40    | 70   | 0.3  |
      | 0.75  | 120  | 40    | 0    | 0.8  |
      | 0.3   | 40   | 120   | 0    | 0.2  |
      | 0.3   | 40   | 40    | 0    | 0.27 |
      | 0.005 | 40   | 40    | 0    | 0    |
      | 0.3   | 120  | none  | 0    | 0    |
      | 0.3   | none | 40    | 0    | 0.3  |

  # Guards against a queue that is emptied twice: by shares that still grow while the wait
  # falls, and by shares that shrink while the own zone is full.
  Scenario Outline: Shares keep still while the own zone's queue empties
    When the share is 0.3 and the own zone's wait goes from <former> to <own> ms at <busy> % of its places
    Then the next share is <next>

    Examples:
      | former | own | busy | next |
      | 100    | 100 | 100  | 0.4  |
      | 120    | 100 | 100  | 0.3  |
      | 44     | 42  | 95   | 0.3  |
      | 44     | 42  | 50   | 0.29 |

  # Guards against daemons that leave their zone although that gains nothing.
  Scenario Outline: All stay while all zones serve alike
    Given <daemons> daemons in 3 zones with 12 places each, 150 requests a second per zone
    When requests are sent for 20 s
    Then at most 3 % of the requests left their zone
    And their mean time is at most that of the earlier choice and 1 ms

    Examples:
      | daemons |
      | 9       |
      | 70      |

  # Guards against a flood or an oscillation when all daemons of a zone decide at once,
  # against shares that stay after the zone has recovered, and against too slow a relief.
  Scenario: A zone turns slow and recovers before 70 daemons
    Given 70 daemons in 3 zones with 12 places each, 100 requests a second per zone
    When zone a is slower by a factor of 4 from 5 to 15 s of 35 s
    Then between 40 and 90 % of its requests left the zone from 9 to 15 s
    And less than 10 % of its requests left the zone from 30 to 35 s
    And the mean time of all requests from 9 to 15 s is below 80 ms
    And the other zones' places were used to at most 85 % on average from 9 to 15 s

  # Guards against requests that wait for a zone without a replica, and against shares
  # that outlast the outage.
  Scenario: A zone without a usable replica sends all requests elsewhere
    Given 70 daemons in 3 zones with 12 places each, 100 requests a second per zone
    When zone a has no place from 5 to 10 s of 20 s
    Then between 100 and 100 % of its requests left the zone from 6 to 10 s
    And less than 5 % of its requests left the zone from 11 to 20 s

  # Guards against callers of a full zone that lose their places to a neighbour's.
  Scenario: A neighbour above 70 % gets no share
    Given 70 daemons in 2 zones with 12 places each, 230 requests a second per zone
    When zone a is slower by a factor of 4 from 5 to 15 s of 15 s
    Then between 0 and 5 % of its requests left the zone from 9 to 15 s

  # Guards against sums that miss daemons, and facts that flow although little is used,
  # or without a bound.
  Scenario: The owner of the facts publishes how many places all daemons use
    Given 20 daemons with replicas of 10 services in 3 zones, 60 places each
    When each daemon has 2 requests in flight at service 1 in zone 1 for 5 s
    Then all daemons know that service 1 uses 67 % of zone 1, and of nothing else

  # Guards against reports of use that outlast it, as idle daemons have nothing to report.
  Scenario: Use ends soon after the daemons have become idle
    Given 20 daemons with replicas of 10 services in 3 zones, 60 places each
    When each daemon has 6 requests in flight at service 1 in zone 1 for 5 s
    And each daemon has no request in flight for 3 s
    Then no daemon knows of a use
    When each daemon has 2 requests in flight at every service and zone for 5 s
    Then no more than 4 facts a second were published
    When each daemon has 0 requests in flight at every service and zone for 5 s
    Then no daemon knows of a use
    And none of the facts is saved in the store
