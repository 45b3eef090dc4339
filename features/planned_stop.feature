Feature: A planned stop cuts off no request that a daemon has taken

  Scenario Outline: Callers use open and new connections until the process is gone
    Given a platform with 2 plain replicas and 2 daemons
    And routes with a timeout of 20000 ms
    And the plain replicas take <work> ms
    When 4 callers send bookings to edge-1 one after another, and it is asked to stop
    Then each booking that a replica has run was answered with 200
    And each booking that was not answered reached no replica
    And edge-1 exits with code 0

    Examples:
      | work |
      | 50   |
      | 900  |

  # Guards against a connection that ends without an answer at the end of the grace.
  Scenario: A booking that runs longer than the grace period gets an answer
    Given a platform with 1 plain replicas and 2 daemons
    And routes with a timeout of 20000 ms
    And the plain replicas take 12000 ms
    When booking "b1" is sent to edge-1 0.5 s before it is asked to stop
    Then "b1" is answered with 504
    And edge-1 exits with code 0

  # Guards against a request that is passed on although the process ends before its answer.
  Scenario: A booking that is read too late to end in the grace period is not run
    Given a platform with 1 plain replicas and 2 daemons
    And routes with a timeout of 20000 ms
    And the plain replicas take 1000 ms
    And 2 bookings at edge-1 have been answered
    When booking "b1" is begun at edge-1, which is asked to stop, and ends 5.5 s later
    Then "b1" is answered with 503
    And "b1" has reached no replica

  Scenario: A daemon that stops sends no requests of others on
    Given a platform with 1 plain replicas and 2 daemons
    When edge-1 is asked to stop and 1.0 s pass
    Then it answers that it reaches no replica
