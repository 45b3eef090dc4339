Feature: The daemon that runs the jobs needs a path to their replicas

  Scenario Outline: A claim holder without a path passes the claim on to a daemon with one
    Given a claim holder that has <path> to the replicas of its jobs
    And other daemons <others>
    When its path is watched for 1 s
    Then the claim is <result>

    Examples:
      | path    | others                                        | result               |
      | a path  | a (path), b (path)                            | kept                 |
      | no path | a (path), b (path)                            | handed over to a     |
      | no path | a (no path), b (path)                         | handed over to b     |
      | no path | a (silent), b (path)                          | handed over to b     |
      | no path | a (no path), b (no path)                      | kept                 |
      | no path | a (silent), b (silent)                        | kept                 |
      | no path | nobody                                        | kept                 |
      | no jobs | a (path)                                      | kept                 |

  Scenario Outline: A daemon without a path takes a claim over only if no other does
    Given a claim whose holder has been silent for <silent> s
    And a daemon of the first rank that has <path> to the replicas of its jobs
    When it checks the holder
    Then it <result> the claim

    Examples:
      | silent | path    | result          |
      | 1.0    | a path  | takes over      |
      | 1.0    | no path | leaves          |
      | 6.0    | no path | takes over      |
      | 0.5    | a path  | leaves          |

  Scenario: Items go on where the claim has been handed over
    Given a platform with 2 engines and 3 daemons
    And the engines send an event every 100 ms
    And the daemons have had time to list each other
    When job "j1" with 4 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And the claim is handed over to another daemon
    Then job "j1" completes at edge-2
    And another daemon runs the jobs
    And at least 1 items of "j1" were resumed from a later event
