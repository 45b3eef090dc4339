Feature: Steps whose long items cannot start in time get more replicas

  Scenario Outline: How long the items of a step may wait for a slot
    Given items of a service ran for <durations> s
    And a step is due <due> s after its submission
    When its items wait for <waits> s before they start
    Then the late starters have waited <wait> s of the allowed <allowed> s

    Examples:
      | durations | due | waits           | wait | allowed |
      | 1 1 1 6.5 | 7.5 | 0.1 0.1 0.9     | 0.9  | 0.5     |
      | 1 1 1 6.9 | 7.5 | 0.1 0.1 0.1     | 0.1  | 0.2     |
      | 1 1 1 2   | 7.5 | 0.1 1.5 1.5     | 1.5  | 5.0     |

  Scenario Outline: The first steps, before long items have ended
    Given <count> items of a service ran for 1 s, and open items may run for <most> s
    And a step is due 7.5 s after its submission
    When its items wait for 0.9 0.9 s before they start
    Then the late starters have waited 0.9 s of the allowed <allowed> s

    Examples:
      | count | most | allowed |
      | 0     | 6.5  | 0.5     |
      | 100   | 6.5  | 0.5     |
      | 100   | 2    | 5.0     |
      | 300   | 6.5  | 6.0     |

  Scenario Outline: Replicas for steps whose items wait too long
    Given <usable> replicas with 8 slots that are fast enough
    When items wait <wait> s of the allowed <allowed> s, and <peaks> items are open
    Then <needed> replicas are needed, and the load is that of <load>

    Examples:
      | usable | wait | allowed | peaks       | needed | load |
      | 22     | 0.9  | 0.5     | 88 88 64 80 | 40     | 40   |
      | 22     | 0.1  | 0.5     | 88 88 64 80 | 0      | 40   |
      | 22     | 1.5  | 5.0     | 88 88 64 80 | 0      | 0    |
      | 5      | 2.0  | 0.5     | 9           | 2      | 2    |
