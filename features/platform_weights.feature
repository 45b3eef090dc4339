Feature: Loads of weights on the platform, with real daemon processes

  Scenario: Every engine loads a named version, ordered by one holder with one token
    Given a platform with 3 engines and 2 daemons
    When version 2 is named
    Then every engine serves version 2
    And all orders came from one holder
    And no engine got the same version twice

  Scenario: An order that is carried out late does no harm
    Given a platform with 2 engines and 1 daemons
    When replica engine-1 leaves 1 order unanswered and carries it out late
    And version 2 is named
    Then every engine serves version 2
    And no engine got the same version twice

  Scenario: The next holder's orders carry later fencing tokens than the former's
    Given a platform with 2 engines and 2 daemons
    When version 2 is named
    And every engine serves version 2
    And the daemon that runs the jobs is killed
    And version 3 is named
    Then every engine serves version 3
    And fencing tokens never decreased

  Scenario: Samples name the versions that made them and none is too old
    Given a platform with 2 engines and 1 daemons
    And the engines send an event every 60 ms
    When version 2 is named
    And job "j1" with 2 groups of 4 and oldest version 2 is submitted at edge-1
    Then job "j1" completes at edge-1
    And no result of "j1" names a version below 2
