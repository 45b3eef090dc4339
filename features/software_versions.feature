Feature: Replicas of two software versions serve side by side

  Scenario: Items are continued only by replicas of the software that began them
    Given a platform with 4 engines and 2 daemons
    And replicas engine-3,engine-4 run software v2
    When replica engine-1 breaks each stream off after 3 events
    And replica engine-2 breaks each stream off after 3 events
    And replica engine-3 breaks each stream off after 3 events
    And job "j1" with 5 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-2
    And no item was continued by another software version

  Scenario: Items start again once no replica of their software serves
    Given a platform with 2 engines and 2 daemons
    And the engines send an event every 100 ms
    And replicas engine-2 run software v2
    When job "j1" with 2 groups of 2 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And replica engine-1 breaks each stream off after 1 events
    And replica engine-1 is listed as draining
    Then job "j1" completes at edge-2
    And no item was continued by another software version

  Scenario: A successor continues items with the software that began them
    Given a platform with 4 engines and 3 daemons
    And the engines send an event every 100 ms
    And replicas engine-3,engine-4 run software v2
    When job "j1" with 4 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And the daemon that runs the jobs is asked to stop
    Then job "j1" completes at a running daemon
    And no item was continued by another software version

  Scenario Outline: Which software may continue an item
    Given an item with <events> events written by software <software>
    When its progress is <transfer>
    Then replicas of software <next> may continue it: <may>

    Examples:
      | events | software | transfer          | next | may |
      | 0      | v1       | kept              | v2   | yes |
      | 3      | v1       | kept              | v1   | yes |
      | 3      | v1       | kept              | v2   | no  |
      | 3      | v1       | discarded         | v2   | yes |
      | 3      | v1       | sent to a daemon  | v1   | yes |
      | 3      | v1       | sent to a daemon  | v2   | no  |
