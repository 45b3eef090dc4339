Feature: VMs that have lost their paths to the replicas

  Scenario Outline: Callers of VMs without a path to the replicas are served as others are
    Given <daemons> daemons before 3 replicas, for <kind> requests
    When 20 requests a second arrive at each daemon for 1 s
    And <cut> of them are cut from all replicas: <how>
    And 20 requests a second arrive at each daemon for 4 s
    Then from 3 s on, first tries at these are served at least two thirds as often as elsewhere
    And a request that was refused as not run has not run, and none ran too often

    Examples:
      | daemons | cut | kind           | how      |
      | 6       | 4   | idempotent     | silently |
      | 6       | 4   | idempotent     | refused  |
      | 6       | 4   | idempotent     | reset    |
      | 6       | 4   | idempotent     | one way  |
      | 6       | 5   | idempotent     | silently |
      | 6       | 1   | idempotent     | silently |
      | 6       | 4   | non_idempotent | silently |
      | 6       | 4   | non_idempotent | refused  |
      | 6       | 4   | non_idempotent | reset    |
      | 6       | 4   | stream         | silently |

  Scenario: When no VM reaches a replica, callers are refused at once
    Given 4 daemons before 3 replicas, for idempotent requests
    When 20 requests a second arrive at each daemon for 1 s
    And 4 of them are cut from all replicas: silently
    And 20 requests a second arrive at each daemon for 4 s
    Then from 3 s on, at least two thirds are refused within 200 ms
    And a request that was refused as not run has not run, and none ran too often

  Scenario: After the end of a cut the VMs use their own paths again
    Given 4 daemons before 3 replicas, for idempotent requests
    When 20 requests a second arrive at each daemon for 1 s
    And 2 of them are cut from all replicas: silently
    And 20 requests a second arrive at each daemon for 2 s
    And the cut ends
    And 20 requests a second arrive at each daemon for 4 s
    Then from 3 s on, all requests are served without another daemon

  Scenario Outline: A daemon sends another daemon's request to a replica
    Given a platform with 1 <replicas> and 1 daemons
    When another daemon lets edge-1 send a request to service <service>, streaming: <streaming>
    Then the attempt ends as <result> with <body>

    Examples:
      | replicas       | service    | streaming | result   | body            |
      | plain replicas | fieldbook  | no        | answered | the whole body  |
      | engines        | summariser | yes       | answered | all its events  |
      | plain replicas | summariser | no        | not_sent | no body         |

  Scenario: A daemon that gives up a request sent by way of another cancels its run
    Given a platform with 1 plain replicas and 1 daemons
    And the plain replicas take 800 ms
    When another daemon lets edge-1 send request "r1" and gives it up after 150 ms
    Then the run of "r1" is cancelled within 500 ms
