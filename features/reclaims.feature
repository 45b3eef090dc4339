Feature: Runs on replicas that the platform reclaims

  Scenario Outline: Runs that are taken off
    Given replica a has <left> s left and b runs on
    When runs <runs> are on them, one event every 100 ms, and b takes <free>
    Then the runs taken off are <expected>

    Examples: what would not complete in time, the longest first
      | left | runs               | free | expected |
      | 3    | x@a:10 y@b:90      | any  | none     |
      | 3    | x@a:40 y@a:60      | any  | y        |
      | 3    | x@a:40 y@a:10      | any  | x        |
      | 3    | x@a:40 y@a:60      | none | none     |

    Examples: what is due, with or without a free slot
      | left | runs               | free | expected |
      | 0.5  | x@a:4 y@a:60 z@b:9 | none | y,x      |
      | -1   | x@a:4              | any  | x        |

  Scenario: Items resume elsewhere before the end, and a silent end costs no time-out
    Given a platform with 2 engines of 100000 tokens and 2 daemons
    And the engines send an event every 150 ms
    When job "j1" with 1 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 3 events
    And the platform reclaims engine-1, which goes silent after 1200 ms
    Then job "j1" completes at edge-2
    And every result of "j1" is its item's complete output
    And no run at engine-1 ended by a time-out
    And a run at engine-1 resumed elsewhere
